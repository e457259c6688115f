//! Faults begin, go on and end.

use std::fmt;
use std::io::Write;
use std::time::{Duration, Instant, UNIX_EPOCH};

use rustix::process::Signal;
use threadledge_platform_stand_in::Fault as StoreFault;

use super::{LAPSE, LATE, Later, Soak, Step, zone_name};
use crate::backpressure::{Backpressure, Episode};
use crate::check::{self, Violation};
use crate::fault::{Fault, Kind};
use crate::proxy::Mode;

impl Soak {
    /// Writes down what is done: the time of the machine in seconds, as in the
    /// gateways' logs, and that from the start as in the summary.
    pub(super) fn note(&mut self, done: &dyn fmt::Debug) -> eyre::Result<()> {
        let machine = UNIX_EPOCH.elapsed()?.as_secs_f64();
        let since = self.since_start().as_secs_f64();
        Ok(writeln!(self.log, "{machine:.3} {since:.3} s: {done:?}")?)
    }

    pub(super) async fn inject(&mut self, fault: &Fault) -> eyre::Result<()> {
        self.note(fault)?;
        let due = Instant::now() + fault.length;
        let began = self.since_start();
        let kind = fault.kind;
        match kind {
            Kind::Kill(gw) => self.kill(gw),
            Kind::KillAll => {
                for gw in 0..self.world.gateways.len() {
                    self.kill(gw);
                }
            }
            Kind::Pause(gw) => self.world.gateways[gw].signal(Signal::STOP)?,
            Kind::Stop(gw) => {
                // One that was killed cannot be asked.
                if self.world.gateways[gw].runs() && !self.stopping.contains_key(&gw) {
                    // One that stands still cannot stop in time.
                    self.world.gateways[gw].signal(Signal::CONT)?;
                    self.world.gateways[gw].signal(Signal::TERM)?;
                    self.stopping.insert(gw, Instant::now());
                }
            }
            Kind::Reload(gw) => self.world.gateways[gw].signal(Signal::HUP)?,
            Kind::StoreSilent => self.world.store.set_fault(StoreFault::Silent),
            Kind::StoreBusy => self.world.store.set_fault(StoreFault::Busy),
            Kind::StoreLosesAnswers => self.world.store.set_fault(StoreFault::LosesResponses),
            Kind::StoreForgets => self.world.store.compact(),
            Kind::StoreCut(gw) => self.world.doors[gw].set(Mode::Cut),
            Kind::StoreDeaf(gw) => self.world.doors[gw].set(Mode::Deaf),
            Kind::StoreReset(gw) => self.world.doors[gw].reset(),
            Kind::BackEndReset(be) => self.world.back_ends[be].proxy.reset(),
            Kind::BackEndCut(be) => self.world.back_ends[be].proxy.set(Mode::Cut),
            Kind::BackEndDeaf(be) => self.world.back_ends[be].proxy.set(Mode::Deaf),
            Kind::BackEndSlow(be) => self.world.back_ends[be].proxy.set(Mode::Slow(LATE)),
            Kind::Replace(be) => {
                self.world.forget_left();
                self.world.replace(be).await?;
            }
            Kind::Configure => self.world.configure(),
            Kind::DrainZone(number) => self.world.drain_zone(&zone_name(number), true),
            Kind::BackEndHold {
                back_end,
                ways,
                gateway,
                ..
            } => {
                let process = gateway.map(|gw| self.world.gateways[gw].process());
                // Links of one that does not run cannot be cut.
                if process != Some(None) {
                    let proxy = &self.world.back_ends[back_end].proxy;
                    proxy.hold(ways, process.flatten());
                }
            }
            Kind::StoreHold { gateway, ways, .. } => self.world.doors[gateway].hold(ways, None),
            Kind::BackEndMute(be) => self.world.back_ends[be].proxy.silence(),
            Kind::StoreMute(gw) => self.world.doors[gw].silence(),
            Kind::PeersMute(gw) => self.world.peers.silence(gw),
            Kind::Restart {
                back_end,
                dark,
                lapses,
                late,
            } => self.restart(back_end, dark, lapses, late),
            Kind::Cold(be) => self.world.turn_cold(be, fault.length),
            Kind::NamesLimit { back_end, in_ten_s } => {
                let rate = f64::from(in_ten_s) / 10.0;
                self.say(began, back_end, Backpressure::Limit(rate));
            }
            Kind::SaysLeaving(be) => self.say(began, be, Backpressure::Leaving),
            Kind::AsksRest { back_end, rest } => {
                self.say(began, back_end, Backpressure::Rest(rest));
            }
            Kind::LateGrants { back_end, lateness } => {
                let inner = &self.world.back_ends[back_end].inner;
                inner.set_grant_delay(Some(lateness));
            }
        }
        if kind.cuts_off() {
            self.troubles.push(began..began + fault.length + kind.lag());
        }
        self.put_off(due, Step::End(kind, began));
        Ok(())
    }

    /// A back end begins to say something, unless it says such a thing already.
    fn say(&mut self, began: Duration, back_end: usize, said: Backpressure) {
        let inner = self.world.back_ends[back_end].inner.clone();
        let mut episodes = self.episodes.iter();
        if episodes.any(|(_, episode)| episode.says(&inner, said)) {
            return;
        }
        let episode = Episode::begin(inner, said);
        self.episodes.push((began, episode));
    }

    /// The back ends that began to say something then say it no more.
    fn unsay(&mut self, began: Duration) {
        let begun = self.episodes.iter_mut();
        for (_, episode) in begun.filter(|(at, _)| *at == began) {
            episode.end();
        }
    }

    pub(super) fn put_off(&mut self, due: Instant, step: Step) {
        self.later.push(Later { due, step });
    }

    /// A back end crashes, another process takes its address, and the
    /// registration of the dead one is written again before it goes for good.
    pub(super) fn restart(
        &mut self,
        back_end: usize,
        dark: Duration,
        lapses: bool,
        late: Duration,
    ) {
        let Some(crashed) = self.world.crash(back_end) else {
            return;
        };
        self.away.insert(crashed.clone());
        let back = Instant::now() + dark;
        let written = back + late;
        if lapses {
            self.put_off(back - dark / 2, Step::Lapse(crashed.clone()));
        }
        let come_back = Step::ComeBack {
            back_end,
            crashed: crashed.clone(),
        };
        self.put_off(back, come_back);
        self.put_off(written, Step::RegisterLate(crashed.clone()));
        self.put_off(written + LAPSE, Step::Lapse(crashed));
    }

    pub(super) fn kill(&mut self, gw: usize) {
        self.kills.push((gw, Instant::now()));
        self.stopping.remove(&gw);
        self.world.gateways[gw].kill();
    }

    /// Does what is due, in the order in which it was.
    pub(super) async fn do_due(&mut self, now: Option<Instant>) -> eyre::Result<()> {
        let is_due = |later: &Later| now.is_none_or(|now| later.due <= now);
        let (mut due, later): (Vec<Later>, Vec<Later>) = self.later.drain(..).partition(is_due);
        self.later = later;
        due.sort_by_key(|later| later.due);
        for each in due {
            self.note(&each.step)?;
            match each.step {
                Step::End(Kind::SaysLeaving(be), began) => {
                    self.unsay(began);
                    self.world.forget_left();
                    self.world.replace(be).await?;
                }
                Step::End(kind, began) => self.end(kind, began)?,
                Step::ComeBack { back_end, crashed } => {
                    self.world.come_back(back_end, &crashed).await?;
                }
                Step::RegisterLate(id) => self.world.register_late(&id),
                Step::Lapse(id) => self.world.lapse(&id),
            }
        }
        Ok(())
    }

    pub(super) fn end(&mut self, kind: Kind, began: Duration) -> eyre::Result<()> {
        match kind {
            Kind::Kill(gw) => self.world.gateways[gw].begin()?,
            Kind::KillAll => {
                for gateway in &mut self.world.gateways {
                    gateway.begin()?;
                }
            }
            Kind::Pause(gw) => self.world.gateways[gw].signal(Signal::CONT)?,
            Kind::StoreSilent | Kind::StoreBusy | Kind::StoreLosesAnswers => {
                self.world.store.set_fault(StoreFault::None);
            }
            Kind::StoreCut(gw) | Kind::StoreDeaf(gw) => self.world.doors[gw].set(Mode::Sound),
            Kind::BackEndCut(be) | Kind::BackEndDeaf(be) | Kind::BackEndSlow(be) => {
                self.world.back_ends[be].proxy.set(Mode::Sound);
            }
            Kind::DrainZone(number) => self.restore_zone(&zone_name(number), began),
            Kind::BackEndHold { back_end, lag, .. } => {
                self.world.back_ends[back_end].proxy.heal(lag);
            }
            Kind::StoreHold { gateway, lag, .. } => self.world.doors[gateway].heal(lag),
            Kind::Cold(be) => self.world.turn_cold(be, Duration::ZERO),
            Kind::NamesLimit { .. } | Kind::AsksRest { .. } => self.unsay(began),
            Kind::LateGrants { back_end, .. } => {
                self.world.back_ends[back_end].inner.set_grant_delay(None);
            }
            _ => {}
        }
        Ok(())
    }

    /// Restores a zone and looks at what ran there while it was drained.
    pub(super) fn restore_zone(&mut self, zone: &str, drained: Duration) {
        let restored = self.since_start();
        self.world.drain_zone(zone, false);
        let runs = self.world.runs_in(zone).into_iter();
        let runs: Vec<Duration> = runs
            .map(|at| at.saturating_duration_since(self.start))
            .collect();
        let requests =
            check::runs_after_drain(&runs, &(drained..restored), &self.troubles, self.patience);
        if requests > 0 {
            let zone = zone.to_owned();
            self.violations
                .push(Violation::SentToDrained { zone, requests });
        }
    }

    pub(super) fn since_start(&self) -> Duration {
        self.start.elapsed()
    }

    /// Ends every fault.
    pub(super) async fn mend(&mut self) -> eyre::Result<()> {
        self.do_due(None).await?;
        self.world.mend_back_ends();
        self.world.forget_left();
        Ok(())
    }
}
