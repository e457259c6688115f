//! Serialized form of the ownership record.

use std::net::SocketAddr;

use threadledge_coordination::{Fence, Owner, Slice, SliceState};
use threadledge_types::deployment::KeyRange;

fn returning() -> (Owner, Slice) {
    let owner = Owner {
        name: "back-end".into(),
        address: SocketAddr::from(([10, 0, 0, 1], 80)),
    };
    let slice = Slice {
        range: KeyRange::new(100, 200).expect("a range"),
        fence: Fence(7),
        state: SliceState::Returning {
            owner: owner.clone(),
        },
    };
    (owner, slice)
}

#[test]
fn slice_that_its_owner_has_not_released_survives_serialization() {
    let (_, slice) = returning();
    let text = serde_json::to_string(&slice).expect("serialized");
    let read: Slice = serde_json::from_str(&text).expect("a slice");
    assert_eq!(read, slice);
}

/// Guards against a record that routers of earlier versions cannot read: they
/// know the named form without the field `returning`.
#[test]
fn slice_that_its_owner_has_not_released_is_owned_for_earlier_versions() {
    let (owner, slice) = returning();
    let mut value = serde_json::to_value(&slice).expect("serialized");
    let fields = value.as_object_mut().expect("the named form");
    assert!(fields.remove("returning").is_some());
    let read: Slice = serde_json::from_value(value).expect("a slice");
    let handover = None;
    assert_eq!(read.state, SliceState::Owned { owner, handover });
}
