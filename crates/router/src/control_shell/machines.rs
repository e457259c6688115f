//! Polling of the platform's machine list.

use std::net::SocketAddr;
use std::time::Duration;

use async_std::task;
use threadledge_control::Input;
use threadledge_membership::MachineList;
use threadledge_object_api::{MachineListClient, TransportSettings};

use super::shared::ControlShell;
use crate::events::{EventId, emit};

/// Poll interval until another router is known.
const SEARCH_INTERVAL: Duration = Duration::from_millis(250);
/// Poll interval afterwards, when routers learn about others from each other.
const POLL_INTERVAL: Duration = Duration::from_secs(5);

/// Polls the list and feeds it to the core until the process stops.
pub async fn poll_machine_list(
    shell: ControlShell,
    address: SocketAddr,
    transport: TransportSettings,
) {
    let client = MachineListClient::new(address, transport);
    let mut available = true;
    while !shell.stop_signal().is_stopped() {
        match client.machines::<MachineList>().await {
            Ok(list) => {
                if !std::mem::replace(&mut available, true) {
                    emit!(EventId::MachineListRestored);
                }
                shell.input(Input::Machines(list));
            }
            Err(error) if available => {
                available = false;
                emit!(EventId::MachineListUnavailable, %error);
            }
            Err(_) => {}
        }
        task::sleep(if shell.knows_other_routers() {
            POLL_INTERVAL
        } else {
            SEARCH_INTERVAL
        })
        .await;
    }
}
