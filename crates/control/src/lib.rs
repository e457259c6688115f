//! One router's control plane as a single sans-I/O state machine.
//!
//! [`ControlNode`] composes membership, consensus, ownership, placement and the
//! spreading of records. It opens no sockets and reads no clock: the code that
//! does the I/O, called the shell, feeds it [`Input`]s and carries out its
//! [`Output`]s. The router binary and the simulator run the same node.

mod bootstrap;
mod group_member;
mod input;
mod intake;
mod leader;
mod message;
mod node;
mod object_status;
mod output;
mod recovery;
mod service_alerts;
mod settings;
mod slice_changes;
mod view;

pub use bootstrap::{GroupObjectState, GroupObjectVersion};
pub use input::{ConfigurationEvent, GroupWriteResult, Input, Listing, ObservedObject};
pub use message::{PeerBatch, PeerMessage};
pub use node::ControlNode;
pub use object_status::{AcceptanceResult, ObjectRef, StatusWrite};
pub use output::{AppliedObject, Observation, Output};
pub use settings::ControlSettings;
pub use slice_changes::SliceChange;
pub use view::GroupView;
