//! Stand-ins of the platform, its back ends and its clients, written from the
//! users' pages (`PROTOCOL.md`, `DEPLOY.md` and what replaces parts of them).
//! They use nothing but the standard library.

pub mod back_end;
pub mod client;
pub mod gateway;
pub mod http;
pub mod json;
pub mod proxy;
pub mod record;
pub mod store;
pub mod world;
