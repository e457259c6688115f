//! Looks at gateways and back ends, while faults last and once all is mended.

use std::collections::BTreeMap;
use std::time::Instant;

use threadledge_net::timer;

use super::{
    CALM, GRACE, LAPSE, LAST_REQUESTS, LOOK, OVERLAP, Soak, Step, VERSIONS_EACH, shown_version,
    stop_cut,
};
use crate::caller::{self, History};
use crate::check::{self, Answer, Violation};
use crate::crashing;
use crate::tenants;
use crate::world::looked_at;

impl Soak {
    /// Looks at everything once.
    pub(super) async fn look(&mut self) -> eyre::Result<()> {
        let now = Instant::now();
        self.do_due(Some(now)).await?;
        self.look_at_processes(now)?;
        self.look_at_crashes();
        self.look_at_owners(now);
        self.looks += 1;
        if self.looks.is_multiple_of(VERSIONS_EACH) {
            self.look_at_versions().await;
        }
        Ok(())
    }

    pub(super) fn look_at_processes(&mut self, now: Instant) -> eyre::Result<()> {
        let grace = GRACE * self.patience;
        for (number, gateway) in self.world.gateways.iter_mut().enumerate() {
            let asked = self.stopping.get(&number).copied();
            let Some(status) = gateway.ended() else {
                if asked.is_some_and(|asked| now > asked + grace) {
                    self.stopping.remove(&number);
                    let problem = "it goes on after the grace time".to_owned();
                    self.violations.push(stop_cut(number, problem));
                    gateway.kill();
                    gateway.begin()?;
                }
                continue;
            };
            self.stopping.remove(&number);
            if !status.success() || asked.is_none() {
                let problem = format!("it ended by itself with {status}");
                self.violations.push(stop_cut(number, problem));
            }
            gateway.begin()?;
        }
        Ok(())
    }

    /// A back end that ended under a request comes back; its registration
    /// lapses.
    fn look_at_crashes(&mut self) {
        for index in 0..self.world.back_ends.len() {
            let inner = &self.world.back_ends[index].inner;
            if !inner.has_crashed() || self.away.contains(&inner.incarnation()) {
                continue;
            }
            let crashed = inner.incarnation();
            self.away.insert(crashed.clone());
            let back = Instant::now() + crashing::AWAY;
            let come_back = Step::ComeBack {
                back_end: index,
                crashed: crashed.clone(),
            };
            self.put_off(back, come_back);
            self.put_off(back + LAPSE, Step::Lapse(crashed));
        }
    }

    /// Owners that two looks in a row find beside each other count.
    pub(super) fn look_at_owners(&mut self, now: Instant) {
        let mut seen = BTreeMap::new();
        let overlap = OVERLAP * self.patience;
        for violation in check::owners(&self.world.held()) {
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

    pub(super) async fn look_at_versions(&mut self) {
        for number in 0..self.world.gateways.len() {
            let gateway = &self.world.gateways[number];
            let (life, address) = (gateway.life, gateway.readiness);
            let Some(version) = shown_version(&self.client, address).await else {
                continue;
            };
            let before = self.shown.entry((number, life)).or_default();
            if version < *before {
                let versions = [*before, version];
                let gateway = number;
                self.violations
                    .push(Violation::WentBack { gateway, versions });
            }
            *before = version.max(*before);
        }
    }

    /// Waits until every gateway shows the newest configuration and every key
    /// is held.
    pub(super) async fn await_calm(&mut self, after: &str) {
        let start = Instant::now();
        let calm = CALM * self.patience;
        loop {
            if let Err(error) = self.look().await {
                let problem = error.to_string();
                self.violations.push(Violation::NotRecovered { problem });
                return;
            }
            let Some(problem) = self.unrest().await else {
                return;
            };
            if start.elapsed() > calm {
                let problem = format!("{problem} {calm:?} after the {after}");
                self.violations.push(Violation::NotRecovered { problem });
                return;
            }
            timer::sleep(LOOK * 5).await;
        }
    }

    pub(super) async fn unrest(&self) -> Option<String> {
        // It answers until it ends, and is started again by a look.
        if let Some(number) = self.stopping.keys().next() {
            return Some(format!("gateway {number} is stopping"));
        }
        for (number, gateway) in self.world.gateways.iter().enumerate() {
            let shown = shown_version(&self.client, gateway.readiness).await;
            if shown != Some(self.world.version) {
                let wanted = self.world.version;
                return Some(format!(
                    "gateway {number} shows {shown:?} instead of {wanted}"
                ));
            }
        }
        let held: usize = self.world.held().iter().map(|(_, keys)| keys.len()).sum();
        let wanted = looked_at().len();
        (held != wanted).then(|| format!("{held} of {wanted} keys are held"))
    }

    /// Every gateway serves everything again, soon after the last fault.
    pub(super) async fn last_requests(&mut self, mended: Instant, history: &History) {
        for number in 0..self.world.gateways.len() {
            for kind in caller::Kind::ALL {
                for each in 0..LAST_REQUESTS {
                    let served = self.last_request(number, kind, each, mended, history);
                    if let Err(problem) = served.await {
                        self.violations.push(Violation::NotRecovered { problem });
                    }
                }
            }
            self.last_keys(number, history).await;
        }
    }

    /// Every gateway knows the keys of the last version, and no earlier one's.
    async fn last_keys(&mut self, number: usize, history: &History) {
        let to = self.world.gateways[number].callers;
        let newest = self.world.version;
        for (version, wanted) in [(newest, 200), (newest - 1, 401)] {
            let id = format!("{}{version}-at-{number}", tenants::PASSING);
            let api_key = tenants::passing_key(version);
            let kind = caller::Kind::Safe;
            let asked = caller::send_with(&self.client, to, kind, &id, &id, 0, &api_key);
            let seen = asked.await;
            let answer = seen.answer.clone();
            history.lock().push(seen);
            let status = match answer {
                Answer::Whole { status, .. } => Some(status),
                Answer::None => None,
            };
            // What a single request may meet is not looked at here.
            if status == Some(401) && wanted == 200 || status == Some(200) && wanted == 401 {
                let problem = format!("{id} ended with {answer:?}");
                self.violations.push(Violation::NotRecovered { problem });
            }
        }
    }

    pub(super) async fn last_request(
        &self,
        number: usize,
        kind: caller::Kind,
        each: usize,
        mended: Instant,
        history: &History,
    ) -> Result<(), String> {
        let to = self.world.gateways[number].callers;
        let key = u16::try_from(each * 9_001).unwrap_or_default();
        for attempt in 0.. {
            let id = format!("last-{number}-{kind:?}-{each}-{attempt}");
            let seen = caller::ask(&self.client, to, kind, &id, key).await;
            let answer = seen.answer.clone();
            history.lock().push(seen);
            if matches!(answer, Answer::Whole { status: 200, .. }) {
                return Ok(());
            }
            if mended.elapsed() > CALM * self.patience {
                return Err(format!("{id} ended with {answer:?}"));
            }
            timer::sleep(LOOK * 5).await;
        }
        Ok(())
    }
}
