//! The process that hosts one partner's callers.

use std::sync::Arc;

use async_std::task;
use futures::future::join_all;

use super::caller::Callers;
use super::direct::call_directly;
use super::settings::CallerSettings;
use crate::history::Recorder;

/// Distance between the seeds of different kinds of requests.
const SEED_STRIDE: u64 = 0x9e37_79b9;

/// Sends the load and returns when every request has an outcome.
pub async fn run_process(settings: CallerSettings, recorder: Recorder) {
    let callers = Arc::new(Callers::new(&settings, recorder.clone()));
    recorder.ready();
    let mut tasks = Vec::new();
    for (number, traffic) in settings.traffic.iter().cloned().enumerate() {
        let seed = settings.seed.wrapping_add(number as u64 * SEED_STRIDE);
        tasks.push(task::spawn(callers.clone().send_traffic(traffic, seed)));
    }
    let direct = settings.direct.clone().map(|direct| {
        let callers = callers.clone();
        let settings = settings.clone();
        task::spawn(async move { call_directly(callers, &settings, direct).await })
    });
    join_all(tasks).await;
    if let Some(direct) = direct
        && let Err(error) = direct.await
    {
        tracing::warn!(%error, "direct calls could not be made");
    }
}
