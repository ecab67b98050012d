//! The gate before a target, for many requests at once.

use std::{
    collections::HashMap,
    sync::Arc,
    time::{Duration, Instant},
};

use parking_lot::Mutex;
use tokio::sync::oneshot;

use crate::{
    coordination::{
        admit::{Arrival, Gate, Ticket},
        decision::runs::Runs,
    },
    id::Name,
    protocol::answer::Refusal,
    state::resource::{Class, Policy},
    unit::Span,
};

/// The reason given when a target is leaving.
pub const LEAVING: &str = "target is leaving";
/// The reason given when a target has no room.
pub const FULL: &str = "target is full";

/// The door to one target.
#[derive(Clone, Debug)]
pub struct Door {
    inner: Arc<Mutex<Inner>>,
}

/// The doors to all targets on one host.
#[derive(Debug, Default)]
pub struct Doors {
    doors: Mutex<HashMap<Name, Door>>,
}

impl Doors {
    /// Returns the door to the target of `service`, with the limits of
    /// `policy`.
    pub fn get(&self, service: &Name, policy: &Policy) -> Door {
        let mut doors = self.doors.lock();
        let door = doors
            .entry(service.clone())
            .or_insert_with(|| Door::new(policy));
        door.resize(policy);
        door.clone()
    }

    /// Refuses what waits for the target of `service`.
    pub fn close(&self, service: &Name) {
        let door = self.doors.lock().get(service).cloned();
        if let Some(door) = door {
            door.close();
        }
    }

    /// Refuses what waits for any target.
    pub fn close_all(&self) {
        self.doors.lock().values().for_each(Door::close);
    }

    /// Returns the part of the runs under way, at all targets, that are retries.
    pub fn repeats(&self) -> f64 {
        let doors = self.doors.lock();
        let runs = doors.values().map(|door| door.inner.lock().runs);
        runs.fold(Runs::default(), Runs::and).repeats()
    }

    /// Returns the load of the fullest target, in hundredths of its slots.
    pub fn load(&self) -> u32 {
        self.doors
            .lock()
            .values()
            .map(Door::load)
            .max()
            .unwrap_or(0)
    }
}

#[derive(Debug)]
struct Inner {
    gate: Gate,
    waiters: HashMap<Ticket, Waiter>,
    runs: Runs,
}

#[derive(Debug)]
struct Waiter {
    class: Class,
    grant: oneshot::Sender<Result<Permit, Refusal>>,
}

/// The right to run one request; given back when dropped.
#[derive(Debug)]
pub struct Permit {
    door: Door,
    class: Class,
    since: Instant,
    /// Whether the run is a retry, once it has begun.
    is_again: Option<bool>,
}

/// A place in the queue; given up when dropped, as when the caller goes away.
struct Place<'a> {
    door: &'a Door,
    ticket: Ticket,
}

impl Door {
    /// Returns a door with the limits of `policy`.
    pub fn new(policy: &Policy) -> Self {
        let gate = Gate::new(policy.slots, policy.queue);
        Self {
            inner: Arc::new(Mutex::new(Inner {
                gate,
                waiters: HashMap::new(),
                runs: Runs::default(),
            })),
        }
    }

    /// Takes the limits of `policy`.
    pub fn resize(&self, policy: &Policy) {
        self.inner.lock().gate.resize(policy.slots, policy.queue);
    }

    /// Returns requests running and waiting over slots, in hundredths.
    pub fn load(&self) -> u32 {
        self.inner.lock().gate.load()
    }

    /// Returns the number of requests running.
    pub fn running(&self) -> u32 {
        self.inner.lock().gate.running_count()
    }

    /// Waits for the right to run a request of `class`.
    ///
    /// # Errors
    ///
    /// The refusal, if there is no room or none in time. The request has not
    /// run.
    pub async fn enter(&self, class: Class, deadline: Instant) -> Result<Permit, Refusal> {
        let (ticket, granted) = match self.arrive(class, deadline)? {
            Entry::Run(permit) => return Ok(permit),
            Entry::Wait(ticket, granted) => (ticket, granted),
        };
        let _place = Place { door: self, ticket };
        match tokio::time::timeout_at(deadline.into(), granted).await {
            Ok(Ok(granted)) => granted,
            _ => Err(Refusal::not_run(
                "no room before the deadline",
                Span::from_secs(1),
            )),
        }
    }

    fn arrive(&self, class: Class, deadline: Instant) -> Result<Entry, Refusal> {
        let mut inner = self.inner.lock();
        match inner.gate.arrive(class, deadline, Instant::now()) {
            Arrival::Run => Ok(Entry::Run(self.permit(class))),
            Arrival::Refuse(later) => Err(Refusal::not_run(FULL, later)),
            Arrival::Wait { ticket, evicted } => {
                if let Some(evicted) = evicted {
                    inner.refuse(evicted, FULL);
                }
                let (grant, granted) = oneshot::channel();
                inner.waiters.insert(ticket, Waiter { class, grant });
                Ok(Entry::Wait(ticket, granted))
            }
        }
    }

    /// Refuses all that wait: the target is leaving.
    pub fn close(&self) {
        let mut inner = self.inner.lock();
        for ticket in inner.gate.close() {
            inner.refuse(ticket, LEAVING);
        }
    }

    fn permit(&self, class: Class) -> Permit {
        Permit {
            door: self.clone(),
            class,
            since: Instant::now(),
            is_again: None,
        }
    }

    /// Hands permits to those that now run. A waiter that has just gone away
    /// drops its permit, which comes back here, so no slot is lost.
    fn hand_out(&self, granted: Vec<Ticket>) {
        for ticket in granted {
            let waiter = self.inner.lock().waiters.remove(&ticket);
            if let Some(Waiter { class, grant }) = waiter {
                // Unlocked: dropping a refused permit locks again.
                drop(grant.send(Ok(self.permit(class))));
            }
        }
    }
}

enum Entry {
    Run(Permit),
    Wait(Ticket, oneshot::Receiver<Result<Permit, Refusal>>),
}

impl Inner {
    fn refuse(&mut self, ticket: Ticket, reason: &str) {
        if let Some(waiter) = self.waiters.remove(&ticket) {
            let refusal = Refusal::not_run(reason, Span::from_secs(1));
            // A waiter that has gone away needs no answer.
            let _ = waiter.grant.send(Err(refusal));
        }
    }
}

impl Drop for Place<'_> {
    fn drop(&mut self) {
        let mut inner = self.door.inner.lock();
        inner.gate.give_up(self.ticket);
        inner.waiters.remove(&self.ticket);
    }
}

impl Permit {
    /// Notes that the request goes to the target now, and whether it is a retry.
    pub fn begin(&mut self, is_again: bool) {
        self.door.inner.lock().runs.start(is_again);
        self.is_again = Some(is_again);
    }
}

impl Drop for Permit {
    fn drop(&mut self) {
        let took: Duration = self.since.elapsed();
        let granted = {
            let mut inner = self.door.inner.lock();
            if let Some(is_again) = self.is_again {
                inner.runs.end(is_again);
            }
            inner.gate.finish(self.class, took, Instant::now())
        };
        self.door.hand_out(granted);
    }
}
