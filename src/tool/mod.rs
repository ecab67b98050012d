//! The operators' command-line tool.
//!
//! Each operation is a subcommand. [`Code`] lists the exit codes that scripts can rely on.

mod client;
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

use self::client::DaemonClient;

/// Exit codes of the tool.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Code {
    /// The command succeeded; a published change is accepted.
    Accepted = 0,
    /// The command line is invalid or incomplete, or a key, certificate or log file can't be
    /// read.
    Usage = 2,
    /// The configuration or the request is invalid; nothing changed.
    Rejected = 3,
    /// Another change to the same resource was accepted first; nothing changed.
    Conflict = 4,
    /// The outcome is unknown: the change may or may not be accepted. Publishing it again
    /// under the same id is safe. Also returned by `trace` if no line is about the request.
    Unknown = 5,
    /// No daemon could be reached, or the daemon could not reach the log; nothing changed.
    Unreachable = 6,
    /// The version is accepted but was not in force on all nodes within the given time.
    Lagging = 7,
}

/// Operate a mesh: publish configuration and show its state.
#[derive(FromArgs)]
pub struct Args {
    /// a daemon's address for operators; may be given several times
    #[argh(option)]
    daemon: Vec<SocketAddr>,
    /// your client certificate, a PEM file; required if the nodes use TLS
    #[argh(option)]
    certificate: Option<PathBuf>,
    /// the private key of the certificate, a PEM file
    #[argh(option)]
    key: Option<PathBuf>,
    /// the certificate of the authority that signs nodes' certificates, a PEM file
    #[argh(option)]
    authority: Option<PathBuf>,
    /// print the result as JSON
    #[argh(switch)]
    json: bool,
    #[argh(subcommand)]
    command: Command,
}

#[derive(FromArgs)]
#[argh(subcommand)]
enum Command {
    Check(CheckArgs),
    Diff(DiffArgs),
    Publish(PublishArgs),
    Label(LabelArgs),
    Status(StatusArgs),
    Wait(WaitArgs),
    Explain(ExplainArgs),
    Drain(DrainArgs),
    History(HistoryArgs),
    Rollback(RollbackArgs),
    Recover(RecoverArgs),
    Rollout(RolloutArgs),
    Drained(DrainedArgs),
    Held(HeldArgs),
    LetGo(LetGoArgs),
    Room(RoomArgs),
    Trace(TraceArgs),
}

/// Check configuration files. No daemon is needed.
#[derive(FromArgs)]
#[argh(subcommand, name = "check")]
struct CheckArgs {
    /// the files
    #[argh(positional)]
    files: Vec<PathBuf>,
}

/// Show the log lines of several nodes about one request. No daemon is needed.
#[derive(FromArgs)]
#[argh(subcommand, name = "trace")]
struct TraceArgs {
    /// the id of the request
    #[argh(positional)]
    id: String,
    /// the log files
    #[argh(positional)]
    logs: Vec<PathBuf>,
}

/// Show the differences between files and the configuration in force.
#[derive(FromArgs)]
#[argh(subcommand, name = "diff")]
struct DiffArgs {
    /// the files
    #[argh(positional)]
    files: Vec<PathBuf>,
}

/// Publish configuration files.
#[derive(FromArgs)]
#[argh(subcommand, name = "publish")]
struct PublishArgs {
    /// the files
    #[argh(positional)]
    files: Vec<PathBuf>,
    /// delete the resources that are in force but not in the files
    #[argh(switch)]
    prune: bool,
    /// fail with a conflict if one of the resources was changed after this version
    #[argh(option)]
    expect: Option<Version>,
    /// the id of an earlier change whose outcome is unknown, to publish it again
    #[argh(option)]
    id: Option<id::Change>,
    /// the reason for the change, shown in the history
    #[argh(option, default = "String::new()")]
    note: String,
    /// wait at most this long until the change is in force on all nodes
    #[argh(option)]
    wait: Option<Span>,
}

/// Set (key=value) or remove (key-) labels of a service or failure domain.
#[derive(FromArgs)]
#[argh(subcommand, name = "label")]
struct LabelArgs {
    /// the resource, as kind/name
    #[argh(positional)]
    key: Key,
    /// the labels, each as key=value or key-
    #[argh(positional)]
    labels: Vec<String>,
    /// fail with a conflict if the resource was changed after this version
    #[argh(option)]
    expect: Option<Version>,
    /// wait at most this long until the change is in force on all nodes
    #[argh(option)]
    wait: Option<Span>,
}

/// Show the state of the mesh as one daemon knows it.
#[derive(FromArgs)]
#[argh(subcommand, name = "status")]
struct StatusArgs {}

/// Wait until a version is in force on all nodes.
#[derive(FromArgs)]
#[argh(subcommand, name = "wait")]
struct WaitArgs {
    /// the version
    #[argh(positional)]
    version: Version,
    /// the maximum wait
    #[argh(option, default = "Span::from_secs(17)")]
    within: Span,
}

/// Show which targets a request could be routed to, and the reason for each target.
#[derive(FromArgs)]
#[argh(subcommand, name = "explain")]
struct ExplainArgs {
    /// the path of the request
    #[argh(positional)]
    path: String,
    /// the method of the request
    #[argh(option, default = "String::from(\"GET\")")]
    method: String,
    /// the Host header of the request
    #[argh(option)]
    host: Option<String>,
}

/// Drain the targets on the daemon's host.
#[derive(FromArgs)]
#[argh(subcommand, name = "drain")]
struct DrainArgs {
    /// drain only the target of this service
    #[argh(option)]
    service: Option<id::Name>,
}

/// Show the latest changes and their outcomes.
#[derive(FromArgs)]
#[argh(subcommand, name = "history")]
struct HistoryArgs {}

/// Publish the configuration of an earlier version as a new version.
#[derive(FromArgs)]
#[argh(subcommand, name = "rollback")]
struct RollbackArgs {
    /// the version to restore
    #[argh(positional)]
    to: Version,
    /// wait at most this long until the change is in force on all nodes
    #[argh(option)]
    wait: Option<Span>,
}

/// Begin a new epoch from the state in force, after the log lost its latest records.
#[derive(FromArgs)]
#[argh(subcommand, name = "recover")]
struct RecoverArgs {}

/// Show the requests that a node on the users' platform has quarantined; --daemon is the
/// node's address for peers.
#[derive(FromArgs)]
#[argh(subcommand, name = "held")]
struct HeldArgs {}

/// Show the roll-outs that a node on the users' platform knows: their stage, the evidence
/// and the condition they wait for. --daemon is the node's address for peers.
#[derive(FromArgs)]
#[argh(subcommand, name = "rollout")]
struct RolloutArgs {}

/// Show which failure domains are drained, as a node on the users' platform knows it; --daemon
/// is the node's address for peers.
#[derive(FromArgs)]
#[argh(subcommand, name = "drained")]
struct DrainedArgs {}

/// Show the loads of targets that a node on the users' platform knows from reports; --daemon is
/// the node's address for peers.
#[derive(FromArgs)]
#[argh(subcommand, name = "room")]
struct RoomArgs {}

/// Release a quarantined request on all nodes.
#[derive(FromArgs)]
#[argh(subcommand, name = "let-go")]
struct LetGoArgs {
    /// the fingerprint of the request, as `held` prints it
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
    let code = runtime
        .block_on(run_command(args))
        .unwrap_or_else(|failure| {
            eprintln!("rilltrack: {}", failure.message);
            failure.code
        });
    ExitCode::from(code as u8)
}

/// A failed command: its exit code and the error message.
struct Failure {
    code: Code,
    message: String,
}

impl Failure {
    fn new(code: Code, message: impl Into<String>) -> Self {
        Self {
            code,
            message: message.into(),
        }
    }
}

type CommandResult = Result<Code, Failure>;

async fn run_command(args: Args) -> CommandResult {
    let json = args.json;
    let security = security(args.certificate, args.key, args.authority)?;
    if let Command::Check(check) = &args.command {
        return check_files(check, json);
    }
    if let Command::Trace(trace) = &args.command {
        return trace::run(&trace.id, &trace.logs, json);
    }
    let client = DaemonClient::new(args.daemon, &security, json)?;
    match args.command {
        Command::Check(_) | Command::Trace(_) => Ok(Code::Accepted),
        Command::Diff(args) => diff(&client, &args).await,
        Command::Publish(args) => publish(&client, args).await,
        Command::Label(args) => label(&client, args).await,
        Command::Status(_) => show::status(&client.status().await?, json),
        Command::Wait(args) => wait(&client, args.version, args.within).await,
        Command::Explain(args) => explain(&client, args).await,
        Command::Drain(args) => {
            let targets: Vec<crate::state::member::Target> = client
                .post(
                    "drain",
                    &Drain {
                        service: args.service,
                    },
                )
                .await?;
            show::targets(&targets, json)
        }
        Command::Rollout(_) => show::rollouts(&client.get::<Vec<_>>("rollouts").await?, json),
        Command::Drained(_) => show::drains(&client.get::<Vec<_>>("drains").await?, json),
        Command::Held(_) => show::quarantined(&client.get::<Vec<_>>("held").await?, json),
        Command::Room(_) => show::room(&client.get::<Vec<_>>("room").await?, json),
        Command::LetGo(args) => {
            let was_quarantined: bool = client.post("let-go", &args.content).await?;
            show::released(&args.content, was_quarantined)
        }
        Command::History(_) => show::history(&client.get("history").await?, json),
        Command::Rollback(args) => rollback(&client, args).await,
        Command::Recover(_) => {
            let version: Version = client
                .post(&format!("recover?author={}", author()), &())
                .await?;
            println!("a new epoch begins at {version}");
            Ok(Code::Accepted)
        }
    }
}

/// Returns the security of connections to daemons: TLS if all three files are given,
/// plaintext if none is.
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
            "--certificate, --key and --authority must be given together",
        )),
    }
}

/// Reads files by `reader`: either as the whole configuration or as a part of it.
fn read(
    paths: &[PathBuf],
    reader: fn(&[PathBuf]) -> Result<Files, Vec<Fault>>,
) -> Result<Files, Failure> {
    if paths.is_empty() {
        return Err(Failure::new(Code::Usage, "no files given"));
    }
    reader(paths).map_err(|faults| {
        let lines: Vec<String> = faults.iter().map(ToString::to_string).collect();
        Failure::new(Code::Rejected, lines.join("\n"))
    })
}

fn check_files(args: &CheckArgs, json: bool) -> CommandResult {
    let files = read(&args.files, Files::read)?;
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

async fn diff(client: &DaemonClient, args: &DiffArgs) -> CommandResult {
    let files = read(&args.files, Files::read_partial)?;
    let current: Resources = client.get("resources").await?;
    let difference = Difference::between(&files, current.held.iter().map(|held| &held.resource));
    show::difference(&difference, current.anchor.version, client.json)
}

async fn publish(client: &DaemonClient, args: PublishArgs) -> CommandResult {
    let files = read(&args.files, Files::read_partial)?;
    let current: Resources = client.get("resources").await?;
    let difference = Difference::between(&files, current.held.iter().map(|held| &held.resource));
    let changed = |key: &Key| difference.added.contains(key) || difference.changed.contains(key);
    let mut ops: Vec<Op> = files
        .ops()
        .into_iter()
        .filter(|op| changed(&op.key()))
        .collect();
    if args.prune {
        ops.extend(difference.removed.iter().cloned().map(Op::Delete));
    }
    if ops.is_empty() && args.id.is_none() {
        println!("nothing differs from {}", current.anchor.version);
        return Ok(Code::Accepted);
    }
    let id = args.id.unwrap_or_else(random_change_id);
    let change = operator::new_change(id, current.anchor, args.expect, &author(), &args.note, ops);
    publish_change(client, &change, Some(&files), args.wait).await
}

async fn label(client: &DaemonClient, args: LabelArgs) -> CommandResult {
    let (remove, set): (Vec<String>, Vec<String>) = args
        .labels
        .into_iter()
        .partition(|text| text.ends_with('-'));
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
    let current: Resources = client.get("resources").await?;
    let ops = vec![Op::Label {
        key: args.key,
        set,
        remove,
    }];
    let change = operator::new_change(
        random_change_id(),
        current.anchor,
        args.expect,
        &author(),
        "",
        ops,
    );
    publish_change(client, &change, None, args.wait).await
}

async fn rollback(client: &DaemonClient, args: RollbackArgs) -> CommandResult {
    let old: Resources = client.get(&format!("resources?at={}", args.to)).await?;
    let current: Resources = client.get("resources").await?;
    let ops = ops_between(&current, &old);
    let note = format!("back to {}", args.to);
    let expect = Some(current.anchor.version);
    let change = operator::new_change(
        random_change_id(),
        current.anchor,
        expect,
        &author(),
        &note,
        ops,
    );
    publish_change(client, &change, None, args.wait).await
}

/// Returns the operations that change the resources `from` into the resources `to`.
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
    let deleted = from
        .held
        .iter()
        .map(|held| held.resource.key())
        .filter(|key| find(to, key).is_none());
    ops.extend(deleted.map(Op::Delete));
    ops
}

/// Publishes a change and prints its outcome. If it is accepted and `max_wait` is given,
/// waits until it is in force on all nodes.
async fn publish_change(
    client: &DaemonClient,
    change: &crate::state::change::Change,
    files: Option<&Files>,
    max_wait: Option<Span>,
) -> CommandResult {
    let published = client.publish(change).await?;
    show::published(&published, &change.id, files, client.json);
    let code = exit_code(&published);
    match (&published, max_wait) {
        (Published::Decided(outcome), Some(max_wait)) if code == Code::Accepted => {
            wait(client, outcome.version, max_wait).await
        }
        _ => Ok(code),
    }
}

/// Returns the exit code for the outcome of publishing a change.
fn exit_code(published: &Published) -> Code {
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

/// Pause after the first poll of [`wait`]. It doubles after each poll.
const FIRST_PAUSE: Duration = Duration::from_millis(100);

/// Longest pause between two polls of [`wait`].
const MAX_PAUSE: Duration = Duration::from_secs(3);

/// Waits until `version` is in force on all nodes, and shows a progress bar.
async fn wait(client: &DaemonClient, version: Version, max_wait: Span) -> CommandResult {
    let bar = show::progress(client.json);
    let started = std::time::Instant::now();
    let mut pause = FIRST_PAUSE;
    loop {
        let convergence: Convergence = client.get(&format!("census?version={version}")).await?;
        let census = &convergence.census;
        let total = census.current + census.behind + census.silent;
        bar.set_length(u64::from(total));
        bar.set_position(u64::from(census.current));
        if census.is_complete() {
            bar.finish_and_clear();
            show::in_force(&convergence, client.json);
            return Ok(Code::Accepted);
        }
        if started.elapsed() >= max_wait.duration() {
            bar.finish_and_clear();
            show::lagging(&convergence, client.json);
            return Ok(Code::Lagging);
        }
        // Each poll sends a request to every node of the mesh, so polls become rarer.
        tokio::time::sleep(pause).await;
        pause = (pause * 2).min(MAX_PAUSE);
    }
}

async fn explain(client: &DaemonClient, args: ExplainArgs) -> CommandResult {
    let question = Question {
        host: args.host,
        path: args.path,
        method: args.method,
    };
    show::explanation(&client.post("explain", &question).await?, client.json)
}

/// Returns the user name that is recorded as the author of a change.
fn author() -> String {
    std::env::var("USER").unwrap_or_default()
}

fn random_change_id() -> id::Change {
    format!("{:032x}", fastrand::u128(..))
        .parse()
        .expect("32 hexadecimal digits are a valid change id")
}
