//! Writes the events of a child process to the rig.

use std::io::Write;
use std::sync::Arc;

use parking_lot::Mutex;
use serde::{Deserialize, Serialize};

use super::event::Event;

/// One line that a child process writes to the rig.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum ChildLine {
    /// The child is ready to serve.
    Ready,
    /// An entry of the history.
    Event(Event),
}

/// Writes lines for the rig. Clones share one output.
#[derive(Clone)]
pub struct Recorder {
    sink: Arc<Mutex<Box<dyn Write + Send>>>,
}

impl Recorder {
    /// Creates a recorder that writes to `sink`.
    pub fn new(sink: Box<dyn Write + Send>) -> Self {
        Recorder {
            sink: Arc::new(Mutex::new(sink)),
        }
    }

    /// Creates a recorder that writes to standard output, which the rig reads.
    pub fn to_standard_output() -> Self {
        Recorder::new(Box::new(std::io::stdout()))
    }

    /// Records one event. It is flushed to the rig when this returns.
    pub fn record(&self, event: Event) {
        self.write(&ChildLine::Event(event));
    }

    /// Tells the rig that the child is ready to serve.
    pub fn ready(&self) {
        self.write(&ChildLine::Ready);
    }

    fn write(&self, line: &ChildLine) {
        let Ok(mut text) = serde_json::to_vec(line) else {
            return;
        };
        text.push(b'\n');
        let mut sink = self.sink.lock();
        // If the rig is gone, the child exits when its standard input closes,
        // so a failed write needs no handling here.
        let _ = sink.write_all(&text).and_then(|()| sink.flush());
    }
}
