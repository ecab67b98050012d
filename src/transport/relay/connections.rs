//! The open connections of a server, and which one is closed for another.
//!
//! Clients that open connections and send nothing, or stop within a head or a body, would keep
//! everybody else out once they hold as many as the server takes. So a server at its limit closes the
//! one that has been of no use longest. A connection whose request is running is never closed.

use std::{
    collections::HashMap,
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    time::{Duration, Instant},
};

use parking_lot::Mutex;
use tokio::sync::Notify;

/// How long a connection must have been of no use before it is closed for another. A caller that
/// has just connected sends its request sooner.
const MIN_IDLE: Duration = Duration::from_secs(1);

/// The open connections of one server.
#[derive(Debug)]
pub struct Connections {
    started: Instant,
    open: Mutex<HashMap<u64, Arc<Use>>>,
    next: AtomicU64,
    /// Wakes the server when a connection ends.
    ended: Notify,
}

/// What one connection has been used for.
#[derive(Debug, Default)]
struct Use {
    /// When its client last sent something, in milliseconds from the start of the server.
    last_read: AtomicU64,
    /// Whether a request that was read whole is running.
    is_busy: AtomicBool,
    close: Notify,
}

/// An open connection, until it is dropped.
#[derive(Debug)]
pub struct Guard {
    connections: Arc<Connections>,
    id: u64,
    usage: Arc<Use>,
}

/// A running request of a connection.
#[derive(Debug)]
pub struct Running {
    connections: Arc<Connections>,
    usage: Arc<Use>,
}

impl Default for Connections {
    fn default() -> Self {
        Self {
            started: Instant::now(),
            open: Mutex::default(),
            next: AtomicU64::new(0),
            ended: Notify::new(),
        }
    }
}

impl Connections {
    /// Returns the number of open connections.
    pub fn count(&self) -> usize {
        self.open.lock().len()
    }

    /// Adds a connection.
    pub fn open(self: &Arc<Self>) -> Guard {
        let id = self.next.fetch_add(1, Ordering::Relaxed);
        let usage = Arc::new(Use::default());
        usage.last_read.store(self.now(), Ordering::Relaxed);
        self.open.lock().insert(id, usage.clone());
        Guard {
            connections: self.clone(),
            id,
            usage,
        }
    }

    /// Tells the connection that has been of no use longest to close; returns whether there is one.
    pub fn close_idlest(&self) -> bool {
        let latest = self.now().saturating_sub(MIN_IDLE.as_millis() as u64);
        let open = self.open.lock();
        let idle = open
            .values()
            .filter(|usage| !usage.is_busy.load(Ordering::Relaxed))
            .map(|usage| (usage.last_read.load(Ordering::Relaxed), usage));
        let idlest = idle.min_by_key(|(last_read, _)| *last_read);
        match idlest.filter(|(last_read, _)| *last_read <= latest) {
            Some((_, usage)) => {
                usage.close.notify_one();
                true
            }
            None => false,
        }
    }

    /// Waits until a connection ends.
    pub async fn until_ended(&self) {
        self.ended.notified().await;
    }

    fn now(&self) -> u64 {
        self.started.elapsed().as_millis() as u64
    }
}

impl Guard {
    /// Notes that the client sent something.
    pub fn note_read(&self) {
        let now = self.connections.now();
        self.usage.last_read.store(now, Ordering::Relaxed);
    }

    /// Sets whether a request that was read whole is running, or its response is being written.
    pub fn set_busy(&self, is_busy: bool) {
        if self.usage.is_busy.swap(is_busy, Ordering::Relaxed) && !is_busy {
            self.note_read();
        }
    }

    /// Sets that a request is running until the returned value is dropped.
    pub fn run(&self) -> Running {
        self.set_busy(true);
        Running {
            connections: self.connections.clone(),
            usage: self.usage.clone(),
        }
    }

    /// Waits until the connection must close for another. One that got a request meanwhile stays.
    pub async fn until_closed(&self) {
        loop {
            self.usage.close.notified().await;
            if !self.usage.is_busy.load(Ordering::Relaxed) {
                return;
            }
        }
    }
}

impl Drop for Running {
    fn drop(&mut self) {
        let now = self.connections.now();
        self.usage.last_read.store(now, Ordering::Relaxed);
        self.usage.is_busy.store(false, Ordering::Relaxed);
    }
}

impl Drop for Guard {
    fn drop(&mut self) {
        self.connections.open.lock().remove(&self.id);
        self.connections.ended.notify_one();
    }
}
