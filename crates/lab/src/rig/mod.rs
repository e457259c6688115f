//! The rig: the process that starts, monitors and ends the processes of a run
//! and injects the faults.

mod baseline_processes;
mod callers;
mod child;
mod child_input;
mod control;
mod deployment;
mod fault_schedule;
mod hosts;
mod plan;
mod poller;
mod ports;
mod product_processes;
mod progress;
mod run;
mod summary;
mod systems;
mod targets;

pub use child_input::{PlatformSettings, exit_with_parent, read_settings};
pub use deployment::{Deployment, DeploymentError, RouterLocation};
pub use hosts::BackEndHost;
pub use run::{RunError, RunOptions, run};
