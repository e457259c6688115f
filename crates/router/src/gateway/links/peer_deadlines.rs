//! Deadlines by the clock of another gateway.
//!
//! A forwarded message must not take effect after its deadline, even if the
//! gateway that forwards it stops running after it has arrived there. The
//! sender therefore reads the clock of the other gateway first, and names the
//! deadline by that clock.

use std::collections::HashMap;
use std::fmt;
use std::net::SocketAddr;
use std::str::FromStr;
use std::time::Duration;

use parking_lot::Mutex;
use serde::{Deserialize, Serialize};
use threadledge_net::Instant;
use threadledge_types::{Incarnation, Timestamp};

use super::BackEndLinks;

/// Age from which a reading is replaced: clocks drift apart.
const MAX_READING_AGE: Duration = Duration::from_secs(2);

/// A reading of a gateway's clock.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub(in super::super) struct ClockReading {
    /// The process whose clock it is.
    pub(in super::super) incarnation: Incarnation,
    pub(in super::super) now: Timestamp,
}

/// The answer to a gateway that asks for a reading: it is about to forward
/// through this gateway.
#[derive(Debug, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub(in super::super) struct ClockAnswer {
    #[serde(flatten)]
    pub(in super::super) reading: ClockReading,
    /// Other gateways that may forward.
    #[serde(default)]
    pub(in super::super) gateways: Vec<SocketAddr>,
}

/// A point in time by the clock of the gateway that receives it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub(super) struct PeerDeadline {
    incarnation: Incarnation,
    until: Timestamp,
}

impl PeerDeadline {
    /// Returns the time left by the clock that reads `reading`. Zero if the
    /// deadline has passed or is that of an earlier process.
    pub(super) fn time_left(&self, reading: ClockReading) -> Duration {
        if self.incarnation != reading.incarnation {
            return Duration::ZERO;
        }
        self.until.since(reading.now)
    }
}

impl fmt::Display for PeerDeadline {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            formatter,
            "{}:{}",
            self.incarnation.0,
            self.until.as_micros()
        )
    }
}

/// A text is no deadline.
#[derive(Debug, thiserror::Error)]
#[error("not a deadline; it has the form INCARNATION:MICROSECONDS")]
pub(super) struct NoDeadline;

impl FromStr for PeerDeadline {
    type Err = NoDeadline;

    fn from_str(text: &str) -> Result<Self, NoDeadline> {
        let (incarnation, until) = text.split_once(':').ok_or(NoDeadline)?;
        Ok(PeerDeadline {
            incarnation: Incarnation(incarnation.parse().map_err(|_| NoDeadline)?),
            until: Timestamp::from_micros(until.parse().map_err(|_| NoDeadline)?),
        })
    }
}

/// The latest readings of other gateways' clocks, each with the time at which
/// it arrived.
#[derive(Debug, Default)]
pub(super) struct ClockReadings {
    readings: Mutex<HashMap<SocketAddr, (ClockReading, Instant)>>,
}

impl ClockReadings {
    fn is_fresh(&self, peer: SocketAddr) -> bool {
        let readings = self.readings.lock();
        let reading = readings.get(&peer);
        reading.is_some_and(|(_, arrived)| arrived.elapsed() < MAX_READING_AGE)
    }

    /// Converts a deadline. Invariant: the result is never later, because the
    /// clock was read before the reading arrived.
    fn convert(&self, peer: SocketAddr, deadline: Instant) -> Option<PeerDeadline> {
        let readings = self.readings.lock();
        let (reading, arrived) = readings.get(&peer)?;
        Some(PeerDeadline {
            incarnation: reading.incarnation,
            until: reading.now + deadline.saturating_duration_since(*arrived),
        })
    }
}

impl BackEndLinks {
    /// Reads the clock of another gateway unless it was read recently. Returns
    /// `None` if that gateway does not answer.
    pub(super) async fn read_clock_of(&self, peer: SocketAddr) -> Option<()> {
        let readings = &self.shared.readings;
        if readings.is_fresh(peer) {
            return Some(());
        }
        let answer = self.shared.peers.read_clock(peer).await?;
        self.shared.gateways.note_named(answer.gateways);
        let entry = (answer.reading, Instant::now());
        let mut readings = readings.readings.lock();
        readings.retain(|_, (_, arrived)| arrived.elapsed() < MAX_READING_AGE);
        readings.insert(peer, entry);
        Some(())
    }

    /// Converts a deadline to the clock of another gateway, which was read
    /// before.
    pub(super) fn deadline_at(&self, peer: SocketAddr, deadline: Instant) -> Option<PeerDeadline> {
        self.shared.readings.convert(peer, deadline)
    }

    /// Forgets the reading of a clock, after its gateway refused a deadline.
    pub(super) fn forget_clock_of(&self, peer: SocketAddr) {
        self.shared.readings.readings.lock().remove(&peer);
    }
}
