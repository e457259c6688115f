//! Decides which back end should own which slice.
//!
//! [`Planner`] follows the records of one group and the load reports of back
//! ends, and proposes [`Action`]s: assignments of unowned slices, moves,
//! splits and merges. It proposes only. The replicated state machine compares
//! each proposal's epoch and refuses those that lost a race, so nothing here
//! can break sole ownership.
//!
//! Costs follow the change: [`Planner::plan`] visits the services in which
//! something changed, and within them only the slices it acts on.

mod action;
mod assign;
mod balance;
mod budget;
mod candidates;
mod directory;
mod evacuate;
mod holding;
mod load;
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
mod work;

pub use action::Action;
pub use planner::Planner;
pub use settings::PlannerSettings;
pub use work::WorkCounters;
