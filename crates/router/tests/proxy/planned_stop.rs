//! A planned stop cuts nothing off.

use crate::back_end::Behavior;
use crate::world::{World, within};

#[async_std::test]
async fn requests_in_flight_are_answered_during_a_planned_stop() {
    let world = World::start().await;
    // Refused at first, so that it is still on its way when the stop comes.
    for _ in 0..3 {
        world.back_end.next(Behavior::Refuse("overloaded"));
    }
    let mut caller = world.caller().await;
    caller.send("POST", "/p?key=k", "", b"body").await;
    within(world.back_end.reached.recv()).await.unwrap();
    world.stop.stop();
    let answer = caller.answer().await;
    world.check(&answer, "/p?key=k", false);
    assert_eq!(answer.outcome(), "answered");
    assert_eq!(answer.header("connection"), Some("close"));
    let report = within(world.proxy.served).await;
    assert_eq!((report.requests, report.aborted), (1, 0));
}
