//! Applies records to the state machine and puts views in force.
//!
//! One thread owns the state machine and serves jobs from a bounded queue. This
//! single writer puts each version in force atomically and in order. Readers load
//! a pointer to the view and never block.

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

/// Maximum number of queued jobs.
const QUEUE_CAPACITY: usize = 256;

type Inspection = Box<dyn FnOnce(&Machine) + Send>;

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
    Inspect(Inspection),
}

/// A handle to the applying thread.
#[derive(Clone)]
pub struct Applier {
    jobs: mpsc::Sender<Job>,
    version: watch::Receiver<Version>,
}

/// The receiving end of the job queue, served by [`Queue::run`].
pub struct Queue {
    jobs: mpsc::Receiver<Job>,
    version: watch::Sender<Version>,
}

/// Returns a handle and the job queue that it sends to.
pub fn channel() -> (Applier, Queue) {
    let (sender, jobs) = mpsc::channel(QUEUE_CAPACITY);
    let (version_sender, version) = watch::channel(Version::default());
    (
        Applier {
            jobs: sender,
            version,
        },
        Queue {
            jobs,
            version: version_sender,
        },
    )
}

impl Applier {
    /// Applies `records`, the first of which continues version `from`. Records that
    /// are already applied are skipped.
    ///
    /// Returns the version of the state machine afterwards.
    ///
    /// # Errors
    ///
    /// If records are missing between the applied version and `from`, or if a record
    /// needs a newer version of this program.
    pub async fn apply_records(
        &self,
        from: Version,
        records: Vec<Bytes>,
    ) -> Result<Version, Error> {
        self.submit(|done| Job::Records {
            from,
            records,
            done,
        })
        .await?
    }

    /// Replaces the state by a snapshot, if the snapshot is newer.
    ///
    /// Returns the version of the state machine afterwards.
    ///
    /// # Errors
    ///
    /// If the snapshot is damaged or needs a newer version of this program.
    pub async fn load_snapshot(&self, bytes: Bytes) -> Result<Version, Error> {
        self.submit(|done| Job::Snapshot { bytes, done }).await?
    }

    /// Begins the epoch of `restore`, whose record is at `offset`; returns whether
    /// the current state is the one that the new epoch continues.
    ///
    /// # Errors
    ///
    /// Only if the daemon is ending.
    pub async fn restore(&self, offset: u64, restore: Restore) -> Result<bool, Error> {
        self.submit(|done| Job::Restore {
            offset,
            restore,
            done,
        })
        .await?
    }

    /// Marks the current state as complete, so that it is put in force.
    ///
    /// # Errors
    ///
    /// Only if the daemon is ending.
    pub async fn mark_complete(&self) -> Result<(), Error> {
        self.jobs
            .send(Job::Complete)
            .await
            .map_err(|_| Error::Ending)
    }

    /// Returns the result of `inspect`, run on the state machine by the applying thread.
    ///
    /// # Errors
    ///
    /// Only if the daemon is ending.
    pub async fn inspect<T, F>(&self, inspect: F) -> Result<T, Error>
    where
        T: Send + 'static,
        F: FnOnce(&Machine) -> T + Send + 'static,
    {
        self.submit(|done| {
            Job::Inspect(Box::new(move |machine| {
                // Fails only if the requester no longer waits for the result.
                let _ = done.send(inspect(machine));
            }))
        })
        .await
    }

    /// Waits until `version` is in force on this node.
    ///
    /// # Errors
    ///
    /// Only if the daemon is ending.
    pub async fn wait_for(&self, version: Version) -> Result<(), Error> {
        let mut watch = self.version.clone();
        let result = watch.wait_for(|applied| *applied >= version).await;
        result.map(|_| ()).map_err(|_| Error::Ending)
    }

    async fn submit<T>(&self, job: impl FnOnce(oneshot::Sender<T>) -> Job) -> Result<T, Error> {
        let (done, result) = oneshot::channel();
        self.jobs.send(job(done)).await.map_err(|_| Error::Ending)?;
        result.await.map_err(|_| Error::Ending)
    }
}

impl Queue {
    /// Starts the thread that serves `node`'s jobs until all handles are dropped.
    ///
    /// # Panics
    ///
    /// If the operating system can't start a thread.
    pub fn run(self, node: Arc<Node>) {
        let worker = Worker {
            machine: Machine::new(),
            is_complete: false,
            version: self.version,
            node,
        };
        let mut jobs = self.jobs;
        thread::Builder::new()
            .name("apply".into())
            .spawn(move || {
                let mut worker = worker;
                while let Some(job) = jobs.blocking_recv() {
                    worker.serve(job);
                }
            })
            .expect("a thread can be started");
    }
}

struct Worker {
    machine: Machine,
    is_complete: bool,
    version: watch::Sender<Version>,
    node: Arc<Node>,
}

impl Worker {
    fn serve(&mut self, job: Job) {
        // A send fails only if the requester no longer waits for the result.
        match job {
            Job::Records {
                from,
                records,
                done,
            } => drop(done.send(self.apply_records(from, records))),
            Job::Snapshot { bytes, done } => drop(done.send(self.load_snapshot(&bytes))),
            Job::Restore {
                offset,
                restore,
                done,
            } => drop(done.send(Ok(self.restore(offset, &restore)))),
            Job::Complete => self.mark_complete(),
            Job::Inspect(inspect) => inspect(&self.machine),
        }
    }

    fn apply_records(&mut self, from: Version, records: Vec<Bytes>) -> Result<Version, Error> {
        let held = self.machine.version();
        if from.epoch != held.epoch || from.offset > held.offset {
            return Err(crate::state::Error::OffsetGap {
                found: from.offset,
                held,
            }
            .into());
        }
        let applied_count = (held.offset - from.offset) as usize;
        for record in records.into_iter().skip(applied_count) {
            let result = self.machine.apply(self.machine.version().offset, record);
            if let Err(error) = &result {
                self.node
                    .journal
                    .write(Event::RulesUnknown, format_args!("error={error}"));
            }
            let applied = result?;
            self.log_rejection(&applied);
            self.put_in_force(Some(&applied.touched));
        }
        Ok(self.machine.version())
    }

    fn load_snapshot(&mut self, bytes: &Bytes) -> Result<Version, Error> {
        let decoded = Machine::from_snapshot(bytes);
        if let Err(error) = &decoded {
            self.node
                .journal
                .write(Event::SnapshotBad, format_args!("error={error}"));
        }
        let machine = decoded?;
        if machine.version() > self.machine.version() {
            self.machine = machine;
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
        let is_continued = self.machine.restore(offset, restore);
        if is_continued {
            self.node.journal.write(
                Event::EpochBegan,
                format_args!("version={}", self.machine.version()),
            );
            self.put_in_force(Some(&Touched::default()));
        }
        is_continued
    }

    fn mark_complete(&mut self) {
        if !self.is_complete {
            self.is_complete = true;
            self.put_in_force(None);
            let (version, resources) = (self.machine.version(), self.machine.resources().len());
            let details = format_args!("version={version} resources={resources}");
            self.node.journal.write(Event::Ready, details);
        }
    }

    fn log_rejection(&self, applied: &Applied) {
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

    /// Puts the machine's state in force, if it is complete.
    ///
    /// If `touched` lists the changes since the view in force, the new view is derived
    /// from that view; otherwise it is built from scratch.
    fn put_in_force(&self, touched: Option<&Touched>) {
        if !self.is_complete {
            return;
        }
        let (version, set) = (self.machine.version(), self.machine.resources().clone());
        let old = self.node.view.load_full();
        let next = match (old, touched) {
            (Some(view), Some(touched)) => view.updated(version, set, touched),
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
