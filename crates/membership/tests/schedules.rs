//! Random faults with fixed seeds; proofs of death are checked throughout.

mod support;

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use support::*;
use threadledge_membership::{Input, MachineList, Settings};

const HOSTS: usize = 16;
const STEPS: usize = 40;
const SEEDS: u64 = 6;

/// The machines, and what the platform's list says of them.
struct Platform {
    versions: Vec<MachineList>,
    /// Life of the process on each machine, if the machine runs.
    lives: Vec<Option<u64>>,
    /// The latest life of any process; a later one has a higher number.
    last_life: u64,
}

impl Platform {
    fn publish(&mut self) {
        let version = self.versions.len() as u64 + 1;
        let running = (0..HOSTS).filter(|host| self.lives[*host].is_some());
        self.versions.push(list(version, running));
    }

    /// A list as read: it may lag by a few versions.
    fn read(&self, random: &mut ChaCha8Rng) -> MachineList {
        let lag = random.random_range(0..3).min(self.versions.len() - 1);
        self.versions[self.versions.len() - 1 - lag].clone()
    }
}

/// A proof names only processes that run no more.
fn check_proofs(network: &Network, platform: &Platform, seed: u64) {
    for observer in network.hosts.iter().filter(|host| host.running) {
        for (host, life) in platform.lives.iter().enumerate() {
            let Some(life) = life else {
                continue;
            };
            let id = identity(host, *life).id;
            let proof = observer.core.death_proof(id);
            assert_eq!(proof, None, "seed {seed}, a process that runs");
        }
    }
}

fn disturb(network: &mut Network, platform: &mut Platform, random: &mut ChaCha8Rng) {
    let host = random.random_range(0..HOSTS);
    match random.random_range(0..12) {
        // The machine is lost, and the platform notices.
        0 => {
            network.crash(host);
            platform.lives[host] = None;
            platform.publish();
        }
        // The process restarts, or a machine comes under the name.
        1 | 2 => {
            platform.last_life += 1;
            let life = platform.last_life;
            let comes = platform.lives[host].is_none();
            platform.lives[host] = Some(life);
            network.restart(host, life);
            if comes {
                platform.publish();
            }
            network.input(host, Input::MachineList(platform.read(random)));
        }
        3 => network.pause(host),
        4 => network.sides = (host..HOSTS).map(|host| (host, 1)).collect(),
        5 => network.sides = [(host, 1)].into(),
        6 | 7 => network.sides.clear(),
        // Someone reads a list, fresh or not.
        _ => {
            let list = platform.read(random);
            network.input(host, Input::MachineList(list));
        }
    }
}

#[test]
fn random_faults_never_prove_a_running_process_dead_and_views_agree_afterwards() {
    for seed in 0..SEEDS {
        let mut random = ChaCha8Rng::seed_from_u64(seed);
        // Longer than any list lags in the schedule.
        let settings = Settings {
            max_list_lag: seconds(10),
            ..Settings::default()
        };
        let mut network = Network::new(HOSTS, settings, seed);
        network.max_delay = millis(40);
        network.introduce_all();
        let mut platform = Platform {
            versions: vec![list(1, 0..HOSTS)],
            lives: vec![Some(1); HOSTS],
            last_life: 1,
        };
        for _ in 0..STEPS {
            network.loss_percent = random.random_range(0..10);
            disturb(&mut network, &mut platform, &mut random);
            network.run_for(millis(random.random_range(10..2_500)));
            check_proofs(&network, &platform, seed);
        }
        recover(&mut network);
        let running = platform.lives.iter().flatten().count();
        let latest = platform.versions.last().cloned().unwrap_or_default();
        network.give_list(&latest);
        let agreed = network.run_until(seconds(60), |network| network.all_see(running));
        assert!(agreed.is_some(), "seed {seed}");
        check_proofs(&network, &platform, seed);
    }
}

fn recover(network: &mut Network) {
    network.loss_percent = 0;
    network.sides.clear();
    for host in 0..HOSTS {
        network.resume(host);
    }
}
