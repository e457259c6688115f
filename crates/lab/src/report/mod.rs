//! The report of a run: a versioned JSON form, a table for people, and the
//! comparison of two reports. docs/lab.md documents the form.

mod compare;
mod form;
mod page;
mod pictures;
mod table;

pub use compare::compare;
pub use form::{BoundBreach, FaultMark, REPORT_VERSION, Report, ReportError};
pub use page::page;
pub use table::table;
