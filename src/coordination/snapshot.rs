//! Reads and writes snapshots in the log, so that the configuration outlives the log's
//! retention.

use std::sync::Arc;

use bytes::Bytes;

use crate::{
    coordination::{Error, catchup::jitter, interface::Log, node::Node, rank},
    event::Event,
    protocol::{
        log::{Assembly, Part, split},
        wire,
    },
    state::version::Version,
    unit::Span,
};

/// Bytes of a record reserved for the fields of a part besides its content.
const PART_OVERHEAD: u64 = 256;

/// Interval at which the writer checks whether a snapshot is due.
const CHECK_INTERVAL: Span = Span::from_millis(500);

/// Returns the newest complete snapshot in the log.
///
/// # Errors
///
/// If the log can't be read.
pub async fn read(node: &Arc<Node>, log: &Log) -> Result<Option<(Version, Bytes)>, Error> {
    let newest = Version {
        epoch: u32::MAX,
        offset: u64::MAX,
    };
    read_until(node, log, newest).await
}

/// Returns the newest complete snapshot in the log whose version is at most `until`.
///
/// # Errors
///
/// If the log can't be read.
pub async fn read_until(
    node: &Arc<Node>,
    log: &Log,
    until: Version,
) -> Result<Option<(Version, Bytes)>, Error> {
    let stream = node.settings.log.snapshot_stream.clone();
    let mut assembly = Assembly::default();
    let mut from = 0;
    loop {
        node.metrics.log_reads.inc();
        let batch = (log.read)(stream.clone(), from, Span::default()).await?;
        if batch.first > from {
            from = batch.first;
            continue;
        }
        if batch.records.is_empty() {
            return Ok(assembly.into_newest());
        }
        from += batch.records.len() as u64;
        for record in &batch.records {
            // Skips records that are not parts of a snapshot: other programs wrote them.
            if let Some(part) = wire::decode::<Part>(record)
                .ok()
                .filter(|part| part.version <= until)
            {
                assembly.add(part);
            }
        }
    }
}

/// Writes a snapshot of the current state to the log; returns its version.
///
/// # Errors
///
/// If the log does not accept all parts. Readers skip the incomplete snapshot.
pub async fn write(node: &Arc<Node>, log: &Log) -> Result<Version, Error> {
    let (version, bytes) = node
        .applier
        .inspect(|machine| (machine.version(), machine.snapshot()))
        .await?;
    let settings = &node.settings.log;
    let max = settings.max_record.as_bytes() - PART_OVERHEAD;
    for part in split(&bytes, version, fastrand::u64(..), max as usize) {
        node.metrics.log_appends.inc();
        (log.append)(settings.snapshot_stream.clone(), wire::encode(&part)).await?;
    }
    let size = bytes.len();
    node.journal.write(
        Event::SnapshotWritten,
        format_args!("version={version} bytes={size}"),
    );
    Ok(version)
}

/// Writes a snapshot at the configured interval while this node is the writer; never
/// returns.
pub async fn run_writer(node: Arc<Node>, log: Log) {
    let every = node.settings.log.snapshot_every;
    // The first snapshot comes after a quarter to three quarters of the interval.
    let mut due_ms = node.uptime_ms() + jitter(every).as_millis() / 2;
    loop {
        tokio::time::sleep(CHECK_INTERVAL.duration()).await;
        // The rank is computed last, because it takes a pass over all members.
        let is_due = node.uptime_ms() >= due_ms && node.is_ready() && !node.version().is_empty();
        if !is_due || rank::writer_rank(&node.table.read(), &node.settings.node) != 0 {
            continue;
        }
        let pause = match write(&node, &log).await {
            Ok(_) => every,
            Err(error) => {
                node.journal
                    .write(Event::SnapshotFailed, format_args!("error={error}"));
                jitter(Span::from_secs(5))
            }
        };
        due_ms = node.uptime_ms() + pause.as_millis();
    }
}
