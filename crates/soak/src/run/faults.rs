//! Starts and ends faults.

use std::fmt;
use std::io::Write;
use std::time::{Duration, Instant, UNIX_EPOCH};

use rustix::process::Signal;
use threadledge_platform_stand_in::Fault as StoreFault;

use super::{REGISTRATION_TTL, SLOW_DELAY, ScheduledStep, Soak, Step, zone_name};
use crate::backpressure::{Backpressure, Episode};
use crate::check::{self, Violation};
use crate::fault::{Fault, Kind};
use crate::proxy::Mode;
use crate::proxy::copies::Doubling;

/// Time from the end of a back end until its address is used again.
const REUSE_AFTER: Duration = Duration::from_secs(2);

impl Soak {
    /// Writes an action to the log with the machine time in seconds, as in the
    /// gateways' logs, and the time since the start, as in the summary.
    pub(super) fn log_action(&mut self, done: &dyn fmt::Debug) -> eyre::Result<()> {
        let machine = UNIX_EPOCH.elapsed()?.as_secs_f64();
        let since = self.since_start().as_secs_f64();
        Ok(writeln!(self.log, "{machine:.3} {since:.3} s: {done:?}")?)
    }

    pub(super) async fn inject(&mut self, fault: &Fault) -> eyre::Result<()> {
        let due = Instant::now() + fault.length;
        let began = self.since_start();
        let kind = match fault.kind {
            Kind::KillCoordinator => Kind::Kill(self.world.coordinator()),
            Kind::PauseCoordinator => Kind::Pause(self.world.coordinator()),
            kind => kind,
        };
        self.log_action(&Fault { kind, ..*fault })?;
        match kind {
            Kind::Kill(gw) => self.kill(gw),
            Kind::KillAll => {
                for gw in 0..self.world.gateways.len() {
                    self.kill(gw);
                }
            }
            Kind::Pause(gw) => self.world.gateways[gw].process.pause()?,
            Kind::Stop(gw) => {
                // A killed gateway cannot be asked to stop.
                let process = &self.world.gateways[gw].process;
                if process.is_running() && !self.stopping.contains_key(&gw) {
                    // A paused gateway cannot stop in time.
                    process.resume()?;
                    process.signal(Signal::TERM)?;
                    self.stopping.insert(gw, Instant::now());
                }
            }
            Kind::Reload(gw) => self.world.gateways[gw].process.signal(Signal::HUP)?,
            Kind::KillCoordinator | Kind::PauseCoordinator => {}
            Kind::StoreSilent => self.world.set_store_fault(StoreFault::Silent),
            Kind::StoreBusy => self.world.set_store_fault(StoreFault::Busy),
            Kind::StoreLosesAnswers => self.world.set_store_fault(StoreFault::LosesResponses),
            Kind::StoreSlow(delay) => self.world.set_store_fault(StoreFault::Slow(delay)),
            Kind::StoreWritesLate(delay) => {
                self.world.set_store_fault(StoreFault::WritesLate(delay));
            }
            Kind::StoreTurnsAway {
                first,
                count,
                silently,
            } => self.world.turn_away(first, count, silently),
            Kind::StoreForgets => self.world.store.compact(),
            Kind::StoreCut(gw) => self.world.store_proxies[gw].set_mode(Mode::DropAll),
            Kind::StoreDeaf(gw) => self.world.store_proxies[gw].set_mode(Mode::DropResponses),
            Kind::StoreReset(gw) => self.world.store_proxies[gw].reset_connections(),
            Kind::BackEndReset(be) => self.world.back_ends[be].proxy.reset_connections(),
            Kind::BackEndCut(be) => self.world.back_ends[be].proxy.set_mode(Mode::DropAll),
            Kind::BackEndDeaf(be) => self.world.back_ends[be].proxy.set_mode(Mode::DropResponses),
            Kind::BackEndSlow(be) => self.world.back_ends[be]
                .proxy
                .set_mode(Mode::Delay(SLOW_DELAY)),
            Kind::Replace(be) => {
                self.world.remove_former_registrations();
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
                let process = gateway.map(|gw| self.world.gateways[gw].process.pid());
                // The connections of a gateway that is not running cannot be
                // cut.
                if process != Some(None) {
                    let proxy = &self.world.back_ends[back_end].proxy;
                    proxy.partition(ways, process.flatten());
                }
            }
            Kind::StoreHold { gateway, ways, .. } => {
                self.world.store_proxies[gateway].partition(ways, None)
            }
            Kind::BackEndMute(be) => self.world.back_ends[be].proxy.stall_connections(),
            Kind::StoreMute(gw) => self.world.store_proxies[gw].stall_connections(),
            Kind::PeersMute(gw) => self.world.peers.stall_connections(gw),
            Kind::Restart {
                back_end,
                dark,
                lapses,
                late,
            } => self.restart(back_end, dark, lapses, late),
            Kind::Cold(be) => self.world.register_cold(be, fault.length),
            Kind::NamesLimit { back_end, in_ten_s } => {
                let rate = f64::from(in_ten_s) / 10.0;
                self.begin_episode(began, back_end, Backpressure::Limit(rate));
            }
            Kind::SaysLeaving(be) => self.begin_episode(began, be, Backpressure::Leaving),
            Kind::AsksRest { back_end, rest } => {
                self.begin_episode(began, back_end, Backpressure::Rest(rest));
            }
            Kind::LateGrants { back_end, lateness } => {
                let inner = &self.world.back_ends[back_end].inner;
                inner.set_grant_delay(Some(lateness));
            }
            Kind::LateOrders { back_end, lateness } => {
                let inner = &self.world.back_ends[back_end].inner;
                inner.set_order_delay(Some(lateness));
            }
            Kind::Leave {
                back_end,
                says_draining,
                reused,
            } => {
                let left = self.world.leave(back_end, says_draining).await?;
                self.schedule(due, Step::EndLeft(left.clone()));
                if reused {
                    self.schedule(due + REUSE_AFTER, Step::Reuse(left));
                }
            }
            Kind::Unregistered(be) => self.world.unregister(be),
            Kind::SlowGateway { gateway, share } => {
                self.world.gateways[gateway].process.set_share(Some(share));
            }
            Kind::SlowReader {
                back_end,
                bytes_per_s,
            } => {
                let proxy = &self.world.back_ends[back_end].proxy;
                proxy.read_slowly(bytes_per_s, fault.length);
            }
            Kind::LinkFull { ways, queue } => self.world.crowd_link(ways, queue),
            Kind::Doubles {
                back_end,
                timing,
                percent,
            } => {
                let seed = fault.at.as_millis() as u64;
                let doubling = Doubling::new(timing, percent, seed);
                self.world.back_ends[back_end].proxy.set_doubling(doubling);
            }
        }
        if kind.may_disconnect() {
            self.disturbances
                .push(began..began + fault.length + kind.lag());
        }
        self.schedule(due, Step::End(kind, began));
        Ok(())
    }

    /// Starts a backpressure episode, unless the back end already announces a
    /// signal of this kind.
    fn begin_episode(&mut self, began: Duration, back_end: usize, signal: Backpressure) {
        let inner = self.world.back_ends[back_end].inner.clone();
        let mut episodes = self.episodes.iter();
        if episodes.any(|(_, episode)| episode.announces(&inner, signal)) {
            return;
        }
        let episode = Episode::begin(inner, signal);
        self.episodes.push((began, episode));
    }

    /// Ends the backpressure episodes that began at this time.
    fn end_episodes(&mut self, began: Duration) {
        let episodes = self.episodes.iter_mut();
        for (_, episode) in episodes.filter(|(at, _)| *at == began) {
            episode.end();
        }
    }

    pub(super) fn schedule(&mut self, due: Instant, step: Step) {
        self.scheduled.push(ScheduledStep { due, step });
    }

    /// Crashes a back end, starts another process at its address, and writes
    /// the registration of the crashed process again before it expires.
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
        self.restarting.insert(crashed.clone());
        let back = Instant::now() + dark;
        let written = back + late;
        if lapses {
            self.schedule(back - dark / 2, Step::Lapse(crashed.clone()));
        }
        let step = Step::ComeBack {
            back_end,
            crashed: crashed.clone(),
        };
        self.schedule(back, step);
        self.schedule(written, Step::RegisterLate(crashed.clone()));
        self.schedule(written + REGISTRATION_TTL, Step::Lapse(crashed));
    }

    pub(super) fn kill(&mut self, gw: usize) {
        self.kills.push((gw, Instant::now()));
        self.stopping.remove(&gw);
        self.world.gateways[gw].process.kill();
    }

    /// Runs the steps that are due at `now`, or all of them, in the order of
    /// their due times.
    pub(super) async fn run_due_steps(&mut self, now: Option<Instant>) -> eyre::Result<()> {
        let is_due = |scheduled: &ScheduledStep| now.is_none_or(|now| scheduled.due <= now);
        let (mut due, scheduled): (Vec<ScheduledStep>, Vec<ScheduledStep>) =
            self.scheduled.drain(..).partition(is_due);
        self.scheduled = scheduled;
        due.sort_by_key(|scheduled| scheduled.due);
        for each in due {
            self.log_action(&each.step)?;
            match each.step {
                Step::End(Kind::SaysLeaving(be), began) => {
                    self.end_episodes(began);
                    self.world.remove_former_registrations();
                    self.world.replace(be).await?;
                }
                Step::End(kind, began) => self.end(kind, began)?,
                Step::ComeBack { back_end, crashed } => {
                    self.world.restart_back_end(back_end, &crashed).await?;
                }
                Step::EndLeft(id) => self.world.end_left(&id),
                Step::Reuse(id) => self.world.reuse_address(&id).await?,
                Step::RegisterLate(id) => self.world.register_again(&id),
                Step::Lapse(id) => self.world.expire_registration(&id),
            }
        }
        Ok(())
    }

    pub(super) fn end(&mut self, kind: Kind, began: Duration) -> eyre::Result<()> {
        match kind {
            Kind::Kill(gw) => self.world.gateways[gw].spawn()?,
            Kind::KillAll => {
                for gateway in &mut self.world.gateways {
                    gateway.spawn()?;
                }
            }
            Kind::Pause(gw) => self.world.gateways[gw].process.resume()?,
            Kind::StoreSilent
            | Kind::StoreBusy
            | Kind::StoreLosesAnswers
            | Kind::StoreSlow(_)
            | Kind::StoreWritesLate(_)
            | Kind::StoreTurnsAway { .. } => self.world.set_store_fault(StoreFault::None),
            Kind::StoreCut(gw) | Kind::StoreDeaf(gw) => {
                self.world.store_proxies[gw].set_mode(Mode::Normal)
            }
            Kind::BackEndCut(be) | Kind::BackEndDeaf(be) | Kind::BackEndSlow(be) => {
                self.world.back_ends[be].proxy.set_mode(Mode::Normal);
            }
            Kind::DrainZone(number) => self.restore_zone(&zone_name(number), began),
            Kind::BackEndHold { back_end, lag, .. } => {
                self.world.back_ends[back_end].proxy.heal(lag);
            }
            Kind::StoreHold { gateway, lag, .. } => self.world.store_proxies[gateway].heal(lag),
            Kind::Cold(be) => self.world.register_cold(be, Duration::ZERO),
            Kind::NamesLimit { .. } | Kind::AsksRest { .. } => self.end_episodes(began),
            Kind::LateGrants { back_end, .. } => {
                self.world.back_ends[back_end].inner.set_grant_delay(None);
            }
            Kind::LateOrders { back_end, .. } => {
                self.world.back_ends[back_end].inner.set_order_delay(None);
            }
            Kind::Unregistered(be) => self.world.register_cold(be, Duration::ZERO),
            Kind::LinkFull { ways, .. } => self.world.crowd_link(ways, Duration::ZERO),
            Kind::SlowGateway { gateway, .. } => {
                self.world.gateways[gateway].process.set_share(None);
            }
            Kind::Doubles { back_end, .. } => {
                let proxy = &self.world.back_ends[back_end].proxy;
                proxy.set_doubling(Doubling::none());
            }
            _ => {}
        }
        Ok(())
    }

    /// Restores a zone and checks which requests ran there while it was
    /// drained.
    pub(super) fn restore_zone(&mut self, zone: &str, drained: Duration) {
        let restored = self.since_start();
        self.world.drain_zone(zone, false);
        let runs = self.world.run_times_in_zone(zone).into_iter();
        let runs: Vec<Duration> = runs
            .map(|at| at.saturating_duration_since(self.start))
            .collect();
        let requests = check::runs_after_drain(
            &runs,
            &(drained..restored),
            &self.disturbances,
            self.time_factor,
        );
        if requests > 0 {
            let zone = zone.to_owned();
            self.violations
                .push(Violation::SentToDrainedZone { zone, requests });
        }
    }

    pub(super) fn since_start(&self) -> Duration {
        self.start.elapsed()
    }

    /// Ends every fault.
    pub(super) async fn end_all_faults(&mut self) -> eyre::Result<()> {
        self.run_due_steps(None).await?;
        self.world.restore_back_ends();
        self.world.remove_former_registrations();
        Ok(())
    }
}
