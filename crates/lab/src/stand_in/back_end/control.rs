//! The control address: leases, health, load and the rig's drain notice.

use std::sync::Arc;

use async_std::task;
use http_types::{Body, Method, Request, Response, StatusCode};
use threadledge_types::session::{HEALTH_PATH, LEASE_PATH, LOAD_PATH, LeaseRequest};

use super::state::{Admission, BackEnd};
use super::{DRAIN_PATH, SICKNESS_PATH};

/// Answers one control request.
pub(super) async fn control(
    back_end: &Arc<BackEnd>,
    mut request: Request,
) -> http_types::Result<Response> {
    let path = request.url().path().to_owned();
    match (request.method(), path.as_str()) {
        (Method::Post, LEASE_PATH) => {
            let lease: LeaseRequest = request.body_json().await?;
            let response = back_end.lease(lease);
            make_ready(back_end);
            json(&response)
        }
        (Method::Get, HEALTH_PATH) => {
            task::sleep(back_end.settings.probe()).await;
            Ok(health(back_end))
        }
        (Method::Get, LOAD_PATH) => {
            task::sleep(back_end.settings.probe()).await;
            json(&back_end.load())
        }
        (Method::Post, DRAIN_PATH) => {
            back_end.drain();
            Ok(Response::new(StatusCode::NoContent))
        }
        (Method::Post, SICKNESS_PATH) => {
            back_end.set_sickness(request.body_json().await?);
            Ok(Response::new(StatusCode::NoContent))
        }
        _ => Ok(Response::new(StatusCode::NotFound)),
    }
}

/// Makes ready for the slices that the leader asked for.
fn make_ready(back_end: &Arc<BackEnd>) {
    let grants = back_end.preparing();
    if grants.is_empty() {
        return;
    }
    let back_end = back_end.clone();
    task::spawn(async move {
        task::sleep(back_end.settings.prepare()).await;
        for grant in grants {
            back_end.mark_ready(&grant);
        }
    });
}

/// A leaving back end reports itself healthy: the endpoint knows nothing of
/// leases or drains, as health endpoints are wont. Baselines have no other
/// way to learn of a drain, so for them it tells.
fn health(back_end: &BackEnd) -> Response {
    if back_end.admission() == Admission::Anything && back_end.draining() {
        return Response::new(StatusCode::ServiceUnavailable);
    }
    let mut response = Response::new(StatusCode::Ok);
    response.set_body(format!("ok {}\n", back_end.session()));
    response
}

fn json<T: serde::Serialize>(value: &T) -> http_types::Result<Response> {
    let mut response = Response::new(StatusCode::Ok);
    response.set_body(Body::from_json(value)?);
    Ok(response)
}
