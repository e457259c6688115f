//! The control core's shell on loopback, with a platform that does not answer.

mod peers;
mod safety;
mod views;
mod world;
