//! The recorder of a child process.

use std::io::Write;
use std::sync::Arc;

use parking_lot::Mutex;
use serde::{Deserialize, Serialize};

use super::event::Event;

/// One line that a child writes to its rig.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum ChildLine {
    /// The child serves; callers may come.
    Ready,
    /// Something of the history.
    Event(Event),
}

/// Writes lines for the rig. Clones share one sink.
#[derive(Clone)]
pub struct Recorder {
    sink: Arc<Mutex<Box<dyn Write + Send>>>,
}

impl Recorder {
    /// A recorder that writes to `sink`.
    pub fn new(sink: Box<dyn Write + Send>) -> Self {
        Recorder {
            sink: Arc::new(Mutex::new(sink)),
        }
    }

    /// A recorder that writes to standard output, where the rig reads.
    pub fn to_standard_output() -> Self {
        Recorder::new(Box::new(std::io::stdout()))
    }

    /// Records one event. It has left the process when this returns.
    pub fn record(&self, event: Event) {
        self.write(&ChildLine::Event(event));
    }

    /// Tells the rig that the child serves.
    pub fn ready(&self) {
        self.write(&ChildLine::Ready);
    }

    fn write(&self, line: &ChildLine) {
        let Ok(mut text) = serde_json::to_vec(line) else {
            return;
        };
        text.push(b'\n');
        let mut sink = self.sink.lock();
        // A rig that is gone ends the child by the parent watch; a failed
        // write needs no second reaction here.
        let _ = sink.write_all(&text).and_then(|()| sink.flush());
    }
}
