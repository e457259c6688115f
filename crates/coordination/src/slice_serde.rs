//! Serialization of slices, in the store's record and between gateways.
//!
//! A record has at least one slice for each owner, objects of the store have a
//! maximum size and links have limited bandwidth. A slice is therefore written
//! as an array without field names: `[first, last, fence]` if it is unowned,
//! otherwise `[first, last, fence, owner, address]`, optionally followed by a
//! handover token. The longer form with field names is accepted as well. It is
//! written for slices that their owner has not released yet, because routers
//! of earlier versions accept additional fields in it.

use std::fmt;
use std::net::SocketAddr;

use serde::de::value::MapAccessDeserializer;
use serde::de::{Error, MapAccess, SeqAccess, Visitor};
use serde::ser::SerializeSeq;
use serde::{Deserialize, Deserializer, Serialize, Serializer};
use threadledge_types::deployment::{BackEndName, KeyRange, ShardKey};

use crate::order::HandoverToken;
use crate::record::{Fence, Owner, Slice, SliceState};

impl Serialize for Slice {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        if let SliceState::Returning { owner } = &self.state {
            let state = SliceState::Owned {
                owner: owner.clone(),
                handover: None,
            };
            let named = NamedSlice {
                range: self.range,
                fence: self.fence,
                state,
                returning: true,
            };
            return named.serialize(serializer);
        }
        let mut row = serializer.serialize_seq(None)?;
        row.serialize_element(&self.range.first)?;
        row.serialize_element(&self.range.last)?;
        row.serialize_element(&self.fence)?;
        if let SliceState::Owned { owner, handover } = &self.state {
            row.serialize_element(&owner.name)?;
            row.serialize_element(&owner.address)?;
            if let Some(handover) = handover {
                row.serialize_element(handover)?;
            }
        }
        row.end()
    }
}

impl<'de> Deserialize<'de> for Slice {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        deserializer.deserialize_any(SliceVisitor)
    }
}

/// Slice in the form with field names.
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
struct NamedSlice {
    range: KeyRange,
    fence: Fence,
    state: SliceState,
    #[serde(default)]
    returning: bool,
}

struct SliceVisitor;

impl<'de> Visitor<'de> for SliceVisitor {
    type Value = Slice;

    fn expecting(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("a slice as an array or as an object with named fields")
    }

    fn visit_seq<A: SeqAccess<'de>>(self, mut row: A) -> Result<Slice, A::Error> {
        let first: ShardKey = required(row.next_element()?, "first key")?;
        let last: ShardKey = required(row.next_element()?, "last key")?;
        let fence: Fence = required(row.next_element()?, "fence")?;
        let state = match row.next_element::<BackEndName>()? {
            None => SliceState::Unowned,
            Some(name) => {
                let address: SocketAddr = required(row.next_element()?, "owner's address")?;
                let handover: Option<HandoverToken> = row.next_element()?;
                let owner = Owner { name, address };
                SliceState::Owned { owner, handover }
            }
        };
        Ok(Slice {
            range: KeyRange { first, last },
            fence,
            state,
        })
    }

    fn visit_map<A: MapAccess<'de>>(self, map: A) -> Result<Slice, A::Error> {
        let named = NamedSlice::deserialize(MapAccessDeserializer::new(map))?;
        let state = match named.state {
            SliceState::Owned { owner, .. } if named.returning => SliceState::Returning { owner },
            state => state,
        };
        Ok(Slice {
            range: named.range,
            fence: named.fence,
            state,
        })
    }
}

fn required<T, E: Error>(value: Option<T>, what: &str) -> Result<T, E> {
    value.ok_or_else(|| E::custom(format_args!("missing {what} in a slice")))
}
