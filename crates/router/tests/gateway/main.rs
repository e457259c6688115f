//! The real program, started from the filled template, against stand-ins of
//! the users' platform on loopback.

mod caller_disconnects;
mod changes;
mod cluster_state;
mod crashing;
mod draining_back_ends;
mod fleet;
mod in_use;
mod incarnations;
mod key_regions;
mod limited;
mod limits;
mod names;
mod outage;
mod partial_lists;
mod patience;
mod peers;
mod pipelined;
mod pressed;
mod process;
mod regions;
mod relay;
mod relay_records;
mod requests;
mod rest;
mod samples;
mod settings;
mod stalled_connections;
mod stalling_proxy;
mod stop;
mod template;
mod tenants;
mod uploads;
mod usage;
mod watcher;
mod zones;
