//! The duty that applies records and puts views in force.
//!
//! One thread owns the state machine. Others reach it through a bounded ring,
//! so a version is put in force whole, in order, by one writer; readers of
//! the view take a pointer and never wait.

use std::{sync::Arc, thread};

use bytes::Bytes;
use tokio::sync::{mpsc, oneshot, watch};

use crate::{
    coordination::{Error, node::Node},
    event::Event,
    state::{
        change::Restore,
        check::Touched,
        machine::{Applied, Machine},
        version::Version,
        view::{Proxy, View},
    },
};

/// Jobs that wait at a time.
const RING: usize = 256;

type Look = Box<dyn FnOnce(&Machine) + Send>;

enum Job {
    Records {
        from: Version,
        records: Vec<Bytes>,
        done: oneshot::Sender<Result<Version, Error>>,
    },
    Snapshot {
        bytes: Bytes,
        done: oneshot::Sender<Result<Version, Error>>,
    },
    Restore {
        offset: u64,
        restore: Restore,
        done: oneshot::Sender<Result<bool, Error>>,
    },
    Complete,
    Look(Look),
}

/// A handle to the applying thread.
#[derive(Clone)]
pub struct Applier {
    ring: mpsc::Sender<Job>,
    version: watch::Receiver<Version>,
}

/// The end that [`Queue::run`] serves.
pub struct Queue {
    ring: mpsc::Receiver<Job>,
    version: watch::Sender<Version>,
}

/// Returns a handle and the queue behind it.
pub fn channel() -> (Applier, Queue) {
    let (ring, jobs) = mpsc::channel(RING);
    let (set, version) = watch::channel(Version::default());
    (
        Applier { ring, version },
        Queue {
            ring: jobs,
            version: set,
        },
    )
}

impl Applier {
    /// Applies `records`, of which the first continues `from`. Those already
    /// applied are passed over.
    ///
    /// Returns the version held afterwards.
    ///
    /// # Errors
    ///
    /// If they leave a gap or need a newer program.
    pub async fn records(&self, from: Version, records: Vec<Bytes>) -> Result<Version, Error> {
        self.ask(|done| Job::Records {
            from,
            records,
            done,
        })
        .await?
    }

    /// Takes a snapshot in, if it is newer than what is held.
    ///
    /// Returns the version held afterwards.
    ///
    /// # Errors
    ///
    /// If the snapshot is damaged or needs a newer program.
    pub async fn snapshot(&self, bytes: Bytes) -> Result<Version, Error> {
        self.ask(|done| Job::Snapshot { bytes, done }).await?
    }

    /// Continues with the epoch that `restore` begins; returns whether the
    /// state held is the one that goes on.
    ///
    /// # Errors
    ///
    /// Only if the daemon is ending.
    pub async fn restore(&self, offset: u64, restore: Restore) -> Result<bool, Error> {
        self.ask(|done| Job::Restore {
            offset,
            restore,
            done,
        })
        .await?
    }

    /// Declares what is held to be complete, so that it is put in force.
    ///
    /// # Errors
    ///
    /// Only if the daemon is ending.
    pub async fn complete(&self) -> Result<(), Error> {
        self.ring
            .send(Job::Complete)
            .await
            .map_err(|_| Error::Ending)
    }

    /// Returns what `look` finds in the state machine.
    ///
    /// # Errors
    ///
    /// Only if the daemon is ending.
    pub async fn look<T, F>(&self, look: F) -> Result<T, Error>
    where
        T: Send + 'static,
        F: FnOnce(&Machine) -> T + Send + 'static,
    {
        self.ask(|done| {
            Job::Look(Box::new(move |machine| {
                // The asker may have given up; then nobody wants the answer.
                let _ = done.send(look(machine));
            }))
        })
        .await
    }

    /// Waits until `version` is applied here.
    ///
    /// # Errors
    ///
    /// Only if the daemon is ending.
    pub async fn reached(&self, version: Version) -> Result<(), Error> {
        let mut watch = self.version.clone();
        let reached = watch.wait_for(|held| *held >= version).await;
        reached.map(|_| ()).map_err(|_| Error::Ending)
    }

    async fn ask<T>(&self, job: impl FnOnce(oneshot::Sender<T>) -> Job) -> Result<T, Error> {
        let (done, answer) = oneshot::channel();
        self.ring.send(job(done)).await.map_err(|_| Error::Ending)?;
        answer.await.map_err(|_| Error::Ending)
    }
}

impl Queue {
    /// Starts the thread that serves `node`'s jobs until all handles are gone.
    ///
    /// # Panics
    ///
    /// If the system can't start a thread.
    pub fn run(self, node: Arc<Node>) {
        let worker = Worker {
            machine: Machine::new(),
            complete: false,
            version: self.version,
            node,
        };
        let mut ring = self.ring;
        thread::Builder::new()
            .name("apply".into())
            .spawn(move || {
                let mut worker = worker;
                while let Some(job) = ring.blocking_recv() {
                    worker.serve(job);
                }
            })
            .expect("a thread can be started");
    }
}

struct Worker {
    machine: Machine,
    complete: bool,
    version: watch::Sender<Version>,
    node: Arc<Node>,
}

impl Worker {
    fn serve(&mut self, job: Job) {
        // A send fails only when the asker has given up.
        match job {
            Job::Records {
                from,
                records,
                done,
            } => drop(done.send(self.records(from, records))),
            Job::Snapshot { bytes, done } => drop(done.send(self.snapshot(&bytes))),
            Job::Restore {
                offset,
                restore,
                done,
            } => drop(done.send(Ok(self.restore(offset, &restore)))),
            Job::Complete => self.complete(),
            Job::Look(look) => look(&self.machine),
        }
    }

    fn records(&mut self, from: Version, records: Vec<Bytes>) -> Result<Version, Error> {
        let held = self.machine.version();
        if from.epoch != held.epoch || from.offset > held.offset {
            return Err(crate::state::Error::Gap {
                found: from.offset,
                held,
            }
            .into());
        }
        let known = (held.offset - from.offset) as usize;
        for record in records.into_iter().skip(known) {
            let result = self.machine.apply(self.machine.version().offset, record);
            if let Err(error) = &result {
                self.node
                    .journal
                    .write(Event::RulesUnknown, format_args!("error={error}"));
            }
            let applied = result?;
            self.report(&applied);
            self.put_in_force(Some(&applied.touched));
        }
        Ok(self.machine.version())
    }

    fn snapshot(&mut self, bytes: &Bytes) -> Result<Version, Error> {
        let found = Machine::from_snapshot(bytes);
        if let Err(error) = &found {
            self.node
                .journal
                .write(Event::SnapshotBad, format_args!("error={error}"));
        }
        let found = found?;
        if found.version() > self.machine.version() {
            self.machine = found;
            let (version, size) = (self.machine.version(), bytes.len());
            self.node.journal.write(
                Event::SnapshotTaken,
                format_args!("version={version} bytes={size}"),
            );
            self.put_in_force(None);
        }
        Ok(self.machine.version())
    }

    fn restore(&mut self, offset: u64, restore: &Restore) -> bool {
        let continues = self.machine.restore(offset, restore);
        if continues {
            self.node.journal.write(
                Event::EpochBegan,
                format_args!("version={}", self.machine.version()),
            );
            self.put_in_force(Some(&Touched::default()));
        }
        continues
    }

    fn complete(&mut self) {
        if !self.complete {
            self.complete = true;
            self.put_in_force(None);
            let (version, resources) = (self.machine.version(), self.machine.set().len());
            let details = format_args!("version={version} resources={resources}");
            self.node.journal.write(Event::Ready, details);
        }
    }

    fn report(&self, applied: &Applied) {
        if applied.verdict.is_accepted() {
            return;
        }
        let version = self.machine.version();
        let id = applied.id.as_ref().map_or("-", |id| id.as_str());
        let details = format_args!(
            "version={version} change={id} verdict={:?}",
            applied.verdict
        );
        self.node.journal.write(Event::ChangeRejected, details);
    }

    /// Puts the machine's state in force: computed from the view before it
    /// where `touched` says what differs, else from nothing.
    fn put_in_force(&self, touched: Option<&Touched>) {
        if !self.complete {
            return;
        }
        let (version, set) = (self.machine.version(), self.machine.set().clone());
        let held = self.node.view.load_full();
        let next = match (held, touched) {
            (Some(view), Some(touched)) => view.next(version, set, touched),
            _ => View::new(version, set, self.proxy()),
        };
        self.node.view.store(Some(Arc::new(next)));
        self.node.metrics.version.set(version.offset as i64);
        self.node
            .journal
            .write(Event::InForce, format_args!("version={version}"));
        self.version.send_replace(version);
    }

    fn proxy(&self) -> Proxy {
        let settings = &self.node.settings;
        Proxy {
            domain: settings.domain.clone(),
            labels: settings.labels.clone(),
        }
    }
}
