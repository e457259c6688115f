//! One child process of the rig.

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

/// Interval at which the end of a child is looked for.
const POLL: Duration = Duration::from_millis(10);
/// Threads of a child's async runtime: many children share the machine.
const RUNTIME_THREADS: &str = "2";

/// How to start a child.
pub(super) struct ChildPlan<'a> {
    /// Name in the run and of its log.
    pub name: &'a str,
    /// Arguments after the program's name.
    pub arguments: Vec<String>,
    /// One line of JSON for its standard input.
    pub settings: Option<String>,
    /// Where its log goes.
    pub log_directory: &'a Path,
}

/// A process that this rig started. Dropping it ends it.
pub(super) struct ChildProcess {
    name: String,
    child: Child,
    /// Held open for as long as the child shall live.
    input: Option<ChildStdin>,
    reader: Option<JoinHandle<()>>,
    ready: Arc<AtomicBool>,
    events: Arc<Mutex<Vec<Event>>>,
    log: PathBuf,
    ended: bool,
}

impl ChildProcess {
    /// Starts this very program again with other arguments.
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

    /// Name in the run.
    pub fn name(&self) -> &str {
        &self.name
    }

    /// Number of the process.
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// Where its log went.
    pub fn log(&self) -> &Path {
        &self.log
    }

    /// Whether it said that it serves.
    pub fn is_ready(&self) -> bool {
        self.ready.load(Ordering::SeqCst)
    }

    /// Number of events so far.
    pub fn event_count(&self) -> usize {
        self.events.lock().len()
    }

    /// Looks at the events so far.
    pub fn with_events<T>(&self, look: impl FnOnce(&[Event]) -> T) -> T {
        look(&self.events.lock())
    }

    /// Whether it has ended by now.
    pub fn has_ended(&mut self) -> bool {
        if !self.ended {
            self.ended = !matches!(self.child.try_wait(), Ok(None));
        }
        self.ended
    }

    /// Sends a signal to exactly this child, unless it has ended.
    pub fn signal(&mut self, signal: Signal) -> io::Result<()> {
        if self.has_ended() {
            return Ok(());
        }
        let pid = i32::try_from(self.child.id()).ok().and_then(Pid::from_raw);
        let pid = pid.ok_or(io::ErrorKind::NotFound)?;
        Ok(kill_process(pid, signal)?)
    }

    /// Ends it at once.
    pub fn kill(&mut self) {
        if !self.has_ended() {
            // The child may end by itself in between, which is as good.
            let _ = self.child.kill();
            let _ = self.child.wait();
            self.ended = true;
        }
    }

    /// Waits until it ends by itself; false when `limit` passed first.
    pub fn wait(&mut self, limit: Duration) -> bool {
        let until = Instant::now() + limit;
        while !self.has_ended() {
            if Instant::now() >= until {
                return false;
            }
            std::thread::sleep(POLL);
        }
        true
    }

    /// Closes its standard input, which tells it to end, and takes its
    /// events once it has.
    pub fn finish(mut self, limit: Duration) -> Vec<Event> {
        // A paused process could not notice.
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

fn read_lines(output: impl BufRead, ready: &AtomicBool, events: &Mutex<Vec<Event>>) {
    for line in output.lines() {
        let Ok(line) = line else {
            return;
        };
        match serde_json::from_str(&line) {
            Ok(ChildLine::Ready) => ready.store(true, Ordering::SeqCst),
            Ok(ChildLine::Event(event)) => events.lock().push(event),
            // The last line of a killed child may be cut short.
            Err(error) => tracing::debug!(%error, "unreadable line"),
        }
    }
}
