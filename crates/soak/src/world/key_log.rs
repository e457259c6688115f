//! Log of what back ends took and released, for timelines.

use std::fs::File;
use std::io::{BufWriter, Write};
use std::path::Path;
use std::time::Instant;

use super::World;

impl World {
    /// Writes every change of keys in the order of their times, in seconds
    /// since `start`.
    ///
    /// # Errors
    ///
    /// Fails if the file cannot be written.
    pub fn write_key_log(&self, path: &Path, start: Instant) -> std::io::Result<()> {
        let all = self.back_ends.iter().chain(&self.former_back_ends);
        let mut events = Vec::new();
        for back_end in all.filter(|back_end| back_end.inner.keyed) {
            for event in back_end.inner.key_events() {
                let place = (back_end.inner.incarnation(), back_end.zone.as_str());
                events.push((event, place));
            }
        }
        events.sort_by_key(|(event, _)| event.at);
        let mut log = BufWriter::new(File::create(path)?);
        for (event, (back_end, zone)) in events {
            let at = event.at.saturating_duration_since(start).as_secs_f64();
            let late = if event.late { " late" } else { "" };
            let change = event.change;
            writeln!(log, "{at:.3} s: {back_end} in {zone}: {change:?}{late}")?;
        }
        log.flush()
    }
}
