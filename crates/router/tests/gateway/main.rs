//! The real program, started from the filled template, against stand-ins of
//! the users' platform on loopback.

mod changes;
mod crashing;
mod fleet;
mod follow;
mod in_use;
mod key_regions;
mod knowledge;
mod leaving;
mod leaving_back_ends;
mod limited;
mod limits;
mod lives;
mod names;
mod outage;
mod parts;
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
mod silence;
mod stop;
mod swallowing;
mod template;
mod tenants;
mod uploads;
mod usage;
mod zones;
