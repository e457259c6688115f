//! Tests of the request path in virtual time.

mod back_ends;
mod choice;
mod cold;
mod crashes;
mod decaying_mean;
mod fleet;
mod limited;
mod limited_routers;
mod moving_callers;
mod outcomes;
mod parts;
mod regions;
mod retries;
mod schedules;
mod signals;
mod support;
mod tenants;
