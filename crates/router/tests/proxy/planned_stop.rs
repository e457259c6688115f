//! A planned stop cuts off no request in flight.

use crate::back_end::Behavior;
use crate::world::{World, within};

#[async_std::test]
async fn requests_in_flight_are_answered_during_a_planned_stop() {
    let world = World::start().await;
    // The first attempts are refused, so that the request is still in flight
    // when the stop begins.
    for _ in 0..3 {
        world.back_end.enqueue(Behavior::Refuse("overloaded"));
    }
    let mut caller = world.caller().await;
    caller.send("POST", "/p?key=k", "", b"body").await;
    within(world.back_end.received.recv()).await.unwrap();
    world.stop.stop();
    let answer = caller.read_answer().await;
    world.check(&answer, "/p?key=k", false);
    assert_eq!(answer.outcome(), "answered");
    assert_eq!(answer.header("connection"), Some("close"));
    let report = within(world.proxy.served).await;
    assert_eq!((report.requests, report.aborted), (1, 0));
}
