//! The control core's shell on loopback.

mod object_api;
mod peers;
mod platform;
mod safety;
mod views;
mod world;
