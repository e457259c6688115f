//! The report of a run: a versioned JSON schema, a text table, an HTML page
//! with charts, and the comparison of two reports. docs/lab.md documents the
//! schema.

mod charts;
mod compare;
mod page;
mod schema;
mod table;

pub use compare::compare;
pub use page::page;
pub use schema::{BoundBreach, FaultMark, REPORT_VERSION, Report, ReportError};
pub use table::table;
