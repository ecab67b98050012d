//! The operators' command-line tool.
//!
//! One subcommand per job. Exit codes, for scripts: see [`Code`].

mod desk;
mod show;
pub mod trace;

use std::{net::SocketAddr, path::PathBuf, process::ExitCode, time::Duration};

use argh::FromArgs;

use crate::{
    document::Fault,
    files::{Difference, Files},
    id,
    protocol::operator::{self, Convergence, Drain, Published, Question, Resources},
    settings::{Security, Tls},
    state::{
        change::Op,
        fingerprint::Fingerprint,
        machine::Verdict,
        resource::{Key, Resource},
        version::Version,
    },
    unit::Span,
};

use self::desk::Desk;

/// Exit codes of the tool.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Code {
    /// Done; a change is accepted.
    Accepted = 0,
    /// The command line makes no sense.
    Usage = 2,
    /// The configuration is wrong; nothing changed.
    Rejected = 3,
    /// Another change came first; nothing changed.
    Conflict = 4,
    /// The change may or may not be accepted; publish it again under its id.
    Unknown = 5,
    /// No daemon, or no log behind it, could be reached; nothing changed.
    Unreachable = 6,
    /// Accepted, but not in force everywhere in the time given.
    Lagging = 7,
}

/// Operates a mesh: publishes configuration and shows what became of it.
#[derive(FromArgs)]
pub struct Args {
    /// a daemon's operators address; may be given several times
    #[argh(option)]
    daemon: Vec<SocketAddr>,
    /// your certificate, as a PEM file; needed where nodes use TLS
    #[argh(option)]
    certificate: Option<PathBuf>,
    /// its key
    #[argh(option)]
    key: Option<PathBuf>,
    /// the authority that signed the nodes' certificates
    #[argh(option)]
    authority: Option<PathBuf>,
    /// answer in JSON
    #[argh(switch)]
    json: bool,
    #[argh(subcommand)]
    job: Job,
}

#[derive(FromArgs)]
#[argh(subcommand)]
enum Job {
    Check(Check),
    Diff(Diff),
    Publish(Publish),
    Label(Label),
    Status(Status),
    Wait(Wait),
    Explain(Explain),
    Drain(DrainJob),
    History(HistoryJob),
    Rollback(Rollback),
    Recover(Recover),
    Rollout(RolloutJob),
    Held(HeldJob),
    LetGo(LetGoJob),
    Trace(TraceJob),
}

/// Check configuration files, without any daemon.
#[derive(FromArgs)]
#[argh(subcommand, name = "check")]
struct Check {
    /// the files
    #[argh(positional)]
    files: Vec<PathBuf>,
}

/// Show what the logs of some nodes say of one request, without any daemon.
#[derive(FromArgs)]
#[argh(subcommand, name = "trace")]
struct TraceJob {
    /// the request's id
    #[argh(positional)]
    id: String,
    /// the logs
    #[argh(positional)]
    logs: Vec<PathBuf>,
}

/// Show how files differ from what is in force.
#[derive(FromArgs)]
#[argh(subcommand, name = "diff")]
struct Diff {
    /// the files
    #[argh(positional)]
    files: Vec<PathBuf>,
}

/// Publish configuration files.
#[derive(FromArgs)]
#[argh(subcommand, name = "publish")]
struct Publish {
    /// the files
    #[argh(positional)]
    files: Vec<PathBuf>,
    /// delete what is in force but not in the files
    #[argh(switch)]
    prune: bool,
    /// refuse if a resource changed after this version
    #[argh(option)]
    expect: Option<Version>,
    /// the change's id, to repeat one whose outcome is unknown
    #[argh(option)]
    id: Option<id::Change>,
    /// why, for the history
    #[argh(option, default = "String::new()")]
    note: String,
    /// wait this long until it is in force everywhere
    #[argh(option)]
    wait: Option<Span>,
}

/// Set (key=value) or remove (key-) labels of a service or failure domain.
#[derive(FromArgs)]
#[argh(subcommand, name = "label")]
struct Label {
    /// the resource, as kind/name
    #[argh(positional)]
    key: Key,
    /// the labels
    #[argh(positional)]
    labels: Vec<String>,
    /// refuse if the resource changed after this version
    #[argh(option)]
    expect: Option<Version>,
    /// wait this long until it is in force everywhere
    #[argh(option)]
    wait: Option<Span>,
}

/// Show the whole mesh as one daemon knows it.
#[derive(FromArgs)]
#[argh(subcommand, name = "status")]
struct Status {}

/// Wait until a version is in force everywhere.
#[derive(FromArgs)]
#[argh(subcommand, name = "wait")]
struct Wait {
    /// the version
    #[argh(positional)]
    version: Version,
    /// how long at most
    #[argh(option, default = "Span::from_secs(17)")]
    within: Span,
}

/// Say where a request would go, and why not elsewhere.
#[derive(FromArgs)]
#[argh(subcommand, name = "explain")]
struct Explain {
    /// the path
    #[argh(positional)]
    path: String,
    /// the method
    #[argh(option, default = "String::from(\"GET\")")]
    method: String,
    /// the Host
    #[argh(option)]
    host: Option<String>,
}

/// Make the target on the daemon's host leave.
#[derive(FromArgs)]
#[argh(subcommand, name = "drain")]
struct DrainJob {
    /// only the target of this service
    #[argh(option)]
    service: Option<id::Name>,
}

/// Show the last changes and what was decided on them.
#[derive(FromArgs)]
#[argh(subcommand, name = "history")]
struct HistoryJob {}

/// Publish an old state as a new version.
#[derive(FromArgs)]
#[argh(subcommand, name = "rollback")]
struct Rollback {
    /// the version to go back to
    #[argh(positional)]
    to: Version,
    /// wait this long until it is in force everywhere
    #[argh(option)]
    wait: Option<Span>,
}

/// Begin a new epoch with the state in force, after the log lost its end.
#[derive(FromArgs)]
#[argh(subcommand, name = "recover")]
struct Recover {}

/// Show the requests that a node on the users' platform holds back; --daemon is its peers
/// address.
#[derive(FromArgs)]
#[argh(subcommand, name = "held")]
struct HeldJob {}

/// Show how roll-outs stand, as a node on the users' platform sees them: the stage, the
/// evidence, what is waited for. --daemon is its peers address.
#[derive(FromArgs)]
#[argh(subcommand, name = "rollout")]
struct RolloutJob {}

/// Let a request go that is held back, at every node.
#[derive(FromArgs)]
#[argh(subcommand, name = "let-go")]
struct LetGoJob {
    /// its content, as `held` shows it
    #[argh(positional)]
    content: Fingerprint,
}

/// Runs the tool and returns its exit code.
pub fn run(args: Args) -> ExitCode {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build();
    let Ok(runtime) = runtime else {
        return ExitCode::FAILURE;
    };
    let code = runtime.block_on(work(args)).unwrap_or_else(|failure| {
        eprintln!("rilltrack: {}", failure.what);
        failure.code
    });
    ExitCode::from(code as u8)
}

/// Why a job ended early.
struct Failure {
    code: Code,
    what: String,
}

impl Failure {
    fn new(code: Code, what: impl Into<String>) -> Self {
        Self {
            code,
            what: what.into(),
        }
    }
}

type Done = Result<Code, Failure>;

async fn work(args: Args) -> Done {
    let json = args.json;
    let security = security(args.certificate, args.key, args.authority)?;
    if let Job::Check(check) = &args.job {
        return check_files(check, json);
    }
    if let Job::Trace(job) = &args.job {
        return trace::run(&job.id, &job.logs, json);
    }
    let desk = Desk::new(args.daemon, &security, json)?;
    match args.job {
        Job::Check(_) | Job::Trace(_) => Ok(Code::Accepted),
        Job::Diff(job) => diff(&desk, &job).await,
        Job::Publish(job) => publish(&desk, job).await,
        Job::Label(job) => label(&desk, job).await,
        Job::Status(_) => show::status(&desk.status().await?, json),
        Job::Wait(job) => wait(&desk, job.version, job.within).await,
        Job::Explain(job) => explain(&desk, job).await,
        Job::Drain(job) => {
            let left: Vec<crate::state::member::Target> = desk
                .post(
                    "drain",
                    &Drain {
                        service: job.service,
                    },
                )
                .await?;
            show::targets(&left, json)
        }
        Job::Rollout(_) => show::rollouts(&desk.get::<Vec<_>>("rollouts").await?, json),
        Job::Held(_) => show::held(&desk.get::<Vec<_>>("held").await?, json),
        Job::LetGo(job) => {
            let was_held: bool = desk.post("let-go", &job.content).await?;
            show::let_go(&job.content, was_held)
        }
        Job::History(_) => show::history(&desk.get("history").await?, json),
        Job::Rollback(job) => rollback(&desk, job).await,
        Job::Recover(_) => {
            let version: Version = desk
                .post(&format!("recover?author={}", author()), &())
                .await?;
            println!("a new epoch begins at {version}");
            Ok(Code::Accepted)
        }
    }
}

/// Returns how to reach the daemons: all three files make TLS, none plaintext.
fn security(
    certificate: Option<PathBuf>,
    key: Option<PathBuf>,
    authority: Option<PathBuf>,
) -> Result<Security, Failure> {
    match (certificate, key, authority) {
        (None, None, None) => Ok(Security::Plaintext),
        (Some(certificate), Some(key), Some(authority)) => Ok(Security::Tls(Tls {
            certificate,
            key,
            authority,
        })),
        _ => Err(Failure::new(
            Code::Usage,
            "--certificate, --key and --authority belong together",
        )),
    }
}

/// Reads files by `way`: as the whole configuration or as a part of it.
fn read(
    paths: &[PathBuf],
    way: fn(&[PathBuf]) -> Result<Files, Vec<Fault>>,
) -> Result<Files, Failure> {
    if paths.is_empty() {
        return Err(Failure::new(Code::Usage, "no files given"));
    }
    way(paths).map_err(|faults| {
        let lines: Vec<String> = faults.iter().map(ToString::to_string).collect();
        Failure::new(Code::Rejected, lines.join("\n"))
    })
}

fn check_files(job: &Check, json: bool) -> Done {
    let files = read(&job.files, Files::read)?;
    let warnings = files.warnings();
    warnings
        .iter()
        .for_each(|warning| eprintln!("warning: {warning}"));
    let count = files.resources().count();
    if json {
        println!(
            "{}",
            serde_json::json!({"resources": count, "warnings": warnings.len()})
        );
    } else {
        println!("{count} resources, no faults, {} warnings", warnings.len());
    }
    Ok(Code::Accepted)
}

async fn diff(desk: &Desk, job: &Diff) -> Done {
    let files = read(&job.files, Files::read_part)?;
    let held: Resources = desk.get("resources").await?;
    let difference = Difference::between(&files, held.held.iter().map(|held| &held.resource));
    show::difference(&difference, held.anchor.version, desk.json)
}

async fn publish(desk: &Desk, job: Publish) -> Done {
    let files = read(&job.files, Files::read_part)?;
    let held: Resources = desk.get("resources").await?;
    let difference = Difference::between(&files, held.held.iter().map(|held| &held.resource));
    let changed = |key: &Key| difference.added.contains(key) || difference.changed.contains(key);
    let mut ops: Vec<Op> = files
        .ops()
        .into_iter()
        .filter(|op| changed(&op.key()))
        .collect();
    if job.prune {
        ops.extend(difference.removed.iter().cloned().map(Op::Delete));
    }
    if ops.is_empty() && job.id.is_none() {
        println!("nothing differs from {}", held.anchor.version);
        return Ok(Code::Accepted);
    }
    let id = job.id.unwrap_or_else(new_id);
    let change = operator::new_change(id, held.anchor, job.expect, &author(), &job.note, ops);
    settle(desk, &change, Some(&files), job.wait).await
}

async fn label(desk: &Desk, job: Label) -> Done {
    let (remove, set): (Vec<String>, Vec<String>) =
        job.labels.into_iter().partition(|text| text.ends_with('-'));
    let set = operator::parse_labels(&set).map_err(|text| {
        Failure::new(
            Code::Usage,
            format!("`{text}` is neither key=value nor key-"),
        )
    })?;
    let remove = remove
        .iter()
        .map(|text| text.trim_end_matches('-').to_owned())
        .collect();
    let held: Resources = desk.get("resources").await?;
    let ops = vec![Op::Label {
        key: job.key,
        set,
        remove,
    }];
    let change = operator::new_change(new_id(), held.anchor, job.expect, &author(), "", ops);
    settle(desk, &change, None, job.wait).await
}

async fn rollback(desk: &Desk, job: Rollback) -> Done {
    let old: Resources = desk.get(&format!("resources?at={}", job.to)).await?;
    let held: Resources = desk.get("resources").await?;
    let ops = ops_between(&held, &old);
    let note = format!("back to {}", job.to);
    let expect = Some(held.anchor.version);
    let change = operator::new_change(new_id(), held.anchor, expect, &author(), &note, ops);
    settle(desk, &change, None, job.wait).await
}

/// Returns the operations that lead from one state to another.
fn ops_between(from: &Resources, to: &Resources) -> Vec<Op> {
    let find = |of: &Resources, key: &Key| -> Option<Resource> {
        of.held
            .iter()
            .map(|held| &held.resource)
            .find(|r| r.key() == *key)
            .cloned()
    };
    let wanted = to.held.iter().map(|held| held.resource.clone());
    let mut ops: Vec<Op> = wanted
        .filter(|r| find(from, &r.key()).as_ref() != Some(r))
        .map(Op::Put)
        .collect();
    let gone = from
        .held
        .iter()
        .map(|held| held.resource.key())
        .filter(|key| find(to, key).is_none());
    ops.extend(gone.map(Op::Delete));
    ops
}

/// Sends a change, says what became of it and waits if asked to.
async fn settle(
    desk: &Desk,
    change: &crate::state::change::Change,
    files: Option<&Files>,
    patience: Option<Span>,
) -> Done {
    let published = desk.publish(change).await?;
    show::published(&published, &change.id, files, desk.json);
    let code = code_of(&published);
    match (&published, patience) {
        (Published::Decided(outcome), Some(patience)) if code == Code::Accepted => {
            wait(desk, outcome.version, patience).await
        }
        _ => Ok(code),
    }
}

fn code_of(published: &Published) -> Code {
    let of_verdict = |verdict: &Verdict| match verdict {
        Verdict::Accepted | Verdict::Repeated(_) => Code::Accepted,
        Verdict::Conflict(_) => Code::Conflict,
        Verdict::Invalid(_) | Verdict::Foreign | Verdict::Unreadable => Code::Rejected,
    };
    match published {
        Published::Decided(outcome) => of_verdict(&outcome.verdict),
        Published::Refused(verdict) => of_verdict(verdict),
        Published::NotAccepted(_) => Code::Unreachable,
        Published::Unknown(_) => Code::Unknown,
    }
}

/// The first and the longest pause between two looks at the mesh.
const FIRST_LOOK: Duration = Duration::from_millis(100);
const LAST_LOOK: Duration = Duration::from_secs(3);

/// Waits until `version` is in force everywhere, with a progress line.
async fn wait(desk: &Desk, version: Version, patience: Span) -> Done {
    let bar = show::progress(desk.json);
    let since = std::time::Instant::now();
    let mut pause = FIRST_LOOK;
    loop {
        let found: Convergence = desk.get(&format!("census?version={version}")).await?;
        let census = &found.census;
        let total = census.current + census.behind + census.silent;
        bar.set_length(u64::from(total));
        bar.set_position(u64::from(census.current));
        if census.is_complete() {
            bar.finish_and_clear();
            show::in_force(&found, desk.json);
            return Ok(Code::Accepted);
        }
        if since.elapsed() >= patience.duration() {
            bar.finish_and_clear();
            show::lagging(&found, desk.json);
            return Ok(Code::Lagging);
        }
        // Each look asks every node of the mesh.
        tokio::time::sleep(pause).await;
        pause = (pause * 2).min(LAST_LOOK);
    }
}

async fn explain(desk: &Desk, job: Explain) -> Done {
    let question = Question {
        host: job.host,
        path: job.path,
        method: job.method,
    };
    show::explanation(&desk.post("explain", &question).await?, desk.json)
}

fn author() -> String {
    std::env::var("USER").unwrap_or_default()
}

fn new_id() -> id::Change {
    format!("{:032x}", fastrand::u128(..))
        .parse()
        .expect("digits are a valid id")
}
