//! Zones drained by operators.

use serde::{Deserialize, Serialize};

use crate::ids::ZoneName;

/// A zone whose back ends get no new requests until an operator restores it.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct DrainedZone(pub ZoneName);
