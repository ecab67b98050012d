//! Publishing a change through any node.

use std::{sync::Arc, time::Duration};

use tokio::time::timeout;

use crate::{
    coordination::{
        Error,
        link::Log,
        node::{Node, Trouble},
        snapshot,
    },
    protocol::operator::Published,
    state::{
        change::{Anchor, Change, Entry, Restore},
        check::{Problem, Set},
        machine::{Machine, Verdict},
        version::Version,
    },
    unit::Span,
};

/// How long to wait for the record to come back from the log.
const DECISION: Span = Span::from_secs(10);

/// Publishes `change` and returns what became of it.
///
/// # Errors
///
/// Only if the daemon is ending.
pub async fn publish(node: &Arc<Node>, log: &Log, change: Change) -> Result<Published, Error> {
    if let Some(refused) = refuse(node, log, &change).await? {
        return Ok(refused);
    }
    let id = change.id.clone();
    let record = Entry::Change(change).encode();
    let max = node.settings.log.max_record;
    if record.len() as u64 > max.as_bytes() {
        return Ok(Published::NotAccepted(format!(
            "the change is larger than the log takes, {max}"
        )));
    }
    let stream = node.settings.log.config_stream.clone();
    // Taken before the append: the record may be in force before its answer.
    let held = node.version();
    node.metrics.log_appends.inc();
    match (log.append)(stream, record).await {
        // Nobody reads there again: a recovery begins behind it.
        Ok(next) if next < held.offset => {
            let trouble = Trouble::LogWentBack { held, next };
            Ok(Published::NotAccepted(trouble.to_string()))
        }
        Ok(offset) => {
            let version = held.after(offset);
            decided(node, &id, Some(version), DECISION).await
        }
        Err(Error::Unreachable(what)) => {
            Ok(Published::NotAccepted(format!("{what} can't be reached")))
        }
        // The answer may be lost after the record was taken: see whether it
        // comes by.
        Err(_) => decided(node, &id, None, Span::from_secs(3)).await,
    }
}

/// Returns the final word on a change that need not go to the log.
async fn refuse(node: &Arc<Node>, log: &Log, change: &Change) -> Result<Option<Published>, Error> {
    if node.view.load().is_none() {
        return Ok(Some(Published::NotAccepted(
            "this node holds no complete view yet".into(),
        )));
    }
    if let Some(trouble @ Trouble::LogWentBack { .. }) = node.trouble() {
        return Ok(Some(Published::NotAccepted(trouble.to_string())));
    }
    let id = change.id.clone();
    if let Some(first) = node.applier.look(move |m| m.outcome(&id).cloned()).await? {
        return Ok(Some(Published::Decided(first)));
    }
    let mut problems = check(node, change).await?;
    if !problems.is_empty() {
        // What the change needs may have been published through another node a moment ago.
        if let Err(lag) = catch_up(node, log).await? {
            return Ok(Some(Published::NotAccepted(lag)));
        }
        problems = check(node, change).await?;
    }
    let refused = (!problems.is_empty()).then_some(Published::Refused(Verdict::Invalid(problems)));
    Ok(refused)
}

/// Waits until this node has applied what the log holds now; returns why it could not.
///
/// # Errors
///
/// Only if the daemon is ending.
async fn catch_up(node: &Arc<Node>, log: &Log) -> Result<Result<(), String>, Error> {
    let stream = node.settings.log.config_stream.clone();
    let held = node.version();
    let end = match (log.read)(stream, held.offset, Span::default()).await {
        Ok(batch) => Version {
            offset: batch.next,
            ..held
        },
        Err(error) => {
            return Ok(Err(format!(
                "whether it is valid is not known here: {error}"
            )));
        }
    };
    match timeout(DECISION.duration(), node.applier.reached(end)).await {
        Ok(reached) => reached.map(Ok),
        Err(_) => Ok(Err("this node lags behind the log".into())),
    }
}

/// Returns what is wrong with `change` as things stand.
///
/// # Errors
///
/// Only if the daemon is ending.
pub async fn check(node: &Arc<Node>, change: &Change) -> Result<Vec<Problem>, Error> {
    let ops = change.ops.clone();
    let check = move |machine: &Machine| {
        let mut scratch = machine.set().as_ref().clone();
        scratch
            .apply(&ops, machine.version())
            .err()
            .unwrap_or_default()
    };
    node.applier.look(check).await
}

/// Waits for the decision on change `id`, which is at `version` if known.
async fn decided(
    node: &Arc<Node>,
    id: &crate::id::Change,
    version: Option<Version>,
    patience: Span,
) -> Result<Published, Error> {
    let wait = async {
        if let Some(version) = version {
            node.applier.reached(version).await?;
        }
        loop {
            let id = id.clone();
            if let Some(outcome) = node.applier.look(move |m| m.outcome(&id).cloned()).await? {
                return Ok::<_, Error>(outcome);
            }
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
    };
    match timeout(patience.duration(), wait).await {
        Ok(outcome) => Ok(Published::Decided(outcome?)),
        Err(_) => Ok(Published::Unknown(
            "the log took it or not; publish the same change again".into(),
        )),
    }
}

/// Begins a new epoch with the state held here, after the log lost its end.
///
/// # Errors
///
/// If nothing is held or the log does not take the record.
pub async fn recover(node: &Arc<Node>, log: &Log, author: String) -> Result<Version, Error> {
    let base: Anchor = node.applier.look(|machine| machine.anchor()).await?;
    let restore = Restore {
        base,
        epoch: base.version.epoch + 1,
        author,
    };
    let stream = node.settings.log.config_stream.clone();
    let offset = (log.append)(stream, Entry::Restore(restore.clone()).encode()).await?;
    node.applier.restore(offset, restore.clone()).await?;
    Ok(Version {
        epoch: restore.epoch,
        offset: offset + 1,
    })
}

/// Returns the resources as they were at `version`, from the log.
///
/// # Errors
///
/// If the log no longer keeps what leads there.
pub async fn state_at(
    node: &Arc<Node>,
    log: &Log,
    version: Version,
) -> Result<(Anchor, Arc<Set>), Error> {
    let gone = || {
        Error::Unexpected(format!(
            "{version}: the log, which no longer keeps what leads there,"
        ))
    };
    let held = node.applier.look(|machine| machine.version()).await?;
    if version.epoch != held.epoch || version > held {
        return Err(gone());
    }
    let stream = node.settings.log.config_stream.clone();
    let mut machine = match snapshot::read_until(node, log, version).await? {
        Some((_, bytes)) => Machine::from_snapshot(&bytes)?,
        None => Machine::new(),
    };
    while machine.version() < version {
        let from = machine.version().offset;
        let batch = (log.read)(stream.clone(), from, Span::default()).await?;
        if batch.first > from || batch.records.is_empty() {
            return Err(gone());
        }
        for record in batch.records {
            if machine.version() < version {
                machine.apply(machine.version().offset, record)?;
            }
        }
    }
    Ok((machine.anchor(), machine.set().clone()))
}
