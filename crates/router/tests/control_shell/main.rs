//! Tests of the control shell over loopback connections.

mod object_api;
mod peers;
mod platform;
mod safety;
mod views;
mod world;
