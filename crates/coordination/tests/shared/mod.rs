//! A coordinator that has taken over a record with one owner.

use std::net::SocketAddr;
use std::time::Duration;

use threadledge_coordination::action::{ReadResult, Versioned, WriteResult};
use threadledge_coordination::ownership::{Ownership, ReadConsequence};
use threadledge_coordination::{
    Action, Fence, Owner, OwnershipRecord, Settings, Slice, SliceState, Term,
};
use threadledge_types::Timestamp;
use threadledge_types::deployment::{BackEnd, KeyRange};

/// Time at which the coordinator takes over.
pub const START: Timestamp = Timestamp::from_millis(10_000);
/// Step of the virtual time.
pub const TICK: Duration = Duration::from_millis(10);

/// Returns the back end at a port.
pub fn back_end(port: u16) -> BackEnd {
    BackEnd {
        name: format!("b-{port}").as_str().into(),
        service: "keyed".into(),
        address: SocketAddr::from(([10, 0, 0, 1], port)),
        zone: "zone".into(),
        slots: 4,
        draining: false,
        cold_for: Duration::ZERO,
        registration: u64::from(port),
    }
}

/// Creates a coordinator that has just taken over a record in which `owner` holds
/// all keys.
pub fn taken_over(owner: &BackEnd, settings: Settings) -> Ownership {
    let mut ownership = Ownership::new("keyed".into(), settings);
    ownership.set_back_ends(START, std::slice::from_ref(owner));
    ownership.begin_term(START, Term(2), None);
    ownership.poll(START, true);
    let value = OwnershipRecord {
        term: Term(1),
        next_fence: Fence(2),
        slices: vec![Slice {
            range: KeyRange::ALL,
            fence: Fence(1),
            state: SliceState::Owned {
                owner: Owner {
                    name: owner.name.clone(),
                    address: owner.address,
                },
                handover: None,
            },
        }],
        former: Vec::new(),
    };
    let found = Versioned { value, revision: 7 };
    let read = ownership.on_read(START, ReadResult::Found(Some(found)));
    let ReadConsequence::Call(call) = read else {
        panic!("expected a write of the record for this term: {read:?}");
    };
    let Action::WriteRecord(record, _) = *call else {
        panic!("{call:?}");
    };
    ownership.on_write(START, record, WriteResult::Accepted(8));
    ownership
}
