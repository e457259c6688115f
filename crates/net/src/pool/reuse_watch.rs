//! Exchanges on reused connections on which nothing has been received yet.

use std::net::SocketAddr;
use std::sync::Weak;

use super::address_table::AddressTable;
use crate::Instant;

/// Tracks an exchange on a reused connection on which nothing has been received
/// yet. If it is dropped in that state after the configured time, connections
/// idle since before the exchange began become suspect.
#[derive(Debug)]
pub(super) struct ReuseWatch {
    addresses: Weak<AddressTable>,
    address: SocketAddr,
    since: Instant,
    active: bool,
}

impl ReuseWatch {
    pub(super) fn new(addresses: Weak<AddressTable>, address: SocketAddr, since: Instant) -> Self {
        ReuseWatch {
            addresses,
            address,
            since,
            active: false,
        }
    }

    /// Records that something was received, which includes the end of the
    /// connection.
    pub(super) fn activity_seen(mut self) {
        self.active = true;
    }
}

impl Drop for ReuseWatch {
    fn drop(&mut self) {
        if let Some(addresses) = self.addresses.upgrade() {
            addresses.end_watch(self.address, self.since, self.active);
        }
    }
}
