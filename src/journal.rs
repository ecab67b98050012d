//! The journal: writes structured log lines off the request path.
//!
//! Lines go through a bounded ring to a writer thread. When the ring is full,
//! further lines are dropped and counted, so that no request waits for the log.
//! The writer sleeps until there is a line, then waits briefly for more and
//! writes them together: on hosts where wake-ups and system calls are
//! expensive, only this makes a line per request affordable.

use std::{
    fmt::{Arguments, Display, Write as _},
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

/// Maximum number of lines that wait to be written as text by the `log` crate's logger.
/// Further lines are dropped and counted.
const TEXT_RING_LINES: usize = 16_384;

/// Maximum number of lines that wait to be written as JSON, to standard output. A process
/// that logs at its budget fills the ring in about two seconds. A line takes about 300 bytes.
const JSON_RING_LINES: usize = 2_048;

/// How long the writer waits for more lines after the first one that wakes it, in order
/// to write them together.
const BATCH_DELAY: Duration = Duration::from_millis(100);

/// Maximum number of lines per event and second; further lines are dropped and counted.
/// A target runs about 100 requests a second.
const MAX_LINES_PER_SECOND: u32 = 300;

/// Writes log lines without blocking the caller. Clones share one writer.
///
/// # Example
///
/// ```
/// use rilltrack::event::{Event, Journal};
///
/// let journal = Journal::start("a1");
/// journal.write(Event::Ready, format_args!("version=0.12"));
/// assert_eq!(journal.dropped(), 0);
/// journal.stop();
/// ```
#[derive(Clone, Debug)]
pub struct Journal {
    shared: Arc<Shared>,
}

/// A field of a log line: its name and value.
pub type Field<'a> = (&'static str, &'a dyn Display);

/// Writes a line about an event, with fields given as `name = value`.
macro_rules! note {
    ($journal:expr, $event:expr $(, $name:ident = $value:expr)* $(,)?) => {
        $journal.record($event, &[$((stringify!($name), &$value)),*])
    };
}

pub(crate) use note;

/// The destination of lines.
enum Sink {
    /// The `log` crate's logger, as text.
    Logger,
    /// A writer, as JSON with one object per line.
    Json(Mutex<Box<dyn Write + Send>>),
}

/// The state that all clones of a journal share with the writer thread.
struct Shared {
    node: String,
    sink: Sink,
    ring: ArrayQueue<Line>,
    /// Number of lines dropped, for a full ring or a spent budget.
    dropped: AtomicU64,
    is_stopped: AtomicBool,
    /// Locked from taking lines out of the ring until they are written.
    write_lock: Mutex<()>,
    /// Whether the writer thread is parked, or about to park, and has to be woken.
    is_parked: AtomicBool,
    writer_thread: OnceLock<thread::Thread>,
    /// The budget of each event, by [`Event::index`].
    budgets: Vec<Budget>,
}

/// Counts the lines of one event in the current second.
#[derive(Default)]
struct Budget {
    /// Unix time of the current second.
    second: AtomicU32,
    /// Lines offered in that second, including those dropped.
    line_count: AtomicU32,
}

/// A formatted line that waits to be written.
#[derive(Debug)]
struct Line {
    time: SystemTime,
    event: Event,
    text: String,
}

impl std::fmt::Debug for Shared {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Journal").field("node", &self.node).finish()
    }
}

impl Journal {
    /// Starts the writer thread and returns a journal of the node `node` that
    /// writes text to the `log` crate's logger.
    ///
    /// # Panics
    ///
    /// If the thread can't be started.
    pub fn start(node: &str) -> Self {
        Self::start_with(node, Sink::Logger, TEXT_RING_LINES)
    }

    /// Starts the writer thread and returns a journal of the node `node` that
    /// writes JSON to `out`, one object per line.
    ///
    /// # Panics
    ///
    /// If the thread can't be started.
    pub fn start_json(node: &str, out: Box<dyn Write + Send>) -> Self {
        Self::start_with(node, Sink::Json(Mutex::new(out)), JSON_RING_LINES)
    }

    fn start_with(node: &str, sink: Sink, ring_lines: usize) -> Self {
        let shared = Arc::new(Shared {
            node: node.into(),
            sink,
            ring: ArrayQueue::new(ring_lines),
            dropped: AtomicU64::new(0),
            is_stopped: AtomicBool::new(false),
            write_lock: Mutex::new(()),
            is_parked: AtomicBool::new(false),
            writer_thread: OnceLock::new(),
            budgets: Event::ALL.iter().map(|_| Budget::default()).collect(),
        });
        let writer_shared = shared.clone();
        let handle = thread::Builder::new()
            .name("journal".into())
            .spawn(move || writer_shared.run_writer())
            .expect("the journal's writer thread can be started");
        // This is the only place that sets the thread, so `set` can't fail.
        let _ = shared.writer_thread.set(handle.thread().clone());
        Self { shared }
    }

    /// Writes a line about `event` with the text `details`, without blocking.
    ///
    /// In a journal that writes text, the line does not count towards the event's budget.
    pub fn write(&self, event: Event, details: Arguments<'_>) {
        match self.shared.sink {
            Sink::Logger if log::log_enabled!(target: "rilltrack", event.level()) => {
                self.push(event, details.to_string());
            }
            Sink::Logger => {}
            Sink::Json(_) => self.record(event, &[("details", &details)]),
        }
    }

    /// Writes a line about `event` with `fields`, without blocking.
    ///
    /// A line beyond the event's budget for the current second is dropped and
    /// counted.
    pub fn record(&self, event: Event, fields: &[Field<'_>]) {
        let now = SystemTime::now();
        if !self.shared.budgets[event.index()].try_spend(now) {
            self.shared.dropped.fetch_add(1, Ordering::Relaxed);
            return;
        }
        let text = match self.shared.sink {
            Sink::Logger => plain_text(fields),
            Sink::Json(_) => json_line(&self.shared.node, event, now, fields),
        };
        self.push(event, text);
    }

    fn push(&self, event: Event, text: String) {
        let line = Line {
            time: SystemTime::now(),
            event,
            text,
        };
        if self.shared.ring.push(line).is_err() {
            self.shared.dropped.fetch_add(1, Ordering::Relaxed);
        }
        self.shared.wake_writer();
    }

    /// Returns the number of lines dropped so far.
    pub fn dropped(&self) -> u64 {
        self.shared.dropped.load(Ordering::Relaxed)
    }

    /// Writes all waiting lines and signals the writer thread to end.
    pub fn stop(&self) {
        self.shared.is_stopped.store(true, Ordering::Relaxed);
        self.shared.wake_writer();
        self.shared.write_waiting();
        log::logger().flush();
    }
}

impl Budget {
    /// Counts a line at `now` and returns whether it is within the budget.
    fn try_spend(&self, now: SystemTime) -> bool {
        let second = (unix_millis(now) / 1000) as u32;
        if self.second.swap(second, Ordering::Relaxed) != second {
            self.line_count.store(0, Ordering::Relaxed);
        }
        self.line_count.fetch_add(1, Ordering::Relaxed) < MAX_LINES_PER_SECOND
    }
}

impl Shared {
    /// Runs the writer thread until the journal is stopped.
    fn run_writer(&self) {
        let mut reported_drops = 0;
        while !self.is_stopped.load(Ordering::Relaxed) {
            self.write_waiting();
            reported_drops = self.report_drops(reported_drops);
            self.is_parked.store(true, Ordering::SeqCst);
            // A line pushed before the flag was set did not wake the writer.
            if self.ring.is_empty() {
                thread::park();
            }
            self.is_parked.store(false, Ordering::SeqCst);
            thread::sleep(BATCH_DELAY);
        }
    }

    fn wake_writer(&self) {
        if self.is_parked.swap(false, Ordering::SeqCst)
            && let Some(writer_thread) = self.writer_thread.get()
        {
            writer_thread.unpark();
        }
    }

    /// Writes a line with the number of drops beyond the `reported` ones, if
    /// any, and returns the number of all drops.
    fn report_drops(&self, reported: u64) -> u64 {
        let dropped = self.dropped.load(Ordering::Relaxed);
        if dropped > reported {
            let (time, event) = (SystemTime::now(), Event::LinesLost);
            let unreported = dropped - reported;
            let fields: [Field<'_>; 1] = [("lines", &unreported)];
            let text = match self.sink {
                Sink::Logger => plain_text(&fields),
                Sink::Json(_) => json_line(&self.node, event, time, &fields),
            };
            self.write_lines(vec![Line { time, event, text }]);
        }
        dropped
    }

    /// Writes all lines that wait in the ring.
    fn write_waiting(&self) {
        // Without the lock, `stop` could return, and the process end, while the writer
        // thread still had unwritten lines from the ring.
        let _guard = self.write_lock.lock();
        let lines: Vec<Line> = std::iter::from_fn(|| self.ring.pop()).collect();
        if !lines.is_empty() {
            self.write_lines(lines);
        }
    }

    fn write_lines(&self, lines: Vec<Line>) {
        match &self.sink {
            Sink::Logger => lines.iter().for_each(|line| self.log_line(line)),
            Sink::Json(out) => {
                let text: String = lines.into_iter().map(|line| line.text).collect();
                let mut out = out.lock();
                // The output can't be written, so the error can't be logged either.
                let _ = out.write_all(text.as_bytes()).and_then(|()| out.flush());
            }
        }
    }

    fn log_line(&self, line: &Line) {
        let (event, text) = (line.event, &line.text);
        log::log!(
            target: "rilltrack",
            event.level(),
            // The time of the event, not of the write.
            "{} E{:03} {} node={} {text}",
            unix_millis(line.time),
            event.code(),
            event.name(),
            self.node
        );
    }
}

/// Returns the fields as `name=value`, separated by spaces.
fn plain_text(fields: &[Field<'_>]) -> String {
    let fields = fields.iter().map(|(name, value)| format!("{name}={value}"));
    fields.collect::<Vec<_>>().join(" ")
}

/// Capacity of a new JSON line in bytes; most lines are shorter.
const JSON_LINE_BYTES: usize = 384;

/// Returns a line of JSON. Values that are whole numbers of up to 15 digits are not quoted.
fn json_line(node: &str, event: Event, time: SystemTime, fields: &[Field<'_>]) -> String {
    let mut text = String::with_capacity(JSON_LINE_BYTES);
    // Writing to a `String` can't fail.
    let _ = write!(
        text,
        "{{\"ms\":{},\"code\":{},\"event\":\"{}\",\"level\":\"{}\",\"node\":\"{node}\"",
        unix_millis(time),
        event.code(),
        event.name(),
        event.level()
    );
    for (name, value) in fields {
        let _ = write!(text, ",\"{name}\":\"");
        let start = text.len();
        let _ = write!(text, "{value}");
        close_value(&mut text, start);
    }
    text.push_str("}\n");
    text
}

/// Ends the value that was written from `start` on, after a quotation mark: a whole number
/// loses that mark, and any other text is escaped where necessary and quoted.
fn close_value(text: &mut String, start: usize) {
    let value = &text[start..];
    if is_json_number(value) {
        text.remove(start - 1);
        return;
    }
    let needs_escape = |byte: u8| byte < 0x20 || byte == b'"' || byte == b'\\';
    if value.bytes().any(needs_escape) {
        let quoted = serde_json::to_string(value).expect("text always encodes");
        text.truncate(start - 1);
        text.push_str(&quoted);
    } else {
        text.push('"');
    }
}

/// Returns whether a text is a whole number of up to 15 digits, as JSON writes it: without a
/// sign and without leading zeros, which an id that consists of digits may have.
fn is_json_number(text: &str) -> bool {
    let has_leading_zero = text.len() > 1 && text.starts_with('0');
    (1..16).contains(&text.len())
        && !has_leading_zero
        && text.bytes().all(|byte| byte.is_ascii_digit())
}

fn unix_millis(time: SystemTime) -> u128 {
    time.duration_since(SystemTime::UNIX_EPOCH)
        .unwrap_or_default()
        .as_millis()
}
