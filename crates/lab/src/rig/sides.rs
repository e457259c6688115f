//! The sides of a run: the product, and the baselines beside it.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::Path;

use async_std::task;
use threadledge_types::BackEndId;

use super::baseline_processes::BaselineProcesses;
use super::operator;
use super::plan::Plan;
use super::processes::Processes;
use super::run::RunError;
use crate::baseline::BaselineKind;
use crate::experiment::Experiment;
use crate::history::Event;
use crate::load::CallerSettings;
use crate::stand_in::back_end::Sickness;

/// All processes of a run.
pub(super) struct Sides {
    /// The product's.
    pub product: Processes,
    /// Those of each baseline.
    pub baselines: Vec<BaselineProcesses>,
}

/// What one side left behind.
pub(super) struct Remains {
    /// Everything recorded.
    pub events: Vec<Event>,
    /// Processor time of the routers under load, in seconds.
    pub cpu_seconds: f64,
}

impl Sides {
    /// Starts everything but the callers.
    pub fn start(
        experiment: &Experiment,
        plan: &Plan,
        baselines: &[BaselineKind],
        directory: &Path,
    ) -> Result<Sides, RunError> {
        let product = Processes::start(plan, directory)?;
        let baselines = baselines.iter();
        let baselines =
            baselines.map(|kind| BaselineProcesses::start(*kind, experiment, plan, directory));
        Ok(Sides {
            baselines: baselines.collect::<Result<_, _>>()?,
            product,
        })
    }

    /// Starts callers on all sides.
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

    /// Whether the callers of all sides are done.
    pub fn are_done(&mut self) -> bool {
        let mut callers = self.product.callers.iter_mut();
        callers.all(|caller| caller.has_ended())
            && self.baselines.iter_mut().all(BaselineProcesses::is_done)
    }

    /// Reads the processor time of all routers.
    pub fn observe(&mut self) {
        self.product.read_cpu();
        for baseline in &mut self.baselines {
            baseline.observe();
        }
    }

    /// Where callers come, by the name of the side.
    pub fn caller_addresses(&self) -> Vec<(&'static str, Vec<SocketAddr>)> {
        let routers = self.product.routers.iter();
        let product = routers.map(|router| router.settings.caller_address);
        let mut all = vec![("the product", product.collect())];
        let baselines = self.baselines.iter();
        all.extend(baselines.map(|baseline| (baseline.kind.as_str(), baseline.caller_addresses())));
        all
    }

    /// Makes a back end sick or well on all sides.
    pub fn set_sickness(&self, back_end: &BackEndId, sickness: Sickness) -> http_types::Result<()> {
        if let Some(one) = self.product.hosts.back_end(back_end) {
            task::block_on(operator::sicken(one.control_address, sickness))?;
        }
        self.baselines
            .iter()
            .try_for_each(|baseline| baseline.set_sickness(back_end, sickness))
    }

    /// Ends everything.
    pub fn finish(self) -> (Remains, BTreeMap<BaselineKind, Remains>) {
        let product = Remains {
            cpu_seconds: self.product.cpu.seconds(),
            events: self.product.finish(),
        };
        let baselines = self.baselines.into_iter().map(BaselineProcesses::finish);
        let baselines = baselines.map(|(kind, events, cpu_seconds)| {
            let remains = Remains {
                events,
                cpu_seconds,
            };
            (kind, remains)
        });
        (product, baselines.collect())
    }
}
