//! A network that delays, drops, duplicates, reorders and partitions.

use std::collections::BTreeSet;
use std::time::Duration;

use rand::RngExt;
use rand_chacha::ChaCha8Rng;

/// Region and zone of a machine.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Place {
    /// Number of the region.
    pub region: usize,
    /// Number of the zone within the region.
    pub zone: usize,
}

/// Delays and error rates of the network.
#[derive(Clone, Debug)]
pub struct NetworkSettings {
    /// One-way delay within a zone.
    pub same_zone_delay: Duration,
    /// One-way delay between zones of a region.
    pub inter_zone_delay: Duration,
    /// One-way delay between regions.
    pub inter_region_delay: Duration,
    /// Largest random addition to a delay; reorders messages.
    pub jitter: Duration,
    /// Fraction of messages that are lost, from 0 to 1.
    pub loss: f64,
    /// Fraction of messages that arrive twice, from 0 to 1.
    pub duplication: f64,
}

impl Default for NetworkSettings {
    fn default() -> Self {
        NetworkSettings {
            same_zone_delay: Duration::from_micros(200),
            inter_zone_delay: Duration::from_millis(1),
            inter_region_delay: Duration::from_millis(40),
            jitter: Duration::from_micros(500),
            loss: 0.0,
            duplication: 0.0,
        }
    }
}

/// The network of a world.
#[derive(Debug)]
pub struct Network {
    settings: NetworkSettings,
    cut_zones: BTreeSet<(Place, Place)>,
    isolated: BTreeSet<usize>,
}

impl Network {
    /// Creates a network without partitions.
    pub fn new(settings: NetworkSettings) -> Self {
        Network {
            settings,
            cut_zones: BTreeSet::new(),
            isolated: BTreeSet::new(),
        }
    }

    /// Changes the settings for messages sent from now on.
    pub fn set_settings(&mut self, settings: NetworkSettings) {
        self.settings = settings;
    }

    /// Current settings.
    pub fn settings(&self) -> &NetworkSettings {
        &self.settings
    }

    /// Cuts or restores the connection between two zones in both directions.
    pub fn set_zones_cut(&mut self, one: &Place, other: &Place, cut: bool) {
        for pair in [(one.clone(), other.clone()), (other.clone(), one.clone())] {
            if cut {
                self.cut_zones.insert(pair);
            } else {
                self.cut_zones.remove(&pair);
            }
        }
    }

    /// Cuts one machine off from everything, or restores it. Machines are
    /// numbered by the world.
    pub fn set_isolated(&mut self, machine: usize, isolated: bool) {
        if isolated {
            self.isolated.insert(machine);
        } else {
            self.isolated.remove(&machine);
        }
    }

    /// Returns whether a machine is cut off from everything.
    pub fn is_isolated(&self, machine: usize) -> bool {
        self.isolated.contains(&machine)
    }

    /// Returns the delays of the copies of one message that arrive: none, one
    /// or two.
    pub fn deliveries(
        &self,
        random: &mut ChaCha8Rng,
        from: (usize, &Place),
        to: (usize, &Place),
    ) -> Vec<Duration> {
        if !self.connected(from, to) || chance(random, self.settings.loss) {
            return Vec::new();
        }
        let mut delays = vec![self.delay(random, from.1, to.1)];
        if chance(random, self.settings.duplication) {
            delays.push(self.delay(random, from.1, to.1));
        }
        delays
    }

    /// Returns whether messages pass from one machine to the other.
    pub fn connected(&self, from: (usize, &Place), to: (usize, &Place)) -> bool {
        let cut = || {
            let pair = (from.1.clone(), to.1.clone());
            !self.cut_zones.is_empty() && self.cut_zones.contains(&pair)
        };
        !self.isolated.contains(&from.0) && !self.isolated.contains(&to.0) && !cut()
    }

    fn delay(&self, random: &mut ChaCha8Rng, from: &Place, to: &Place) -> Duration {
        let base = if from.region != to.region {
            self.settings.inter_region_delay
        } else if from.zone != to.zone {
            self.settings.inter_zone_delay
        } else {
            self.settings.same_zone_delay
        };
        let jitter = self.settings.jitter.as_micros() as u64;
        base + Duration::from_micros(random.random_range(0..=jitter))
    }
}

fn chance(random: &mut ChaCha8Rng, probability: f64) -> bool {
    probability > 0.0 && random.random_bool(probability.min(1.0))
}
