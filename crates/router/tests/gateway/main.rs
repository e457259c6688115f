//! The real program, started from the filled template, against stand-ins of
//! the users' platform on loopback.

mod follow;
mod knowledge;
mod names;
mod peers;
mod process;
mod requests;
mod settings;
mod stop;
mod template;
