//! Starts, signals and ends one child process of the rig.

use std::fs::File;
use std::io::{self, BufRead, BufReader, Write};
use std::path::{Path, PathBuf};
use std::process::{Child, ChildStdin, Command, Stdio};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

use parking_lot::Mutex;
use rustix::process::{Pid, Signal, kill_process};

use crate::history::{ChildLine, Event};

/// Interval for polling whether a child has ended.
const POLL_INTERVAL: Duration = Duration::from_millis(10);
/// Threads of a child's async runtime; few, because many children share the
/// machine.
const RUNTIME_THREADS: &str = "2";

/// Parameters for starting a child.
pub(super) struct ChildPlan<'a> {
    /// Name in the run, also used for its log file.
    pub name: &'a str,
    /// Arguments after the program's name.
    pub arguments: Vec<String>,
    /// One line of JSON for its standard input.
    pub settings: Option<String>,
    /// Directory of its log file.
    pub log_directory: &'a Path,
}

/// A process that this rig started. Dropping it kills the process.
pub(super) struct ChildProcess {
    name: String,
    child: Child,
    /// Standard input of the child, which exits when it is closed.
    input: Option<ChildStdin>,
    /// Thread that reads the lines the child writes.
    reader: Option<JoinHandle<()>>,
    ready: Arc<AtomicBool>,
    events: Arc<Mutex<Vec<Event>>>,
    log: PathBuf,
    ended: bool,
}

impl ChildProcess {
    /// Starts this program's executable with other arguments.
    pub fn start(plan: ChildPlan<'_>) -> io::Result<ChildProcess> {
        let log = plan.log_directory.join(format!("{}.log", plan.name));
        let mut child = Command::new(std::env::current_exe()?)
            .args(&plan.arguments)
            .env("ASYNC_STD_THREAD_COUNT", RUNTIME_THREADS)
            .stdin(Stdio::piped())
            .stdout(Stdio::piped())
            .stderr(File::create(&log)?)
            .spawn()?;
        let mut input = child.stdin.take();
        if let (Some(input), Some(settings)) = (&mut input, &plan.settings) {
            writeln!(input, "{settings}")?;
        }
        let ready = Arc::new(AtomicBool::new(false));
        let events = Arc::new(Mutex::new(Vec::new()));
        let reader = child.stdout.take().map(|output| {
            let ready = ready.clone();
            let events = events.clone();
            std::thread::spawn(move || read_lines(BufReader::new(output), &ready, &events))
        });
        Ok(ChildProcess {
            name: plan.name.to_owned(),
            child,
            input,
            reader,
            ready,
            events,
            log,
            ended: false,
        })
    }

    /// Returns its name in the run.
    pub fn name(&self) -> &str {
        &self.name
    }

    /// Returns its process id.
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// Returns the path of its log file.
    pub fn log(&self) -> &Path {
        &self.log
    }

    /// Returns whether it reported that it is ready.
    pub fn is_ready(&self) -> bool {
        self.ready.load(Ordering::SeqCst)
    }

    /// Returns the number of events received so far.
    pub fn event_count(&self) -> usize {
        self.events.lock().len()
    }

    /// Calls `inspect` with the events received so far.
    pub fn with_events<T>(&self, inspect: impl FnOnce(&[Event]) -> T) -> T {
        inspect(&self.events.lock())
    }

    /// Returns whether it has ended.
    pub fn has_ended(&mut self) -> bool {
        if !self.ended {
            self.ended = !matches!(self.child.try_wait(), Ok(None));
        }
        self.ended
    }

    /// Sends a signal to this child, unless it has ended.
    pub fn signal(&mut self, signal: Signal) -> io::Result<()> {
        if self.has_ended() {
            return Ok(());
        }
        let pid = i32::try_from(self.child.id()).ok().and_then(Pid::from_raw);
        let pid = pid.ok_or(io::ErrorKind::NotFound)?;
        Ok(kill_process(pid, signal)?)
    }

    /// Kills it.
    pub fn kill(&mut self) {
        if !self.has_ended() {
            // An error means that the child ended by itself in the meantime.
            let _ = self.child.kill();
            let _ = self.child.wait();
            self.ended = true;
        }
    }

    /// Waits until it ends by itself. Returns false if `limit` passes first.
    pub fn wait(&mut self, limit: Duration) -> bool {
        let until = Instant::now() + limit;
        while !self.has_ended() {
            if Instant::now() >= until {
                return false;
            }
            std::thread::sleep(POLL_INTERVAL);
        }
        true
    }

    /// Closes its standard input, which makes it exit, kills it if it has not
    /// ended within `limit`, and returns its events.
    pub fn finish(mut self, limit: Duration) -> Vec<Event> {
        // A stopped process would not notice the closed input.
        let _ = self.signal(Signal::CONT);
        self.input = None;
        if !self.wait(limit) {
            self.kill();
        }
        if let Some(reader) = self.reader.take() {
            let _ = reader.join();
        }
        std::mem::take(&mut self.events.lock())
    }
}

impl Drop for ChildProcess {
    fn drop(&mut self) {
        self.kill();
    }
}

/// Reads the lines that a child writes, until its output ends.
fn read_lines(output: impl BufRead, ready: &AtomicBool, events: &Mutex<Vec<Event>>) {
    for line in output.lines() {
        let Ok(line) = line else {
            return;
        };
        match serde_json::from_str(&line) {
            Ok(ChildLine::Ready) => ready.store(true, Ordering::SeqCst),
            Ok(ChildLine::Event(event)) => events.lock().push(event),
            // The last line of a killed child may be truncated.
            Err(error) => tracing::debug!(%error, "unreadable line"),
        }
    }
}
