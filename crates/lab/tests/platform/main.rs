//! The platform's stand-ins and the client, against each other on loopback.

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
