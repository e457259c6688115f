//! Measures the processor time of processes as reported by the kernel.

use std::collections::BTreeMap;

use procfs::process::Process;

/// Returns the processor time that a process has used so far, in seconds;
/// `None` if it has ended.
pub fn cpu_seconds_of(process: u32) -> Option<f64> {
    let process = Process::new(i32::try_from(process).ok()?).ok()?;
    let stat = process.stat().ok()?;
    let ticks = stat.utime + stat.stime;
    Some(ticks as f64 / procfs::ticks_per_second() as f64)
}

/// Accumulates the processor time of several processes since the first reading
/// of each.
#[derive(Clone, Debug, Default)]
pub struct CpuMeter {
    processes: BTreeMap<u32, (f64, f64)>,
}

impl CpuMeter {
    /// Records a reading of one process: its processor time so far.
    pub fn record(&mut self, process: u32, seconds: f64) {
        let (_, last) = self.processes.entry(process).or_insert((seconds, seconds));
        *last = last.max(seconds);
    }

    /// Reads each of `processes`. A process that has ended keeps its last
    /// reading.
    pub fn read(&mut self, processes: impl IntoIterator<Item = u32>) {
        for process in processes {
            if let Some(seconds) = cpu_seconds_of(process) {
                self.record(process, seconds);
            }
        }
    }

    /// Returns the total processor time of all processes, in seconds.
    pub fn seconds(&self) -> f64 {
        let times = self.processes.values();
        times.map(|(first, last)| last - first).sum()
    }
}
