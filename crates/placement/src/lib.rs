//! Decides which back end should own which slice.
//!
//! [`Planner`] observes the records of one group and the load reports of back
//! ends, and proposes [`Action`]s: assignments of unowned slices, moves, splits
//! and merges. It only proposes. The replicated state machine compares the
//! epoch of each proposal and rejects those that lost a race, so nothing here
//! can violate exclusive ownership.
//!
//! The cost of planning depends on the size of a change: [`Planner::plan`]
//! visits the services in which something changed, and within them only the
//! slices it acts on.

mod action;
mod allocation;
mod assign;
mod balance;
mod budget;
mod candidates;
mod directory;
mod evacuate;
mod load_reports;
mod loads;
mod merge;
mod observe;
mod planner;
mod selection;
mod service;
mod settings;
mod slice_changes;
mod slices;
mod split;
mod transfers;
mod weight;
mod work_counters;

pub use action::Action;
pub use planner::Planner;
pub use settings::PlannerSettings;
pub use work_counters::WorkCounters;
