//! The systems under test in a run: the product and the baselines.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::Path;

use async_std::task;
use threadledge_types::BackEndId;

use super::baseline_processes::BaselineProcesses;
use super::control;
use super::plan::Plan;
use super::product_processes::ProductProcesses;
use super::run::RunError;
use crate::baseline::BaselineKind;
use crate::experiment::Experiment;
use crate::history::Event;
use crate::load::CallerSettings;
use crate::stand_in::back_end::Degradation;

/// The processes of all systems under test.
pub(super) struct Systems {
    /// ProductProcesses of the product.
    pub product: ProductProcesses,
    /// ProductProcesses of each baseline.
    pub baselines: Vec<BaselineProcesses>,
}

/// Recorded data of one system after its run.
pub(super) struct SystemData {
    /// Recorded events.
    pub events: Vec<Event>,
    /// Processor time of the routers under load, in seconds.
    pub cpu_seconds: f64,
}

impl Systems {
    /// Starts all processes but the callers.
    pub fn start(
        experiment: &Experiment,
        plan: &Plan,
        baselines: &[BaselineKind],
        directory: &Path,
    ) -> Result<Systems, RunError> {
        let product = ProductProcesses::start(plan, directory)?;
        let baselines = baselines.iter();
        let baselines =
            baselines.map(|kind| BaselineProcesses::start(*kind, experiment, plan, directory));
        Ok(Systems {
            baselines: baselines.collect::<Result<_, _>>()?,
            product,
        })
    }

    /// Starts the callers of all systems.
    pub fn start_callers(&mut self, settings: &[CallerSettings]) -> std::io::Result<()> {
        for (number, settings) in settings.iter().enumerate() {
            let name = format!("callers-{}", number + 1);
            self.product.start_callers(&name, settings)?;
            for baseline in &mut self.baselines {
                baseline.start_callers(&name, settings)?;
            }
        }
        Ok(())
    }

    /// Returns whether the callers of all systems have ended.
    pub fn callers_ended(&mut self) -> bool {
        let mut callers = self.product.callers.iter_mut();
        callers.all(|caller| caller.has_ended())
            && self
                .baselines
                .iter_mut()
                .all(BaselineProcesses::callers_ended)
    }

    /// Reads the processor time of all routers, and records the baseline
    /// routers that ended.
    pub fn observe(&mut self) {
        self.product.read_cpu();
        for baseline in &mut self.baselines {
            baseline.observe();
        }
    }

    /// Returns the addresses that callers send requests to, by system name.
    pub fn caller_addresses(&self) -> Vec<(&'static str, Vec<SocketAddr>)> {
        let routers = self.product.routers.iter();
        let product = routers.map(|router| router.settings.caller_address);
        let mut all = vec![("the product", product.collect())];
        let baselines = self.baselines.iter();
        all.extend(baselines.map(|baseline| (baseline.kind.as_str(), baseline.caller_addresses())));
        all
    }

    /// Sets or clears the degradation of a back end in all systems.
    pub fn set_degradation(
        &self,
        back_end: &BackEndId,
        degradation: Degradation,
    ) -> http_types::Result<()> {
        if let Some(one) = self.product.hosts.back_end(back_end) {
            task::block_on(control::degrade(one.control_address, degradation))?;
        }
        self.baselines
            .iter()
            .try_for_each(|baseline| baseline.set_degradation(back_end, degradation))
    }

    /// Ends all processes and returns the data of the product and of each
    /// baseline.
    pub fn finish(self) -> (SystemData, BTreeMap<BaselineKind, SystemData>) {
        let product = SystemData {
            cpu_seconds: self.product.cpu.seconds(),
            events: self.product.finish(),
        };
        let baselines = self.baselines.into_iter().map(BaselineProcesses::finish);
        let baselines = baselines.map(|(kind, events, cpu_seconds)| {
            let data = SystemData {
                events,
                cpu_seconds,
            };
            (kind, data)
        });
        (product, baselines.collect())
    }
}
