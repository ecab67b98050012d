//! Takes log lines off the request path.
//!
//! Lines go through a bounded ring to a thread of their own. When the ring is
//! full a line is lost rather than a request delayed, and losses are counted. The
//! writer sleeps until there is something to write, then waits a little for
//! more: on hosts where each wake-up and each call to the system is paid for,
//! one write for many lines is what makes a line for each request affordable.

use std::{
    fmt::{Arguments, Display},
    io::Write,
    sync::{
        Arc, OnceLock,
        atomic::{AtomicBool, AtomicU32, AtomicU64, Ordering},
    },
    thread,
    time::{Duration, SystemTime},
};

use crossbeam_queue::ArrayQueue;
use parking_lot::Mutex;

use crate::event::Event;

/// Lines that wait to be written; more are dropped and counted.
const RING: usize = 16_384;

/// The same where lines go to standard output: what a process writes in about
/// two seconds at its budget. Each line holds some 300 bytes.
const SMALL_RING: usize = 2_048;

/// How long the writer waits for more lines once there is one.
const GATHER: Duration = Duration::from_millis(100);

/// Lines of one event that are written within a second; more are passed over and
/// counted. A target of either mesh runs about 100 requests a second.
const BUDGET: u32 = 300;

/// Writes log lines without keeping anybody waiting.
///
/// # Example
///
/// ```
/// use rilltrack::event::{Event, Journal};
///
/// let journal = Journal::start("a1");
/// journal.write(Event::Ready, format_args!("version=0.12"));
/// assert_eq!(journal.lost(), 0);
/// journal.stop();
/// ```
#[derive(Clone, Debug)]
pub struct Journal {
    shared: Arc<Shared>,
}

/// A field of a line.
pub type Field<'a> = (&'static str, &'a dyn Display);

/// Writes a line about an event with the fields that are named.
macro_rules! note {
    ($journal:expr, $event:expr $(, $name:ident = $value:expr)* $(,)?) => {
        $journal.record($event, &[$((stringify!($name), &$value)),*])
    };
}

pub(crate) use note;

/// Where lines go.
enum Sink {
    /// To the `log` crate's logger, as text.
    Logger,
    /// To a writer, as JSON: an object a line.
    Json(Mutex<Box<dyn Write + Send>>),
}

struct Shared {
    node: String,
    sink: Sink,
    ring: ArrayQueue<Line>,
    lost: AtomicU64,
    stopped: AtomicBool,
    /// Held by who takes lines out of the ring until they are written.
    writing: Mutex<()>,
    /// The writer waits to be woken.
    asleep: AtomicBool,
    writer: OnceLock<thread::Thread>,
    budgets: Vec<Budget>,
}

/// What of an event was written in the second that runs.
#[derive(Default)]
struct Budget {
    second: AtomicU32,
    lines: AtomicU32,
}

#[derive(Debug)]
struct Line {
    at: SystemTime,
    event: Event,
    text: String,
}

impl std::fmt::Debug for Shared {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Journal").field("node", &self.node).finish()
    }
}

impl Journal {
    /// Starts the writer's thread and returns a journal for `node`, whose lines
    /// go to the `log` crate's logger.
    ///
    /// # Panics
    ///
    /// If the system can't start a thread.
    pub fn start(node: &str) -> Self {
        Self::with(node, Sink::Logger, RING)
    }

    /// The same, with lines of JSON that go to `out`.
    ///
    /// # Panics
    ///
    /// If the system can't start a thread.
    pub fn start_json(node: &str, out: Box<dyn Write + Send>) -> Self {
        Self::with(node, Sink::Json(Mutex::new(out)), SMALL_RING)
    }

    fn with(node: &str, sink: Sink, ring: usize) -> Self {
        let shared = Arc::new(Shared {
            node: node.into(),
            sink,
            ring: ArrayQueue::new(ring),
            lost: AtomicU64::new(0),
            stopped: AtomicBool::new(false),
            writing: Mutex::new(()),
            asleep: AtomicBool::new(false),
            writer: OnceLock::new(),
            budgets: Event::ALL.iter().map(|_| Budget::default()).collect(),
        });
        let writer = shared.clone();
        let handle = thread::Builder::new()
            .name("journal".into())
            .spawn(move || writer.run())
            .expect("a thread can be started");
        // Set once, right here.
        let _ = shared.writer.set(handle.thread().clone());
        Self { shared }
    }

    /// Writes a line about `event`, without waiting.
    pub fn write(&self, event: Event, details: Arguments<'_>) {
        match self.shared.sink {
            Sink::Logger if log::log_enabled!(target: "rilltrack", event.level()) => {
                self.push(event, details.to_string());
            }
            Sink::Logger => {}
            Sink::Json(_) => self.record(event, &[("details", &details)]),
        }
    }

    /// Writes a line about `event` with fields of their own, without waiting. A
    /// line beyond the event's budget for the second is passed over and counted.
    pub fn record(&self, event: Event, fields: &[Field<'_>]) {
        let now = SystemTime::now();
        if !self.shared.budgets[event.index()].takes(now) {
            self.shared.lost.fetch_add(1, Ordering::Relaxed);
            return;
        }
        let text = match self.shared.sink {
            Sink::Logger => plain(fields),
            Sink::Json(_) => json(&self.shared.node, event, now, fields),
        };
        self.push(event, text);
    }

    fn push(&self, event: Event, text: String) {
        let line = Line {
            at: SystemTime::now(),
            event,
            text,
        };
        if self.shared.ring.push(line).is_err() {
            self.shared.lost.fetch_add(1, Ordering::Relaxed);
        }
        self.shared.wake();
    }

    /// Returns the number of lines lost so far.
    pub fn lost(&self) -> u64 {
        self.shared.lost.load(Ordering::Relaxed)
    }

    /// Writes what waits and ends the writer.
    pub fn stop(&self) {
        self.shared.stopped.store(true, Ordering::Relaxed);
        self.shared.wake();
        self.shared.drain();
        log::logger().flush();
    }
}

impl Budget {
    fn takes(&self, now: SystemTime) -> bool {
        let second = (unix_ms(now) / 1000) as u32;
        if self.second.swap(second, Ordering::Relaxed) != second {
            self.lines.store(0, Ordering::Relaxed);
        }
        self.lines.fetch_add(1, Ordering::Relaxed) < BUDGET
    }
}

impl Shared {
    fn run(&self) {
        let mut reported = 0;
        while !self.stopped.load(Ordering::Relaxed) {
            self.drain();
            reported = self.report(reported);
            self.asleep.store(true, Ordering::SeqCst);
            // A line that came before the flag was set woke nobody.
            if self.ring.is_empty() {
                thread::park();
            }
            self.asleep.store(false, Ordering::SeqCst);
            thread::sleep(GATHER);
        }
    }

    fn wake(&self) {
        if self.asleep.swap(false, Ordering::SeqCst)
            && let Some(writer) = self.writer.get()
        {
            writer.unpark();
        }
    }

    /// Tells how many lines were lost since `reported`.
    fn report(&self, reported: u64) -> u64 {
        let lost = self.lost.load(Ordering::Relaxed);
        if lost > reported {
            let (at, event) = (SystemTime::now(), Event::LinesLost);
            let lines = lost - reported;
            let fields: [Field<'_>; 1] = [("lines", &lines)];
            let text = match self.sink {
                Sink::Logger => plain(&fields),
                Sink::Json(_) => json(&self.node, event, at, &fields),
            };
            self.emit(vec![Line { at, event, text }]);
        }
        lost
    }

    fn drain(&self) {
        // Else a process that stops ends while the writer has its last lines in hand.
        let _writing = self.writing.lock();
        let lines: Vec<Line> = std::iter::from_fn(|| self.ring.pop()).collect();
        if !lines.is_empty() {
            self.emit(lines);
        }
    }

    fn emit(&self, lines: Vec<Line>) {
        match &self.sink {
            Sink::Logger => lines.iter().for_each(|line| self.log(line)),
            Sink::Json(out) => {
                let text: String = lines.into_iter().map(|line| line.text).collect();
                let mut out = out.lock();
                // Nobody reads: there is nowhere left to say so.
                let _ = out.write_all(text.as_bytes()).and_then(|()| out.flush());
            }
        }
    }

    fn log(&self, line: &Line) {
        let (event, text) = (line.event, &line.text);
        log::log!(
            target: "rilltrack",
            event.level(),
            // When it happened, not when the writer came to it.
            "{} E{:03} {} node={} {text}",
            unix_ms(line.at),
            event.code(),
            event.name(),
            self.node
        );
    }
}

fn plain(fields: &[Field<'_>]) -> String {
    let fields = fields.iter().map(|(name, value)| format!("{name}={value}"));
    fields.collect::<Vec<_>>().join(" ")
}

fn json(node: &str, event: Event, at: SystemTime, fields: &[Field<'_>]) -> String {
    let mut text = format!(
        "{{\"ms\":{},\"code\":{},\"event\":\"{}\",\"level\":\"{}\",\"node\":\"{node}\"",
        unix_ms(at),
        event.code(),
        event.name(),
        event.level()
    );
    for (name, value) in fields {
        let value = value.to_string();
        let is_number = value.len() < 16 && value.parse::<u64>().is_ok();
        text.push_str(&format!(",\"{name}\":"));
        match serde_json::to_string(&value) {
            Ok(quoted) if !is_number => text.push_str(&quoted),
            _ => text.push_str(&value),
        }
    }
    text.push_str("}\n");
    text
}

fn unix_ms(at: SystemTime) -> u128 {
    at.duration_since(SystemTime::UNIX_EPOCH)
        .unwrap_or_default()
        .as_millis()
}
