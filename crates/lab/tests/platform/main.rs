//! Tests of the platform stand-ins and of the object API client against them.

mod authorization;
mod client;
mod commands;
mod examples;
mod machine_list;
mod schedules;
mod store;
mod support;
mod watch;
mod watcher;
mod writes;
