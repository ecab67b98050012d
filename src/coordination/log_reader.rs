//! Reads the log on behalf of a failure domain.
//!
//! A few nodes of each failure domain, the readers, read the configuration stream
//! and scatter the records to the other nodes of the domain. The first reader
//! scatters at once. Each further reader waits first, and scatters only if it has
//! not received those records from another reader by then.

use std::{
    net::SocketAddr,
    sync::{Arc, atomic::Ordering},
    time::{Duration, Instant},
};

use crate::{
    coordination::{
        Error, catchup, gossip,
        interface::{Call, Log},
        node::{LogFault, Node},
        rank, scatter, snapshot,
    },
    event::Event,
    protocol::{
        log::Batch,
        wire::{Payload, Reply, Scatter},
    },
    state::{
        change::{Entry, Restore},
        version::Version,
    },
    unit::Span,
};

/// Delay before the second reader scatters; the third waits twice as long, and so on.
const READER_DELAY: Span = Span::from_millis(150);

/// The first and the longest pause after a failed read of the log.
const LOG_BACKOFF: (Span, Span) = (Span::from_millis(200), Span::from_secs(5));

/// Interval at which a starting node checks whether its peers have been asked for a
/// view.
const JOIN_CHECK_INTERVAL: Span = Span::from_millis(50);

/// Interval at which a node that is not a reader checks whether it has become one.
const ROLE_CHECK_INTERVAL: Span = Span::from_millis(250);

/// Whether a read of the log changed the state.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Progress {
    Made,
    Idle,
}

/// The task that reads the log while this node is a reader.
pub struct LogReader {
    node: Arc<Node>,
    call: Call,
    log: Log,
    is_reader: bool,
    /// Consecutive failures of the log.
    failures: u32,
    /// The version after which records still have to be scattered; `None` if all have
    /// been.
    scatter_from: Option<Version>,
}

impl LogReader {
    /// Returns the task for `node`.
    pub fn new(node: Arc<Node>, call: Call, log: Log) -> Self {
        Self {
            node,
            call,
            log,
            is_reader: false,
            failures: 0,
            scatter_from: None,
        }
    }

    /// Runs until the future is dropped.
    pub async fn run(mut self) {
        while !self.node.joined.load(Ordering::Relaxed) {
            tokio::time::sleep(JOIN_CHECK_INTERVAL.duration()).await;
        }
        loop {
            let rank = self.own_rank();
            self.note_role(rank);
            if rank >= rank::READERS {
                tokio::time::sleep(ROLE_CHECK_INTERVAL.duration()).await;
                continue;
            }
            let started_at = Instant::now();
            match self.read(rank).await {
                // The log had nothing new and answered at once: avoid a busy loop.
                Ok(Progress::Idle) if started_at.elapsed() < ROLE_CHECK_INTERVAL.duration() => {
                    self.reset_failures();
                    tokio::time::sleep(catchup::jitter(ROLE_CHECK_INTERVAL).duration()).await;
                }
                Ok(_) => self.reset_failures(),
                Err(error) => self.back_off(&error).await,
            }
        }
    }

    fn own_rank(&self) -> usize {
        let settings = &self.node.settings;
        rank::reader_rank(&self.node.table.read(), &settings.domain, &settings.node)
    }

    fn note_role(&mut self, rank: usize) {
        let is_reader = rank < rank::READERS;
        if is_reader != self.is_reader {
            self.is_reader = is_reader;
            self.node.journal.write(
                Event::ReaderChanged,
                format_args!("reading={is_reader} place={rank}"),
            );
        }
    }

    fn reset_failures(&mut self) {
        if self.failures > 0 {
            self.failures = 0;
            self.node.journal.write(Event::LogUp, format_args!(""));
        }
    }

    /// Waits with exponential backoff, then fetches from a node of another failure
    /// domain, which may reach the log even if this one can't.
    async fn back_off(&mut self, error: &Error) {
        if self.failures == 0 {
            self.node
                .journal
                .write(Event::LogDown, format_args!("error={error}"));
        }
        self.failures += 1;
        self.node
            .set_log_fault(Some(LogFault::LogDown(error.to_string())));
        let (first, longest) = LOG_BACKOFF;
        let millis = first.as_millis() << self.failures.min(10);
        let pause = Span::from_millis(millis.min(longest.as_millis()));
        tokio::time::sleep(catchup::jitter(pause).duration()).await;
        self.fetch_remote().await;
    }

    async fn fetch_remote(&self) {
        let domain = &self.node.settings.domain;
        let remote: Vec<SocketAddr> = {
            let table = self.node.table.read();
            table
                .iter()
                .filter(|m| m.domain != *domain && m.is_present())
                .map(|m| m.peers)
                .collect()
        };
        let Some(peer) = fastrand::choice(remote) else {
            return;
        };
        let before = self.node.version();
        if catchup::from_peer(&self.node, &self.call, peer)
            .await
            .is_ok()
        {
            self.scatter(before, 0).await;
        }
    }

    /// Reads the log once, waiting at the log for new records; applies and scatters
    /// them.
    ///
    /// A node without a view does not wait.
    async fn read(&mut self, rank: usize) -> Result<Progress, Error> {
        let held = self
            .node
            .applier
            .inspect(|machine| machine.version())
            .await?;
        if self.scatter_from.is_none() {
            // This node may have fetched records from a peer that no reader has scattered.
            self.scatter(self.unscattered_from(held), rank).await;
        }
        let wait = if self.node.view.load().is_some() {
            self.node.settings.log.wait
        } else {
            Span::default()
        };
        let stream = self.node.settings.log.config_stream.clone();
        self.node.metrics.log_reads.inc();
        let batch = (self.log.read)(stream, held.offset, wait).await?;
        if batch.next < held.offset {
            self.handle_truncation(held, &batch).await?;
            return Ok(Progress::Made);
        }
        if batch.first > held.offset {
            self.load_snapshot(held, &batch).await?;
            return Ok(Progress::Made);
        }
        let next = batch.next;
        let from = *self.scatter_from.get_or_insert(held);
        let applied = self.node.applier.apply_records(held, batch.records).await?;
        self.node.set_log_fault(None);
        if applied.offset >= next {
            self.node.mark_current();
            self.node.applier.mark_complete().await?;
            // Scatters all batches since `from`: earlier ones may not have reached the
            // end of the log.
            self.scatter(from, rank).await;
            self.scatter_from = None;
        }
        Ok(if applied > held {
            Progress::Made
        } else {
            Progress::Idle
        })
    }

    /// Returns the newest version that readers have scattered to this failure domain; `held` if
    /// that isn't known.
    fn unscattered_from(&self, held: Version) -> Version {
        let newest = *self.node.newest_received.lock();
        if newest.is_empty() || newest.epoch != held.epoch {
            held
        } else {
            newest.min(held)
        }
    }

    /// Scatters the records applied since `before` to the members of this failure
    /// domain, unless another reader has done so.
    ///
    /// A reader of `rank` 0 does so at once; any other waits for its delay first.
    async fn scatter(&self, before: Version, rank: usize) {
        let version = self.node.version();
        if version <= before {
            return;
        }
        if rank > 0 {
            let pause = READER_DELAY.duration() * rank as u32;
            tokio::time::sleep(pause).await;
            if *self.node.newest_received.lock() >= version {
                return;
            }
        }
        let records = self
            .node
            .applier
            .inspect(move |machine| machine.records(before))
            .await;
        let load = match records {
            Ok(Some(records)) => Payload::Records {
                from: before,
                records,
            },
            // This node no longer keeps the records since `before`. Members fetch a snapshot
            // once they learn of the version.
            _ => Payload::Count { version },
        };
        note_received(&self.node, version);
        let settings = &self.node.settings;
        let mut members =
            rank::neighbours(&self.node.table.read(), &settings.domain, &settings.node);
        // Suspect and leaving members come last, so that no other member waits for their
        // timeouts.
        members.sort_by_key(|member| member.status);
        let slice = members.iter().map(|member| member.peers).collect();
        let (node, call) = (self.node.clone(), self.call.clone());
        // Runs in the background, so that a slow member does not delay the next read.
        tokio::spawn(async move {
            let version_count = scatter::scatter(call, node.peers, load, slice).await;
            let (current, behind, silent) = (
                version_count.current,
                version_count.behind,
                version_count.silent,
            );
            let details =
                format_args!("version={version} current={current} behind={behind} silent={silent}");
            node.journal.write(Event::Spread, details);
        });
    }

    /// Loads a snapshot, because the records after `held` have expired from the log.
    ///
    /// # Errors
    ///
    /// If no snapshot reaches up to the log's first record: no record is ever skipped.
    async fn load_snapshot(&mut self, held: Version, batch: &Batch) -> Result<(), Error> {
        self.node.journal.write(
            Event::LogGap,
            format_args!("held={held} first={}", batch.first),
        );
        let newest = snapshot::read(&self.node, &self.log).await?;
        let Some((version, bytes)) = newest.filter(|(version, _)| *version > held) else {
            let what = format!(
                "the log: records from offset {} on have expired and no snapshot covers them",
                held.offset
            );
            return Err(Error::Unexpected(what));
        };
        if version.offset < batch.first {
            let what = format!(
                "the log: its newest snapshot, version {version}, ends before its first record, offset {}",
                batch.first
            );
            return Err(Error::Unexpected(what));
        }
        self.node.applier.load_snapshot(bytes).await?;
        Ok(())
    }

    /// Handles a log that ends before the version `held`, because its last records were
    /// lost or it is a different log.
    ///
    /// The current state stays in force. Only a restore by an operator begins a new epoch,
    /// which the node then continues with.
    async fn handle_truncation(&mut self, held: Version, batch: &Batch) -> Result<(), Error> {
        let next = batch.next;
        if self
            .node
            .set_log_fault(Some(LogFault::LogWentBack { held, next }))
        {
            self.node.journal.write(
                Event::LogWentBack,
                format_args!("held={held} log_next={}", batch.next),
            );
        }
        let Some((offset, restore)) = self.find_restore(held, batch).await? else {
            tokio::time::sleep(catchup::jitter(LOG_BACKOFF.1).duration()).await;
            return Ok(());
        };
        let before = self.node.version();
        if self.node.applier.restore(offset, restore).await? {
            self.node.set_log_fault(None);
            self.scatter(before, 0).await;
        }
        Ok(())
    }

    /// Returns the first restore record in the log that begins the epoch after that of
    /// `held`, with its offset.
    async fn find_restore(
        &self,
        held: Version,
        batch: &Batch,
    ) -> Result<Option<(u64, Restore)>, Error> {
        let stream = self.node.settings.log.config_stream.clone();
        let mut from = batch.first;
        while from < batch.next {
            let chunk = (self.log.read)(stream.clone(), from, Span::default()).await?;
            if chunk.records.is_empty() {
                break;
            }
            for record in &chunk.records {
                if let Ok(Entry::Restore(restore)) = Entry::decode(record)
                    && restore.epoch == held.epoch + 1
                {
                    return Ok(Some((from, restore)));
                }
                from += 1;
            }
        }
        Ok(None)
    }
}

/// Applies a scattered message, relays it to its recipients and returns the
/// aggregated count.
///
/// # Errors
///
/// Only if the daemon is ending.
pub async fn receive_scatter(
    node: &Arc<Node>,
    call: &Call,
    scatter: Scatter,
) -> Result<Reply, Error> {
    let Scatter {
        from,
        payload,
        recipients,
    } = scatter;
    let wanted = match &payload {
        Payload::Records { from, records } => Version {
            epoch: from.epoch,
            offset: from.offset + records.len() as u64,
        },
        Payload::Count { version } => *version,
    };
    let relayed = scatter::scatter(call.clone(), node.peers, payload.clone(), recipients);
    let (is_current, mut version_count) =
        tokio::join!(apply_payload(node, call, from, payload, wanted), relayed);
    if is_current {
        version_count.current += 1;
    } else {
        version_count.behind += 1;
        version_count.add_named(node.peers);
    }
    Ok(Reply::Counted(version_count))
}

/// Puts the records of `payload` in force on this node; returns whether `wanted` is in
/// force afterwards.
async fn apply_payload(
    node: &Arc<Node>,
    call: &Call,
    from: SocketAddr,
    payload: Payload,
    wanted: Version,
) -> bool {
    if let Payload::Records {
        from: base,
        records,
    } = payload
    {
        let applied = node.applier.apply_records(base, records).await;
        if applied.is_err() && node.view.load().is_some() {
            // Records before these are missing; the sender has them.
            let _ = catchup::from_peer(node, call, from).await;
        }
        note_received(node, wanted);
    }
    let is_current = node.version() >= wanted;
    if is_current {
        node.mark_current();
    }
    is_current
}

fn note_received(node: &Node, version: Version) {
    let mut newest = node.newest_received.lock();
    *newest = (*newest).max(version);
}

/// Fetches from random peers until this node has a view.
pub async fn fetch_until_complete(node: Arc<Node>, call: Call) {
    while node.view.load().is_none() {
        let peer = {
            let table = node.table.read();
            let me = &node.settings.node;
            let peers: Vec<SocketAddr> = table
                .iter()
                .filter(|m| m.node != *me && m.is_present())
                .map(|m| m.peers)
                .collect();
            fastrand::choice(peers)
        };
        let mut pause = Span::from_millis(300);
        if let Some(peer) = peer {
            // After a failure, the next round asks another peer.
            if let Ok(Some(later)) = catchup::from_peer(&node, &call, peer).await {
                pause = later;
            }
            let _ = gossip::ping(&node, &call, peer).await;
        }
        tokio::time::sleep(
            catchup::jitter(pause)
                .duration()
                .max(Duration::from_millis(50)),
        )
        .await;
    }
}
