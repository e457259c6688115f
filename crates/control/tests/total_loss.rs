//! Every router of a region is lost at once: nobody is left to found the
//! group again by itself, and an operator names a founder.

mod support;

use std::time::Duration;

use support::{
    Alone, back_end, identity, observed_back_end, observed_service, service, stamp, statuses,
};
use threadledge_control::{
    ConfigurationEvent, ControlNode, ControlSettings, GroupObjectState, GroupObjectVersion, Input,
    Output,
};
use threadledge_ownership::holder::Holder;
use threadledge_types::records::SliceRecord;
use threadledge_types::{BackEndId, Generation, Incarnation, RouterId, Slice};

const TICK: Duration = Duration::from_millis(20);

/// A new router, as yet without a group, after those of `former` are gone.
fn replacement(former: &Alone) -> Alone {
    let settings = ControlSettings {
        group_size: 1,
        ..Default::default()
    };
    Alone {
        node: ControlNode::new(settings, identity(2), former.now),
        now: former.now,
    }
}

fn group_object(generation: u32, founder: u64) -> Input {
    Input::GroupObject(GroupObjectState::Present {
        generation: Generation(generation),
        founder: RouterId(founder),
        version: GroupObjectVersion("7".to_owned()),
    })
}

fn configure(alone: &mut Alone) {
    let object = back_end("one", "a", 4_000, stamp(10, 1));
    let event = ConfigurationEvent::BackEndChanged(observed_back_end(object));
    let outputs = alone.step(Input::Configuration(Box::new(event)));
    assert_eq!(statuses(outputs).len(), 1);
    let object = service("one", "gallery", "gallery.example", stamp(10, 1));
    alone.configure(ConfigurationEvent::ServiceChanged(observed_service(object)));
}

/// Lets time pass; the back end answers each request at once.
fn run(alone: &mut Alone, holder: &mut Holder, time: Duration) {
    let end = alone.now + time;
    while alone.now < end {
        alone.now = alone.now + TICK;
        let mut outputs = alone.step(Input::Tick);
        while let Some(output) = outputs.pop() {
            if let Output::SendLease { request, .. } = output {
                let back_end = request.back_end.clone();
                let response = Box::new(holder.handle(alone.now, *request));
                outputs.extend(alone.step(Input::LeaseAnswered { back_end, response }));
            }
        }
    }
}

fn owned(alone: &Alone) -> Vec<SliceRecord> {
    let slices = alone.node.replica().slices();
    slices.filter(|slice| slice.owner.is_some()).collect()
}

#[test]
fn group_object_of_lost_routers_founds_nothing() {
    let former = Alone::found();
    let mut alone = replacement(&former);
    for _ in 0..600 {
        alone.now = alone.now + Duration::from_millis(100);
        alone.step(Input::Tick);
        let outputs = alone.step(group_object(1, 1));
        let founds = |output: &Output| matches!(output, Output::WriteGroupObject { .. });
        assert!(!outputs.iter().any(founds));
    }
    assert!(alone.node.view().is_none());
}

/// One owner: the wait covers every lease that the lost routers gave.
#[test]
fn router_named_as_founder_waits_for_leases_and_gives_slices_back() {
    let mut former = Alone::found();
    configure(&mut former);
    let mut holder = Holder::new(BackEndId::new("one", "a"), Incarnation(1));
    run(&mut former, &mut holder, Duration::from_secs(5));
    let held: Vec<Slice> = owned(&former).iter().map(|record| record.slice).collect();
    assert!(!held.is_empty());

    let mut alone = replacement(&former);
    alone.step(group_object(2, 2));
    configure(&mut alone);
    run(&mut alone, &mut holder, Duration::from_millis(2_060));
    assert!(owned(&alone).is_empty(), "assigned within a lease");
    run(&mut alone, &mut holder, Duration::from_secs(5));
    let again = owned(&alone);
    let slices: Vec<Slice> = again.iter().map(|record| record.slice).collect();
    assert_eq!(slices, held);
    let later = former.node.replica().revision();
    assert!(again.iter().all(|record| record.epoch.0 > later));
}
