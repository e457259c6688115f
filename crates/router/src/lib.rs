//! The router and gateway programs: command line, settings, logging, and the
//! components that run the protocol cores with their I/O.

pub mod check;
pub mod cli;
pub mod control_shell;
pub mod events;
pub mod gateway;
pub mod log_trace;
pub mod logging;
pub mod metrics;
pub mod operations;
pub mod planned_stop;
pub mod platform_token;
pub mod proxy;
pub mod request_log;
pub mod run;
pub mod running_router;
pub mod settings;
