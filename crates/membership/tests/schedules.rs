//! Random faults with fixed seeds. Proofs of death are checked after every
//! step.

mod support;

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use support::*;
use threadledge_membership::{Input, MachineList, Settings};

const HOSTS: usize = 16;
const STEPS: usize = 40;
const SEEDS: u64 = 6;

/// Platform with its machines and the versions of its machine list.
struct Platform {
    versions: Vec<MachineList>,
    /// Incarnation of the process on each machine, if the machine runs.
    incarnations: Vec<Option<u64>>,
    /// The latest incarnation of any process; a later one has a higher number.
    last_incarnation: u64,
}

impl Platform {
    fn publish(&mut self) {
        let version = self.versions.len() as u64 + 1;
        let running = (0..HOSTS).filter(|host| self.incarnations[*host].is_some());
        self.versions.push(list(version, running));
    }

    /// Reads the list, which may lag by up to two versions.
    fn read(&self, rng: &mut ChaCha8Rng) -> MachineList {
        let lag = rng.random_range(0..3).min(self.versions.len() - 1);
        self.versions[self.versions.len() - 1 - lag].clone()
    }
}

/// Checks that there is no proof of death for a process that runs.
fn check_proofs(network: &Network, platform: &Platform, seed: u64) {
    for observer in network.hosts.iter().filter(|host| host.running) {
        for (host, incarnation) in platform.incarnations.iter().enumerate() {
            let Some(incarnation) = incarnation else {
                continue;
            };
            let id = identity(host, *incarnation).id;
            let proof = observer.core.death_proof(id);
            assert_eq!(proof, None, "seed {seed}, a process that runs");
        }
    }
}

fn inject_fault(network: &mut Network, platform: &mut Platform, rng: &mut ChaCha8Rng) {
    let host = rng.random_range(0..HOSTS);
    match rng.random_range(0..12) {
        // The machine is lost, and the platform removes it from the list.
        0 => {
            network.crash(host);
            platform.incarnations[host] = None;
            platform.publish();
        }
        // The process restarts, or a new machine gets the same name.
        1 | 2 => {
            platform.last_incarnation += 1;
            let incarnation = platform.last_incarnation;
            let is_new_machine = platform.incarnations[host].is_none();
            platform.incarnations[host] = Some(incarnation);
            network.restart(host, incarnation);
            if is_new_machine {
                platform.publish();
            }
            network.input(host, Input::MachineList(platform.read(rng)));
        }
        3 => network.pause(host),
        4 => network.partitions = (host..HOSTS).map(|host| (host, 1)).collect(),
        5 => network.partitions = [(host, 1)].into(),
        6 | 7 => network.partitions.clear(),
        // A router reads a list, which may be outdated.
        _ => {
            let list = platform.read(rng);
            network.input(host, Input::MachineList(list));
        }
    }
}

#[test]
fn random_faults_never_prove_a_running_process_dead_and_views_agree_afterwards() {
    for seed in 0..SEEDS {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        // Longer than the lag of any list in this test.
        let settings = Settings {
            max_list_lag: seconds(10),
            ..Settings::default()
        };
        let mut network = Network::new(HOSTS, settings, seed);
        network.max_delay = millis(40);
        network.join_all();
        let mut platform = Platform {
            versions: vec![list(1, 0..HOSTS)],
            incarnations: vec![Some(1); HOSTS],
            last_incarnation: 1,
        };
        for _ in 0..STEPS {
            network.loss_percent = rng.random_range(0..10);
            inject_fault(&mut network, &mut platform, &mut rng);
            network.run_for(millis(rng.random_range(10..2_500)));
            check_proofs(&network, &platform, seed);
        }
        recover(&mut network);
        let running = platform.incarnations.iter().flatten().count();
        let latest = platform.versions.last().cloned().unwrap_or_default();
        network.apply_list(&latest);
        let agreed = network.run_until(seconds(60), |network| network.all_see(running));
        assert!(agreed.is_some(), "seed {seed}");
        check_proofs(&network, &platform, seed);
    }
}

fn recover(network: &mut Network) {
    network.loss_percent = 0;
    network.partitions.clear();
    for host in 0..HOSTS {
        network.resume(host);
    }
}
