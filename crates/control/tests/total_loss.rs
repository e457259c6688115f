//! Every router of a region is lost at once. No router is left that could
//! recover the group, so an operator names a founder.

mod support;

use std::time::Duration;

use support::{
    SingleRouter, back_end, identity, object_version, observed_back_end, observed_service, service,
    statuses,
};
use threadledge_control::{
    ConfigurationEvent, ControlNode, ControlSettings, GroupObjectState, GroupObjectVersion, Input,
    Output,
};
use threadledge_ownership::holder::Holder;
use threadledge_types::records::SliceRecord;
use threadledge_types::{BackEndId, Generation, Incarnation, RouterId, Slice};

const TICK: Duration = Duration::from_millis(20);

/// Creates a new router without a group, after those of `former` are gone.
fn replacement(former: &SingleRouter) -> SingleRouter {
    let settings = ControlSettings {
        group_size: 1,
        ..Default::default()
    };
    SingleRouter {
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

fn configure(router: &mut SingleRouter) {
    let object = back_end("one", "a", 4_000, object_version(10, 1));
    let event = ConfigurationEvent::BackEndChanged(observed_back_end(object));
    let outputs = router.step(Input::Configuration(Box::new(event)));
    assert_eq!(statuses(outputs).len(), 1);
    let object = service("one", "gallery", "gallery.example", object_version(10, 1));
    router.configure(ConfigurationEvent::ServiceChanged(observed_service(object)));
}

/// Runs for `time`; the back end answers each request immediately.
fn run(router: &mut SingleRouter, holder: &mut Holder, time: Duration) {
    let end = router.now + time;
    while router.now < end {
        router.now = router.now + TICK;
        let mut outputs = router.step(Input::Tick);
        while let Some(output) = outputs.pop() {
            if let Output::SendLease { request, .. } = output {
                let back_end = request.back_end.clone();
                let response = Box::new(holder.handle(router.now, *request));
                outputs.extend(router.step(Input::LeaseAnswered { back_end, response }));
            }
        }
    }
}

fn owned(router: &SingleRouter) -> Vec<SliceRecord> {
    let slices = router.node.replica().slices();
    slices.filter(|slice| slice.owner.is_some()).collect()
}

#[test]
fn group_object_of_lost_routers_does_not_bootstrap() {
    let former = SingleRouter::bootstrap();
    let mut router = replacement(&former);
    for _ in 0..600 {
        router.now = router.now + Duration::from_millis(100);
        router.step(Input::Tick);
        let outputs = router.step(group_object(1, 1));
        let founds = |output: &Output| matches!(output, Output::WriteGroupObject { .. });
        assert!(!outputs.iter().any(founds));
    }
    assert!(router.node.view().is_none());
}

/// Guards the invariant of one owner: the wait covers every lease that the lost
/// routers granted.
#[test]
fn router_named_as_founder_waits_for_leases_and_restores_slices() {
    let mut former = SingleRouter::bootstrap();
    configure(&mut former);
    let mut holder = Holder::new(BackEndId::new("one", "a"), Incarnation(1));
    run(&mut former, &mut holder, Duration::from_secs(5));
    let held: Vec<Slice> = owned(&former).iter().map(|record| record.slice).collect();
    assert!(!held.is_empty());

    let mut router = replacement(&former);
    router.step(group_object(2, 2));
    configure(&mut router);
    run(&mut router, &mut holder, Duration::from_millis(2_060));
    assert!(owned(&router).is_empty(), "assigned within a lease");
    run(&mut router, &mut holder, Duration::from_secs(5));
    let again = owned(&router);
    let slices: Vec<Slice> = again.iter().map(|record| record.slice).collect();
    assert_eq!(slices, held);
    let later = former.node.replica().revision();
    assert!(again.iter().all(|record| record.epoch.0 > later));
}
