//! Serves the control address: leases, health, load, and the drain and
//! degradation commands of the rig.

use std::sync::Arc;

use async_std::task;
use http_types::{Body, Method, Request, Response, StatusCode};
use threadledge_types::session::{HEALTH_PATH, LEASE_PATH, LOAD_PATH, LeaseRequest};

use super::state::{Admission, BackEnd};
use super::{DEGRADE_PATH, DRAIN_PATH};

/// Handles one control request.
pub(super) async fn control(
    back_end: &Arc<BackEnd>,
    mut request: Request,
) -> http_types::Result<Response> {
    let path = request.url().path().to_owned();
    match (request.method(), path.as_str()) {
        (Method::Post, LEASE_PATH) => {
            let lease: LeaseRequest = request.body_json().await?;
            let response = back_end.lease(lease);
            prepare_slices(back_end);
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
        (Method::Post, DEGRADE_PATH) => {
            back_end.set_degradation(request.body_json().await?);
            Ok(Response::new(StatusCode::NoContent))
        }
        _ => Ok(Response::new(StatusCode::NotFound)),
    }
}

/// Marks the slices that the leader asked to prepare as ready after the
/// configured preparation time.
fn prepare_slices(back_end: &Arc<BackEnd>) {
    let grants = back_end.grants_to_prepare();
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

/// Answers a health probe. A draining back end reports itself healthy: like
/// most health endpoints, this one does not know about leases or drains.
/// Baselines have no other way to learn of a drain, so for them a draining back
/// end responds with 503.
fn health(back_end: &BackEnd) -> Response {
    if back_end.admission() == Admission::Unchecked && back_end.draining() {
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
