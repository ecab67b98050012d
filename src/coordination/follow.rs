//! The duty that follows the log for its failure domain.
//!
//! A few nodes of each failure domain read the configuration stream and
//! spread what they read to the others there. The first of them spreads at
//! once; the next waits a moment and spreads only what it has not heard of.

use std::{
    net::SocketAddr,
    sync::{Arc, atomic::Ordering},
    time::{Duration, Instant},
};

use crate::{
    coordination::{
        Error, catchup, gossip,
        link::{Call, Log},
        node::{Node, Trouble},
        rank, scatter, snapshot,
    },
    event::Event,
    protocol::{
        log::Batch,
        wire::{Load, Reply, Scatter},
    },
    state::{
        change::{Entry, Restore},
        version::Version,
    },
    unit::Span,
};

/// How long each further reader waits before it spreads in place of the
/// first.
const STAGGER: Span = Span::from_millis(150);

/// The first and longest pause after the log failed.
const BACKOFF: (Span, Span) = (Span::from_millis(200), Span::from_secs(5));

/// How often a fresh node looks whether its peers have been asked.
const SETTLE: Span = Span::from_millis(50);

/// How often a node that is no reader looks whether it has become one.
const LOOK: Span = Span::from_millis(250);

/// Whether a read brought anything.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Progress {
    Made,
    Idle,
}

/// The duty's state.
pub struct Follow {
    node: Arc<Node>,
    call: Call,
    log: Log,
    reading: bool,
    failures: u32,
    /// What the members of this failure domain hold, while batches come in.
    unspread: Option<Version>,
}

impl Follow {
    /// Returns the duty for `node`.
    pub fn new(node: Arc<Node>, call: Call, log: Log) -> Self {
        Self {
            node,
            call,
            log,
            reading: false,
            failures: 0,
            unspread: None,
        }
    }

    /// Runs until the future is dropped.
    pub async fn run(mut self) {
        while !self.node.joined.load(Ordering::Relaxed) {
            tokio::time::sleep(SETTLE.duration()).await;
        }
        loop {
            let place = self.place();
            self.note(place);
            if place >= rank::READERS {
                tokio::time::sleep(LOOK.duration()).await;
                continue;
            }
            let since = Instant::now();
            match self.read(place).await {
                // A log that answers at once although it has nothing new.
                Ok(Progress::Idle) if since.elapsed() < LOOK.duration() => {
                    self.succeeded();
                    tokio::time::sleep(catchup::jitter(LOOK).duration()).await;
                }
                Ok(_) => self.succeeded(),
                Err(error) => self.failed(&error).await,
            }
        }
    }

    fn place(&self) -> usize {
        let settings = &self.node.settings;
        rank::reader(&self.node.table.read(), &settings.domain, &settings.node)
    }

    fn note(&mut self, place: usize) {
        let reading = place < rank::READERS;
        if reading != self.reading {
            self.reading = reading;
            self.node.journal.write(
                Event::ReaderChanged,
                format_args!("reading={reading} place={place}"),
            );
        }
    }

    fn succeeded(&mut self) {
        if self.failures > 0 {
            self.failures = 0;
            self.node.journal.write(Event::LogUp, format_args!(""));
        }
    }

    /// Waits before the next try, and meanwhile asks another failure domain:
    /// it may reach the log when this one can't.
    async fn failed(&mut self, error: &Error) {
        if self.failures == 0 {
            self.node
                .journal
                .write(Event::LogDown, format_args!("error={error}"));
        }
        self.failures += 1;
        self.node
            .set_trouble(Some(Trouble::LogDown(error.to_string())));
        let (first, longest) = BACKOFF;
        let doubled = first.as_millis() << self.failures.min(10);
        let pause = Span::from_millis(doubled.min(longest.as_millis()));
        tokio::time::sleep(catchup::jitter(pause).duration()).await;
        self.ask_elsewhere().await;
    }

    async fn ask_elsewhere(&self) {
        let domain = &self.node.settings.domain;
        let far: Vec<SocketAddr> = {
            let table = self.node.table.read();
            table
                .iter()
                .filter(|m| m.domain != *domain && m.is_present())
                .map(|m| m.peers)
                .collect()
        };
        let Some(peer) = fastrand::choice(far) else {
            return;
        };
        let before = self.node.version();
        if catchup::from_peer(&self.node, &self.call, peer)
            .await
            .is_ok()
        {
            self.spread(before, 0).await;
        }
    }

    /// Reads the log once, waiting there for something new.
    async fn read(&mut self, place: usize) -> Result<Progress, Error> {
        let held = self.node.applier.look(|machine| machine.version()).await?;
        let wait = if self.node.view.load().is_some() {
            self.node.settings.log.wait
        } else {
            Span::default()
        };
        let stream = self.node.settings.log.config_stream.clone();
        self.node.metrics.log_reads.inc();
        let batch = (self.log.read)(stream, held.offset, wait).await?;
        if batch.next < held.offset {
            self.went_back(held, &batch).await?;
            return Ok(Progress::Made);
        }
        if batch.first > held.offset {
            self.bridge(held, &batch).await?;
            return Ok(Progress::Made);
        }
        let next = batch.next;
        let from = *self.unspread.get_or_insert(held);
        let found = self.node.applier.records(held, batch.records).await?;
        self.node.set_trouble(None);
        if found.offset >= next {
            self.node.touch();
            self.node.applier.complete().await?;
            // Several batches may have come since; members lack them all.
            self.spread(from, place).await;
            self.unspread = None;
        }
        Ok(if found > held {
            Progress::Made
        } else {
            Progress::Idle
        })
    }

    /// Passes on what was applied since `before`, to the members of this
    /// failure domain, unless another reader did.
    async fn spread(&self, before: Version, place: usize) {
        let version = self.node.version();
        if version <= before {
            return;
        }
        if place > 0 {
            let pause = STAGGER.duration() * place as u32;
            tokio::time::sleep(pause).await;
            if *self.node.heard.lock() >= version {
                return;
            }
        }
        let records = self
            .node
            .applier
            .look(move |machine| machine.records(before))
            .await;
        let load = match records {
            Ok(Some(records)) => Load::Records {
                from: before,
                records,
            },
            // Too far back for records: members fetch a snapshot when they
            // hear of the version.
            _ => Load::Count { version },
        };
        let settings = &self.node.settings;
        let mut near = rank::neighbours(&self.node.table.read(), &settings.domain, &settings.node);
        // Those in doubt come last, where nobody waits behind them.
        near.sort_by_key(|member| member.status);
        let slice = near.iter().map(|member| member.peers).collect();
        let (node, call) = (self.node.clone(), self.call.clone());
        // The next records must not wait for a slow member.
        tokio::spawn(async move {
            let census = scatter::scatter(call, node.peers, load, slice).await;
            let (current, behind, silent) = (census.current, census.behind, census.silent);
            let details =
                format_args!("version={version} current={current} behind={behind} silent={silent}");
            node.journal.write(Event::Spread, details);
        });
    }

    /// The records that come next have expired: somebody else has them, or a
    /// snapshot covers them. Nothing is ever skipped.
    async fn bridge(&mut self, held: Version, batch: &Batch) -> Result<(), Error> {
        self.node.journal.write(
            Event::LogGap,
            format_args!("held={held} first={}", batch.first),
        );
        let found = snapshot::read(&self.node, &self.log).await?;
        let Some((version, bytes)) = found.filter(|(version, _)| *version > held) else {
            let what = format!(
                "records from {} on have expired and no snapshot covers them",
                held.offset
            );
            return Err(Error::Unexpected(what));
        };
        if version.offset < batch.first {
            let what = format!(
                "the newest snapshot, {version}, ends before the log's first record, {}",
                batch.first
            );
            return Err(Error::Unexpected(what));
        }
        self.node.applier.snapshot(bytes).await?;
        Ok(())
    }

    /// The log ends before the version held: it lost its end or is another
    /// log. The state held stays in force; only an operator's restore goes on
    /// from here.
    async fn went_back(&mut self, held: Version, batch: &Batch) -> Result<(), Error> {
        let next = batch.next;
        if self
            .node
            .set_trouble(Some(Trouble::LogWentBack { held, next }))
        {
            self.node.journal.write(
                Event::LogWentBack,
                format_args!("held={held} log_next={}", batch.next),
            );
        }
        let Some((offset, restore)) = self.find_restore(held, batch).await? else {
            tokio::time::sleep(catchup::jitter(BACKOFF.1).duration()).await;
            return Ok(());
        };
        let before = self.node.version();
        if self.node.applier.restore(offset, restore).await? {
            self.node.set_trouble(None);
            self.spread(before, 0).await;
        }
        Ok(())
    }

    async fn find_restore(
        &self,
        held: Version,
        batch: &Batch,
    ) -> Result<Option<(u64, Restore)>, Error> {
        let stream = self.node.settings.log.config_stream.clone();
        let mut from = batch.first;
        while from < batch.next {
            let part = (self.log.read)(stream.clone(), from, Span::default()).await?;
            if part.records.is_empty() {
                break;
            }
            for record in &part.records {
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

/// Takes a scattered message in, passes it on and returns the count.
///
/// # Errors
///
/// Only if the daemon is ending.
pub async fn take(node: &Arc<Node>, call: &Call, scatter: Scatter) -> Result<Reply, Error> {
    let Scatter { from, load, slice } = scatter;
    let wanted = match &load {
        Load::Records { from, records } => Version {
            epoch: from.epoch,
            offset: from.offset + records.len() as u64,
        },
        Load::Count { version } => *version,
    };
    let onward = scatter::scatter(call.clone(), node.peers, load.clone(), slice);
    let (here, mut census) = tokio::join!(take_here(node, call, from, load, wanted), onward);
    if here {
        census.current += 1;
    } else {
        census.behind += 1;
        census.name(node.peers);
    }
    Ok(Reply::Counted(census))
}

/// Puts what came in force here; returns whether `wanted` is.
async fn take_here(
    node: &Arc<Node>,
    call: &Call,
    from: SocketAddr,
    load: Load,
    wanted: Version,
) -> bool {
    if let Load::Records {
        from: base,
        records,
    } = load
    {
        let applied = node.applier.records(base, records).await;
        if applied.is_err() && node.view.load().is_some() {
            // A gap: the sender has what is missing.
            let _ = catchup::from_peer(node, call, from).await;
        }
        note_heard(node, wanted);
    }
    let current = node.version() >= wanted;
    if current {
        node.touch();
    }
    current
}

fn note_heard(node: &Node, version: Version) {
    let mut heard = node.heard.lock();
    *heard = (*heard).max(version);
}

/// Keeps a fresh node asking until it has a view.
pub async fn until_complete(node: Arc<Node>, call: Call) {
    while node.view.load().is_none() {
        let peer = {
            let table = node.table.read();
            let me = &node.settings.node;
            let others: Vec<SocketAddr> = table
                .iter()
                .filter(|m| m.node != *me && m.is_present())
                .map(|m| m.peers)
                .collect();
            fastrand::choice(others)
        };
        let mut pause = Span::from_millis(300);
        if let Some(peer) = peer {
            // Any failure is met by asking another one.
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
