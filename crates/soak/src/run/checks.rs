//! Checks of gateways and back ends, during the faults and after recovery.

use std::collections::BTreeMap;
use std::time::Instant;

use threadledge_net::timer;

use super::{
    CHECK_INTERVAL, CHECKS_PER_VERSION_CHECK, FINAL_REQUESTS, MIN_OVERLAP, RECOVERY_TIMEOUT,
    REGISTRATION_TTL, STOP_TIMEOUT, Soak, Step, fetch_shown_version, stop_failed,
};
use crate::caller::{self, History};
use crate::check::{self, Answer, Violation};
use crate::crashing;
use crate::tenants;
use crate::world::sampled_keys;

impl Soak {
    /// Runs every check that is due.
    pub(super) async fn run_checks(&mut self) -> eyre::Result<()> {
        let now = Instant::now();
        self.run_due_steps(Some(now)).await?;
        self.check_processes(now)?;
        self.check_crashes();
        self.check_owners(now);
        self.check_count += 1;
        if self.check_count.is_multiple_of(CHECKS_PER_VERSION_CHECK) {
            self.check_versions().await;
        }
        Ok(())
    }

    pub(super) fn check_processes(&mut self, now: Instant) -> eyre::Result<()> {
        let stop_timeout = STOP_TIMEOUT * self.time_factor;
        for (number, gateway) in self.world.gateways.iter_mut().enumerate() {
            let asked = self.stopping.get(&number).copied();
            let Some(status) = gateway.process.take_exit_status() else {
                if asked.is_some_and(|asked| now > asked + stop_timeout) {
                    self.stopping.remove(&number);
                    let problem = "it goes on after the grace time".to_owned();
                    self.violations.push(stop_failed(number, problem));
                    gateway.process.kill();
                    gateway.spawn()?;
                }
                continue;
            };
            self.stopping.remove(&number);
            if !status.success() || asked.is_none() {
                let problem = format!("it ended by itself with {status}");
                self.violations.push(stop_failed(number, problem));
            }
            gateway.spawn()?;
        }
        Ok(())
    }

    /// Schedules the restart of back ends that crashed under a request, and the
    /// expiry of their registrations.
    fn check_crashes(&mut self) {
        for index in 0..self.world.back_ends.len() {
            let inner = &self.world.back_ends[index].inner;
            if !inner.has_crashed() || self.restarting.contains(&inner.incarnation()) {
                continue;
            }
            let crashed = inner.incarnation();
            self.restarting.insert(crashed.clone());
            let back = Instant::now() + crashing::RESTART_DELAY;
            let step = Step::ComeBack {
                back_end: index,
                crashed: crashed.clone(),
            };
            self.schedule(back, step);
            self.schedule(back + REGISTRATION_TTL, Step::Lapse(crashed));
        }
    }

    /// Reports keys that two back ends held at the same time in checks over at
    /// least the minimum overlap.
    pub(super) fn check_owners(&mut self, now: Instant) {
        let mut seen = BTreeMap::new();
        let overlap = MIN_OVERLAP * self.time_factor;
        for violation in check::find_shared_keys(&self.world.held_keys()) {
            let Violation::TwoOwners { key, .. } = violation else {
                continue;
            };
            let since = self.overlaps.get(&key).map_or(now, |(since, _)| *since);
            if now.duration_since(since) >= overlap && !self.violations.contains(&violation) {
                self.violations.push(violation.clone());
            }
            seen.insert(key, (since, violation));
        }
        self.overlaps = seen;
    }

    pub(super) async fn check_versions(&mut self) {
        for number in 0..self.world.gateways.len() {
            let gateway = &self.world.gateways[number];
            let (incarnation, address) = (gateway.incarnation, gateway.readiness);
            let Some(version) = fetch_shown_version(&self.client, address).await else {
                continue;
            };
            let before = self
                .shown_versions
                .entry((number, incarnation))
                .or_default();
            if version < *before {
                let versions = [*before, version];
                let gateway = number;
                self.violations
                    .push(Violation::VersionRegressed { gateway, versions });
            }
            *before = version.max(*before);
        }
    }

    /// Waits until every gateway shows the newest configuration and every key
    /// is held.
    pub(super) async fn await_recovery(&mut self, after: &str) {
        let start = Instant::now();
        let timeout = RECOVERY_TIMEOUT * self.time_factor;
        loop {
            if let Err(error) = self.run_checks().await {
                let problem = error.to_string();
                self.violations.push(Violation::NotRecovered { problem });
                return;
            }
            let Some(problem) = self.unrecovered_problem().await else {
                return;
            };
            if start.elapsed() > timeout {
                let problem = format!("{problem} {timeout:?} after the {after}");
                self.violations.push(Violation::NotRecovered { problem });
                return;
            }
            timer::sleep(CHECK_INTERVAL * 5).await;
        }
    }

    pub(super) async fn unrecovered_problem(&self) -> Option<String> {
        // A stopping gateway answers until it ends, and is restarted by a
        // check.
        if let Some(number) = self.stopping.keys().next() {
            return Some(format!("gateway {number} is stopping"));
        }
        for (number, gateway) in self.world.gateways.iter().enumerate() {
            let shown = fetch_shown_version(&self.client, gateway.readiness).await;
            if shown != Some(self.world.version) {
                let wanted = self.world.version;
                return Some(format!(
                    "gateway {number} shows {shown:?} instead of {wanted}"
                ));
            }
        }
        let held: usize = self
            .world
            .held_keys()
            .iter()
            .map(|(_, keys)| keys.len())
            .sum();
        let wanted = sampled_keys().len();
        (held != wanted).then(|| format!("{held} of {wanted} keys are held"))
    }

    /// Checks that every gateway serves all kinds of requests again soon after
    /// the last fault.
    pub(super) async fn send_final_requests(
        &mut self,
        faults_ended_at: Instant,
        history: &History,
    ) {
        for number in 0..self.world.gateways.len() {
            for kind in caller::Kind::ALL {
                for each in 0..FINAL_REQUESTS {
                    let served =
                        self.send_final_request(number, kind, each, faults_ended_at, history);
                    if let Err(problem) = served.await {
                        self.violations.push(Violation::NotRecovered { problem });
                    }
                }
            }
            self.check_final_keys(number, history).await;
        }
    }

    /// Checks that every gateway accepts the API key of the last configuration
    /// version and rejects that of the version before.
    async fn check_final_keys(&mut self, number: usize, history: &History) {
        let to = self.world.gateways[number].callers;
        let newest = self.world.version;
        for (version, wanted) in [(newest, 200), (newest - 1, 401)] {
            let id = format!("{}{version}-at-{number}", tenants::PASSING_KEY_PREFIX);
            let api_key = tenants::passing_key(version);
            let kind = caller::Kind::Safe;
            let response = caller::send_with_api_key(&self.client, to, kind, &id, &id, 0, &api_key);
            let record = response.await;
            let answer = record.answer.clone();
            history.lock().push(record);
            let status = match answer {
                Answer::Whole { status, .. } => Some(status),
                Answer::None => None,
            };
            // Other failures of a single request are not checked here.
            if status == Some(401) && wanted == 200 || status == Some(200) && wanted == 401 {
                let problem = format!("{id} ended with {answer:?}");
                self.violations.push(Violation::NotRecovered { problem });
            }
        }
    }

    pub(super) async fn send_final_request(
        &self,
        number: usize,
        kind: caller::Kind,
        each: usize,
        faults_ended_at: Instant,
        history: &History,
    ) -> Result<(), String> {
        let to = self.world.gateways[number].callers;
        let key = u16::try_from(each * 9_001).unwrap_or_default();
        for attempt in 0.. {
            let id = format!("last-{number}-{kind:?}-{each}-{attempt}");
            let record = caller::send_unique(&self.client, to, kind, &id, key).await;
            let answer = record.answer.clone();
            history.lock().push(record);
            if matches!(answer, Answer::Whole { status: 200, .. }) {
                return Ok(());
            }
            if faults_ended_at.elapsed() > RECOVERY_TIMEOUT * self.time_factor {
                return Err(format!("{id} ended with {answer:?}"));
            }
            timer::sleep(CHECK_INTERVAL * 5).await;
        }
        Ok(())
    }
}
