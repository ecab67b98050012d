//! Publishes changes through any node, and recovers from a log that lost records.

use std::{sync::Arc, time::Duration};

use tokio::time::timeout;

use crate::{
    coordination::{
        Error,
        interface::Log,
        node::{LogFault, Node},
        snapshot,
    },
    protocol::operator::Published,
    state::{
        change::{Anchor, Change, Entry, Restore},
        check::{Problem, ResourceSet},
        machine::{Machine, Verdict},
        version::Version,
    },
    unit::Span,
};

/// Maximum wait for an appended record to be read back from the log and applied.
const DECISION_TIMEOUT: Span = Span::from_secs(10);

/// Publishes `change` and returns the outcome.
///
/// # Errors
///
/// Only if the daemon is ending.
pub async fn publish(node: &Arc<Node>, log: &Log, change: Change) -> Result<Published, Error> {
    if let Some(result) = decide_early(node, log, &change).await? {
        return Ok(result);
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
    // Loaded before the append: the record may be in force before the append returns.
    let held = node.version();
    node.metrics.log_appends.inc();
    match (log.append)(stream, record).await {
        // No node will read a record at this offset: a recovery continues after it.
        Ok(next) if next < held.offset => {
            let fault = LogFault::LogWentBack { held, next };
            Ok(Published::NotAccepted(fault.to_string()))
        }
        Ok(offset) => {
            let version = held.after(offset);
            wait_for_decision(node, &id, Some(version), DECISION_TIMEOUT).await
        }
        Err(Error::Unreachable(what)) => {
            Ok(Published::NotAccepted(format!("{what} can't be reached")))
        }
        // The log may have appended the record although its reply did not arrive: wait for
        // the record to be read.
        Err(_) => wait_for_decision(node, &id, None, Span::from_secs(3)).await,
    }
}

/// Returns the result of a change that need not be appended to the log: one that was
/// decided before, is invalid, or can't be accepted now.
async fn decide_early(
    node: &Arc<Node>,
    log: &Log,
    change: &Change,
) -> Result<Option<Published>, Error> {
    if node.view.load().is_none() {
        return Ok(Some(Published::NotAccepted(
            "this node holds no complete view yet".into(),
        )));
    }
    if let Some(fault @ LogFault::LogWentBack { .. }) = node.log_fault() {
        return Ok(Some(Published::NotAccepted(fault.to_string())));
    }
    let id = change.id.clone();
    if let Some(outcome) = node
        .applier
        .inspect(move |m| m.outcome(&id).cloned())
        .await?
    {
        return Ok(Some(Published::Decided(outcome)));
    }
    let mut problems = check(node, change).await?;
    if !problems.is_empty() {
        // The resources that the change refers to may just have been published through
        // another node.
        if let Err(reason) = catch_up(node, log).await? {
            return Ok(Some(Published::NotAccepted(reason)));
        }
        problems = check(node, change).await?;
    }
    let refused = (!problems.is_empty()).then_some(Published::Refused(Verdict::Invalid(problems)));
    Ok(refused)
}

/// Waits until this node has applied all records that the log holds now; the inner error
/// is the reason why it could not.
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
    match timeout(DECISION_TIMEOUT.duration(), node.applier.wait_for(end)).await {
        Ok(reached) => reached.map(Ok),
        Err(_) => Ok(Err("this node lags behind the log".into())),
    }
}

/// Returns the problems of `change` against the current resources; empty if it is valid.
///
/// # Errors
///
/// Only if the daemon is ending.
pub async fn check(node: &Arc<Node>, change: &Change) -> Result<Vec<Problem>, Error> {
    let ops = change.ops.clone();
    let check = move |machine: &Machine| {
        let mut scratch = machine.resources().as_ref().clone();
        scratch
            .apply(&ops, machine.version())
            .err()
            .unwrap_or_default()
    };
    node.applier.inspect(check).await
}

/// Waits up to `max_wait` for the outcome of change `id`, whose record leads to `version`
/// if that is known.
async fn wait_for_decision(
    node: &Arc<Node>,
    id: &crate::id::Change,
    version: Option<Version>,
    max_wait: Span,
) -> Result<Published, Error> {
    let wait = async {
        if let Some(version) = version {
            node.applier.wait_for(version).await?;
        }
        loop {
            let id = id.clone();
            if let Some(outcome) = node
                .applier
                .inspect(move |m| m.outcome(&id).cloned())
                .await?
            {
                return Ok::<_, Error>(outcome);
            }
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
    };
    match timeout(max_wait.duration(), wait).await {
        Ok(outcome) => Ok(Published::Decided(outcome?)),
        Err(_) => Ok(Published::Unknown(
            "the log took it or not; publish the same change again".into(),
        )),
    }
}

/// Begins a new epoch with the state of this node, after the log lost its last records;
/// returns the first version of the epoch.
///
/// # Errors
///
/// If the log can't append the record, or the daemon is ending.
pub async fn recover(node: &Arc<Node>, log: &Log, author: String) -> Result<Version, Error> {
    let base: Anchor = node.applier.inspect(|machine| machine.anchor()).await?;
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

/// Returns the resources as they were at `version`, rebuilt from the log.
///
/// # Errors
///
/// If the log no longer holds the records up to `version`, or if `version` is newer than
/// this node's state or of another epoch.
pub async fn state_at(
    node: &Arc<Node>,
    log: &Log,
    version: Version,
) -> Result<(Anchor, Arc<ResourceSet>), Error> {
    let expired = || {
        Error::Unexpected(format!(
            "the log: it no longer holds the records up to version {version}"
        ))
    };
    let held = node.applier.inspect(|machine| machine.version()).await?;
    if version.epoch != held.epoch || version > held {
        return Err(expired());
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
            return Err(expired());
        }
        for record in batch.records {
            if machine.version() < version {
                machine.apply(machine.version().offset, record)?;
            }
        }
    }
    Ok((machine.anchor(), machine.resources().clone()))
}
