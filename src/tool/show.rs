//! Printing of results, as text or as JSON.

use indicatif::{ProgressBar, ProgressDrawTarget, ProgressStyle};
use serde::Serialize;

use crate::{
    coordination::decision::load_report::Reported,
    files::{Difference, Files},
    id,
    protocol::operator::{
        Convergence, Explanation, History, Progress, Published, Quarantined, Report,
    },
    state::{
        drain::Drain, fingerprint::Fingerprint, machine::Verdict, member::Target, resource::Key,
        version::Version,
    },
    tool::{Code, CommandResult, Failure},
};

fn print_json(value: &impl Serialize) {
    println!(
        "{}",
        serde_json::to_string(value).expect("a result always encodes as JSON")
    );
}

/// Returns the keys separated by commas.
fn join(keys: &[Key]) -> String {
    keys.iter()
        .map(ToString::to_string)
        .collect::<Vec<_>>()
        .join(", ")
}

/// Prints the progress of roll-outs.
pub fn rollouts(rollouts: &[Progress], json: bool) -> CommandResult {
    if json {
        print_json(&rollouts);
        return Ok(Code::Accepted);
    }
    for progress in rollouts {
        let Progress {
            rollout,
            age_ms,
            waits_for,
            decides,
            targets,
        } = progress;
        let from = rollout
            .from
            .as_ref()
            .map_or("?".into(), ToString::to_string);
        println!(
            "{}: {from} to {}, {}; ordered {age_ms} ms ago, within {}; waits for {waits_for}",
            rollout.service, rollout.to, rollout.stage, rollout.duration
        );
        for target in targets {
            let verdict = match target.is_failing {
                None => "not known yet",
                Some(false) => "does well",
                Some(true) => "fails",
            };
            println!("  target beside {}: {verdict}", target.node);
        }
        if *decides {
            println!("  this node may carry it on");
        }
    }
    if rollouts.is_empty() {
        println!("no order is known");
    }
    Ok(Code::Accepted)
}

/// Prints the drains of failure domains.
pub fn drains(drains: &[Drain], json: bool) -> CommandResult {
    if json {
        print_json(&drains);
        return Ok(Code::Accepted);
    }
    let active = drains.iter().filter(|drain| drain.is_active);
    for Drain { domain, order, .. } in active.clone() {
        println!("{domain}: drained by order {order}");
    }
    if active.count() == 0 {
        println!("no failure domain is drained");
    }
    Ok(Code::Accepted)
}

/// Prints the quarantined requests.
pub fn quarantined(requests: &[Quarantined], json: bool) -> CommandResult {
    if json {
        print_json(&requests);
        return Ok(Code::Accepted);
    }
    for Quarantined {
        content,
        ends,
        since_ms,
    } in requests
    {
        println!("{content}: {ends} targets ended under it, held back for {since_ms} ms");
    }
    if requests.is_empty() {
        println!("nothing is held back");
    }
    Ok(Code::Accepted)
}

/// Prints the loads of targets that a node knows from reports.
pub fn room(reported: &[Reported], json: bool) -> CommandResult {
    if json {
        print_json(&reported);
        return Ok(Code::Accepted);
    }
    for Reported {
        node,
        service,
        age_ms,
        is_fresh,
        state,
    } in reported
    {
        let queue = state.queue.iter();
        let queue: Vec<String> = queue
            .map(|queued| format!("{} of priority {}", queued.waiting, queued.priority))
            .collect();
        let waiting = match queue.is_empty() {
            true => state.waiting.to_string(),
            false => format!("{} ({})", state.waiting, queue.join(", ")),
        };
        let turnover = f64::from(state.turnover_micros) / 1000.0;
        let freshness = if *is_fresh { "" } else { ", unknown by now" };
        println!(
            "{service} beside {node}: {} of {} slots used, {waiting} waiting, a slot free each \
             {turnover:.1} ms, {age_ms} ms ago{freshness}",
            state.running, state.slots
        );
    }
    if reported.is_empty() {
        println!("no load is reported");
    }
    Ok(Code::Accepted)
}

/// Prints that a request was released from quarantine.
///
/// # Errors
///
/// If the daemon had not quarantined the request.
pub fn released(content: &Fingerprint, was_quarantined: bool) -> CommandResult {
    if !was_quarantined {
        return Err(Failure::new(
            Code::Rejected,
            format!("{content} is not held back here"),
        ));
    }
    println!("{content} is let go; targets that end under it again hold it back again");
    Ok(Code::Accepted)
}

/// Prints the state of the mesh as one daemon knows it.
pub fn status(report: &Report, json: bool) -> CommandResult {
    if json {
        print_json(report);
        return Ok(Code::Accepted);
    }
    println!(
        "node {} in {}: {} at version {}, current {} ms ago, last accepted change {}",
        report.node,
        report.domain,
        if report.ready { "ready" } else { "not ready" },
        report.anchor.version,
        report.age_ms,
        report.accepted
    );
    if let Some(trouble) = &report.trouble {
        println!("trouble: {trouble}");
    }
    for member in &report.members {
        let target = |t: &Target| {
            format!(
                "{}{}",
                t.service,
                if t.draining { " (draining)" } else { "" }
            )
        };
        let targets: Vec<String> = member.targets.iter().map(target).collect();
        println!(
            "  {:<16} {:<16} {:<8?} {}",
            member.domain,
            member.node,
            member.status,
            targets.join(", ")
        );
    }
    Ok(Code::Accepted)
}

/// Prints targets and whether they are draining.
pub fn targets(targets: &[Target], json: bool) -> CommandResult {
    if json {
        print_json(&targets);
    } else {
        for target in targets {
            println!(
                "{} at {}: draining {}",
                target.service, target.address, target.draining
            );
        }
    }
    Ok(Code::Accepted)
}

/// Prints the latest changes and their outcomes.
pub fn history(history: &History, json: bool) -> CommandResult {
    if json {
        print_json(history);
        return Ok(Code::Accepted);
    }
    for outcome in &history.outcomes {
        let id = outcome.id.as_ref().map_or("-", |id| id.as_str());
        println!(
            "{:<10} {id} by {}: {}",
            outcome.version,
            outcome.author,
            join(&outcome.keys)
        );
        if !outcome.note.is_empty() {
            println!("           {}", outcome.note);
        }
        if !outcome.verdict.is_accepted() {
            println!("           {}", verdict_text(&outcome.verdict, None));
        }
    }
    Ok(Code::Accepted)
}

/// Prints the differences between files and the configuration in force at `version`.
pub fn difference(difference: &Difference, version: Version, json: bool) -> CommandResult {
    if json {
        let Difference {
            added,
            changed,
            removed,
        } = difference;
        print_json(&serde_json::json!({
            "version": version, "added": added, "changed": changed, "removed": removed
        }));
        return Ok(Code::Accepted);
    }
    println!("against version {version}:");
    for (sign, keys) in [
        ('+', &difference.added),
        ('~', &difference.changed),
        ('-', &difference.removed),
    ] {
        keys.iter().for_each(|key| println!("{sign} {key}"));
    }
    if difference.is_empty() {
        println!("no difference");
    }
    Ok(Code::Accepted)
}

/// Returns the text of a verdict. Problems of resources in `files` are shown with their file
/// and line.
fn verdict_text(verdict: &Verdict, files: Option<&Files>) -> String {
    match verdict {
        Verdict::Accepted => "accepted".into(),
        Verdict::Repeated(version) => format!("was decided before, at {version}"),
        Verdict::Conflict(keys) => format!("conflict: another change came first to {}", join(keys)),
        Verdict::Invalid(problems) => {
            let problem_text = |p| {
                files
                    .and_then(|files| files.locate(p))
                    .map_or_else(|| format!("{p}"), |f| f.to_string())
            };
            let lines: Vec<String> = problems.iter().map(problem_text).collect();
            format!("rejected:\n  {}", lines.join("\n  "))
        }
        Verdict::Foreign => {
            "rejected: made against another history of the log, or too long ago".into()
        }
        Verdict::Unreadable => "rejected: not readable".into(),
    }
}

/// Prints the outcome of publishing a change.
pub fn published(published: &Published, id: &id::Change, files: Option<&Files>, json: bool) {
    if json {
        print_json(published);
        return;
    }
    match published {
        Published::Decided(outcome) => {
            println!(
                "change {id} at version {}: {}",
                outcome.version,
                verdict_text(&outcome.verdict, files)
            );
        }
        Published::Refused(verdict) => println!("change {id}: {}", verdict_text(verdict, files)),
        Published::NotAccepted(reason) => println!("change {id}: not accepted: {reason}"),
        Published::Unknown(reason) => {
            println!("change {id}: outcome unknown: {reason} (--id {id})")
        }
    }
}

/// Returns the progress bar of a wait, which is hidden if results are printed as JSON.
pub fn progress(json: bool) -> ProgressBar {
    let target = if json {
        ProgressDrawTarget::hidden()
    } else {
        ProgressDrawTarget::stderr()
    };
    let bar = ProgressBar::with_draw_target(Some(0), target);
    let style = ProgressStyle::with_template("in force on {pos} of {len} {bar:30} {elapsed}");
    bar.with_style(style.unwrap_or_else(|_| ProgressStyle::default_bar()))
}

/// Prints that a version is in force on all nodes.
pub fn in_force(convergence: &Convergence, json: bool) {
    if json {
        print_json(convergence);
    } else {
        println!(
            "version {} is in force on all {} nodes",
            convergence.version, convergence.census.current
        );
    }
}

/// Prints on how many nodes a version is in force, and some of the nodes without it.
pub fn lagging(convergence: &Convergence, json: bool) {
    if json {
        print_json(convergence);
        return;
    }
    let census = &convergence.census;
    println!(
        "version {} is in force on {} nodes, not on {}, and {} do not answer",
        convergence.version, census.current, census.behind, census.silent
    );
    for node in &convergence.lagging {
        println!("  lagging: {node}");
    }
}

/// Prints the route of a hypothetical request and the targets it could be sent to.
pub fn explanation(explanation: &Explanation, json: bool) -> CommandResult {
    if json {
        print_json(explanation);
        return Ok(Code::Accepted);
    }
    match &explanation.route {
        None => println!("no route matches, at version {}", explanation.version),
        Some((route, service)) => {
            println!(
                "route/{route} leads to service/{service}, at version {}",
                explanation.version
            );
        }
    }
    for target in &explanation.targets {
        let sign = if target.allowed { "yes" } else { "no " };
        println!(
            "  {sign} {:<16} {:<16} {}",
            target.domain, target.node, target.why
        );
    }
    Ok(Code::Accepted)
}
