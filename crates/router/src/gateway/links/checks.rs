//! Checks of direct paths by opening connections, which stay in the pool.

use std::net::SocketAddr;
use std::time::Duration;

use async_std::task;
use threadledge_net::{Instant, timer};
use threadledge_types::Timestamp;
use threadledge_types::deployment::Distance;

use super::BackEndLinks;
use super::link::evidence_of;

/// Time within which a connection within the region must be established. To
/// another region it may take as long as for a request.
const NEAR_CHECK_TIMEOUT: Duration = Duration::from_millis(100);

impl BackEndLinks {
    /// Checks lost paths until they work again; never returns.
    pub(in super::super) async fn check_lost_paths(self) {
        loop {
            let changed = self.shared.checks_changed.next();
            let due = self.with_direct(|paths, now| paths.take_due_checks(now));
            for address in due {
                task::spawn(self.clone().check(address));
            }
            let next = self.shared.direct.lock().next_check();
            match next {
                Some(next) => {
                    let next = self.shared.clock.instant(next);
                    // The loop looks for due checks in either case.
                    let _ = timer::timeout_at(next, changed).await;
                }
                None => changed.await,
            }
        }
    }

    /// Checks the path to a back end that has left a request without an answer
    /// since `sent` and, if no back end has answered since, the other paths.
    pub(super) fn check_after_silence(&self, address: SocketAddr, sent: Timestamp) {
        let checks = self.with_direct(|paths, now| paths.on_silence(now, address, sent));
        for address in checks {
            task::spawn(self.clone().check(address));
        }
    }

    /// Returns whether a new connection to a back end can be opened.
    pub(in super::super) async fn can_connect(&self, address: SocketAddr) -> bool {
        self.clone().check(address).await
    }

    /// Returns whether this gateway reaches a back end, as a contact of a moment
    /// ago or a new connection shows. Open connections prove nothing: they hang
    /// when the path is cut, and what is sent on them may arrive later.
    pub(super) async fn has_path(&self, address: SocketAddr) -> bool {
        if self.is_lost(address) {
            return false;
        }
        let is_proven = self.with_direct(|paths, now| paths.is_proven(now, address));
        is_proven || self.clone().check(address).await
    }

    /// Opens a connection to a back end and records whether that is possible.
    pub(super) async fn check(self, address: SocketAddr) -> bool {
        let timeout = match self.distance_of(address) {
            // An attempt may have ended after its back end was unregistered.
            None => {
                self.forget(address);
                return false;
            }
            Some(Distance::OtherRegion) => self.shared.pool.settings().connect_timeout,
            Some(Distance::SameZone | Distance::SameRegion) => NEAR_CHECK_TIMEOUT,
        };
        let deadline = Instant::now() + timeout;
        let opened = self.shared.pool.open_new(address, deadline).await;
        let is_open = opened.is_ok();
        self.with_direct(|paths, now| match &opened {
            Ok(_) => paths.on_connected(now, address),
            Err(error) => match evidence_of(error) {
                Some(evidence) => paths.on_connect_failed(now, address, evidence),
                None => paths.on_check_skipped(now, address),
            },
        });
        self.shared.checks_changed.notify();
        is_open
    }
}
