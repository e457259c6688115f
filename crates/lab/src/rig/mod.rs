//! The rig: the one process that starts, watches, disturbs and ends the
//! processes of a run.

mod baseline_processes;
mod callers;
mod child;
mod deployment;
mod faults;
mod hosting;
mod hosts;

mod operator;
mod plan;
mod ports;
mod processes;
mod progress;
mod run;
mod sides;
mod summary;
mod targets;
mod watch;

pub use deployment::{Deployment, DeploymentError, RouterPlace};
pub use hosting::{PlatformSettings, end_with_parent, read_settings};
pub use hosts::BackEndHost;
pub use run::{RunError, RunOptions, run};
