//! A host process: its start, its threads and its stop.
//!
//! A host process serves a platform that has its own store. Versions of the routes and
//! the members come from that store, so the process needs no quorum, storage or
//! snapshots. It manages the target on its host and routes requests.

mod allocator;
pub mod metrics;
mod settings;

use std::{
    sync::Arc,
    thread,
    time::{Duration, Instant},
};

use tokio::sync::watch;

pub use self::settings::{Advertise, Exposure, Listen, RetryLimit, Settings};
use crate::{
    coordination::{
        host,
        interface::{CallPeer, Decoders, Store, Stream},
        load_report,
        memory::{Change, Memory},
        presence::{self, Recorded},
        probe,
        quarantine::review,
        rate_limit, rollout, source, sync, watch as reader,
    },
    event::{Event, Journal},
    journal::note,
    state::member::Member,
    transport::{
        self,
        relay::{
            control,
            egress::Egress,
            health,
            ingress::Ingress,
            serve::{self, ClientKind, Handler, Phase, Server},
        },
    },
    unit::Size,
};

/// The time for which a stopping process still accepts requests. The platform checks
/// readiness once a second and sends no new requests after two failed checks.
const DRAIN_PERIOD: Duration = Duration::from_millis(2500);

/// The last part of [`DRAIN_PERIOD`], in which requests of other nodes are rejected:
/// several times as long as it takes until every sender knows that the node is leaving. If
/// they were rejected from the start, the target would be unused for the whole period although
/// it could serve.
const REJECT_PERIOD: Duration = Duration::from_millis(500);

/// The part of the grace period reserved for the exit of the process itself.
const EXIT_RESERVE: Duration = Duration::from_millis(400);

/// The interval at which connections that were idle for long are closed.
const PRUNE_INTERVAL: Duration = Duration::from_secs(2);

/// File descriptors reserved for uses other than connections of callers and nodes:
/// listeners, files and connections opened to nodes, the target and the store.
const RESERVED_DESCRIPTORS: usize = 200;

/// An error on the start of a process.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// An address can't be listened on.
    #[error(transparent)]
    Transport(#[from] transport::Error),
    /// A thread or its runtime can't be created.
    #[error("cannot start a thread")]
    Thread(#[from] std::io::Error),
}

/// A running host process.
pub struct Process {
    /// The state shared by the threads of the process.
    pub host: Arc<host::Host>,
    phase: watch::Sender<Phase>,
    request_thread: thread::JoinHandle<()>,
    control_thread: thread::JoinHandle<()>,
}

type Listeners = Vec<(std::net::TcpListener, Server)>;

impl Process {
    /// Starts a process that reads `store`. It is ready once it knows the members and has a
    /// version of the routes in force.
    ///
    /// # Errors
    ///
    /// If an address can't be listened on, or a thread can't be created.
    pub fn start(settings: Settings, store: Store, decoders: Decoders) -> Result<Self, Error> {
        let journal = Journal::start_json(settings.node.as_str(), Box::new(std::io::stdout()));
        let host = Arc::new(host::Host::new(settings, decoders, journal));
        let (phase, phase_receiver) = watch::channel(Phase::Serving);
        let (recorded, recorded_receiver) = watch::channel(Recorded::default());
        let bodies = memory(&host, "bodies", Memory::body_limit(host.settings.memory));
        let limit = Memory::message_limit(host.settings.memory);
        let messages = memory(&host, "messages", limit);
        let ingress = Ingress::new(host.clone(), bodies.clone());
        let egress = Egress::new(host.clone(), ingress.clone(), bodies.clone());
        let call_peer = control::call_peer(messages.clone());
        let intake = load_intake(&host);
        let listen = &host.settings.listen;
        let request_servers = [
            (listen.callers, ClientKind::Callers, egress.handler()),
            (listen.inbound, ClientKind::Internal, ingress.handler()),
        ];
        let control_servers = [
            (
                listen.peers,
                ClientKind::Internal,
                control::peers(
                    host.clone(),
                    call_peer.clone(),
                    intake.clone(),
                    messages.clone(),
                ),
            ),
            (
                listen.targets,
                ClientKind::Internal,
                control::targets(host.clone(), recorded_receiver, messages.clone()),
            ),
            (
                listen.ready,
                ClientKind::Internal,
                control::ready(host.clone(), phase_receiver.clone()),
            ),
            (
                listen.metrics,
                ClientKind::Internal,
                control::metrics(
                    host.clone(),
                    [("bodies", bodies.clone()), ("messages", messages.clone())],
                ),
            ),
        ];
        let new_server = server_factory(&host, &phase_receiver);
        let request_listeners = bind(request_servers, &new_server)?;
        let control_listeners = bind(control_servers, &new_server)?;
        let settings = &host.settings;
        note!(
            host.journal,
            Event::Started,
            domain = settings.domain,
            service = settings.service,
            listen = format_args!("{:?}", settings.listen)
        );
        Ok(Self {
            phase,
            request_thread: spawn_thread(
                "requests",
                serve_requests(
                    request_listeners,
                    egress,
                    ingress,
                    [bodies.clone(), messages.clone()],
                ),
            )?,
            control_thread: spawn_thread(
                "control",
                run_control(
                    host.clone(),
                    store,
                    call_peer,
                    intake,
                    recorded,
                    control_listeners,
                ),
            )?,
            host,
        })
    }

    /// Applies those of the given settings that can change while the process runs.
    pub fn reload(&self, settings: &Settings) {
        self.host.reload(settings);
    }

    /// Logs that new settings could not be read; the current ones stay in force.
    pub fn log_failed_reload(&self, faults: &str) {
        note!(self.host.journal, Event::Reloaded, refused = faults);
    }

    /// Stops the process within its grace period: it reports that it is not ready, still
    /// serves new requests for a time, then finishes those in flight.
    pub fn stop(self) {
        note!(
            self.host.journal,
            Event::Stopping,
            grace = self.host.settings.grace
        );
        self.phase.send_replace(Phase::Leaving);
        let deadline = Instant::now() + self.host.grace().saturating_sub(EXIT_RESERVE);
        thread::sleep(DRAIN_PERIOD - REJECT_PERIOD);
        self.host.leave();
        thread::sleep(REJECT_PERIOD);
        self.phase.send_replace(Phase::Closing);
        let has_ended = wait_until(deadline, || self.request_thread.is_finished());
        note!(self.host.journal, Event::Stopped, all_ended = has_ended);
        self.host.journal.stop();
        // The control thread holds no durable state, so it may end with the process.
        drop(self.control_thread);
    }
}

/// Waits until `is_done` or `deadline`; returns whether `is_done` came first.
///
/// Uses the clock instead of a count of steps: on a busy host each step takes longer, and
/// a process that counted them was killed at the end of its grace period.
fn wait_until(deadline: Instant, is_done: impl Fn() -> bool) -> bool {
    const STEP: Duration = Duration::from_millis(20);
    while !is_done() {
        let left = deadline.saturating_duration_since(Instant::now());
        if left.is_zero() {
            return false;
        }
        thread::sleep(left.min(STEP));
    }
    true
}

/// Returns memory of at most `limit` for messages of a kind, whose shortage is logged and counted.
fn memory(host: &Arc<host::Host>, kind: &'static str, limit: Size) -> Arc<Memory> {
    let host = host.clone();
    Memory::new(limit, move |change| {
        let count = |end, messages| {
            let labels = metrics::NoMemory { kind, end };
            let counter = host.metrics.no_memory.get_or_create(&labels);
            counter.inc_by(messages as u64);
        };
        match change {
            Change::Filled => note!(host.journal, Event::MemoryFull, kind = kind, limit = limit),
            Change::GivenUp(messages) => count("given-up", messages),
            Change::Refused => count("refused", 1),
            Change::Freed => note!(host.journal, Event::MemoryFree, kind = kind, limit = limit),
        }
    })
}

/// Returns a function that makes a server from a handler.
fn server_factory(
    host: &Arc<host::Host>,
    phase: &watch::Receiver<Phase>,
) -> impl Fn(ClientKind, Handler) -> Server + use<> {
    let max_connections = host
        .settings
        .descriptors
        .saturating_sub(RESERVED_DESCRIPTORS)
        / 2;
    let (host, phase) = (host.clone(), phase.clone());
    move |client, handler| {
        let (limited, refusing) = (host.clone(), host.clone());
        Server {
            client,
            handler,
            limits: Arc::new(move || limited.limits()),
            on_refused: Arc::new(move |status| {
                note!(
                    refusing.journal,
                    Event::BytesRefused,
                    status = status.as_u16(),
                    version = refusing.version()
                );
            }),
            phase: phase.clone(),
            max_connections,
            connections: Arc::default(),
        }
    }
}

fn bind<const N: usize>(
    addresses: [(std::net::SocketAddr, ClientKind, Handler); N],
    server: &impl Fn(ClientKind, Handler) -> Server,
) -> Result<Listeners, transport::Error> {
    let bound = addresses
        .into_iter()
        .map(|(address, client, handler)| Ok((serve::bind(address)?, server(client, handler))));
    bound.collect()
}

/// Starts a thread that runs `task` on a runtime of its own.
fn spawn_thread<F>(name: &str, task: F) -> Result<thread::JoinHandle<()>, Error>
where
    F: Future<Output = ()> + Send + 'static,
{
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()?;
    Ok(thread::Builder::new()
        .name(name.into())
        .spawn(move || runtime.block_on(task))?)
}

async fn serve_requests(
    listeners: Listeners,
    egress: Arc<Egress>,
    ingress: Arc<Ingress>,
    memories: [Arc<Memory>; 2],
) {
    tokio::spawn(health::run(ingress.host().clone()));
    tokio::spawn(async move {
        loop {
            tokio::time::sleep(PRUNE_INTERVAL).await;
            egress.prune();
            egress.log_retries();
            ingress.prune();
            // All of them are asked, as each notes its own peaks.
            let over = memories.iter().filter(|memory| memory.is_peak_over());
            if over.count() > 0 {
                allocator::trim();
            }
        }
    });
    serve_all(listeners).await;
}

/// Runs everything besides requests: the store's streams, the target's heartbeats, calls
/// of peers, readiness and metrics.
async fn run_control(
    host: Arc<host::Host>,
    store: Store,
    call_peer: CallPeer,
    intake: Arc<load_report::Intake>,
    recorded: watch::Sender<Recorded>,
    listeners: Listeners,
) {
    for stream in [Stream::Routes, Stream::Members] {
        let follower = source::follow(host.clone(), store.clone(), call_peer.clone(), stream);
        tokio::spawn(follower);
    }
    tokio::spawn(sync::follow_hints(host.clone(), call_peer.clone()));
    tokio::spawn(reader::run(host.clone(), call_peer.clone()));
    tokio::spawn(rate_limit::run(rate_limit_exchange(&host, &call_peer)));
    tokio::spawn(load_report::run(load_report_exchange(
        &host, &call_peer, intake,
    )));
    tokio::spawn(review::run(host.clone()));
    tokio::spawn(rollout::controller::run(host.clone(), store.clone()));
    tokio::spawn(probe::run(host.clone(), call_peer));
    tokio::spawn(presence::maintain_record(host, store, recorded));
    serve_all(listeners).await;
}

fn rate_limit_exchange(host: &Arc<host::Host>, call_peer: &CallPeer) -> rate_limit::Exchange {
    let (viewing, noting) = (host.clone(), host.clone());
    rate_limit::Exchange {
        node: host.settings.node.clone(),
        limits: host.rate_limits.clone(),
        view: Arc::new(move || reader::rate_limit_view(&viewing)),
        call_peer: call_peer.clone(),
        on_silent: Arc::new(move |node| reader::note_silent(&noting, node)),
        version_changed: host.version_changed.clone(),
    }
}

fn load_intake(host: &Arc<host::Host>) -> Arc<load_report::Intake> {
    let (listing, loading, noting) = (host.clone(), host.clone(), host.clone());
    Arc::new(load_report::Intake {
        reports: host.load_reports.clone(),
        members: Arc::new(move || listing.members.read().iter().cloned().collect()),
        on_loads: Arc::new(move |loads| {
            let members = loading.members.read();
            let mut balancer = loading.balancer.lock();
            let now = Instant::now();
            for taken in loads {
                // A report of an earlier process would reset what is known of the current one.
                let current = members.get(&taken.member.node);
                let is_same = |current: &&Arc<Member>| is_same_process(current, &taken.member);
                let Some(current) = current.filter(is_same) else {
                    continue;
                };
                balancer.record_load(current, taken.load, taken.at, now);
                if let Some(slowness) = taken.slowness {
                    balancer.record_slowness(current, slowness, taken.at, now);
                }
            }
        }),
        on_unusable: Arc::new(move |from, count, why| {
            noting.add_unusable("loads", count);
            note!(
                noting.journal,
                Event::ChangeRejected,
                what = "loads",
                from = from,
                count = count,
                why = why
            );
        }),
    })
}

/// Returns whether two records are of the same process of a node, with the same instance of its
/// target.
fn is_same_process(one: &Member, other: &Member) -> bool {
    let instance = |member: &Member| member.targets.first().map(|target| target.instance.clone());
    one.incarnation == other.incarnation && instance(one) == instance(other)
}

fn load_report_exchange(
    host: &Arc<host::Host>,
    call_peer: &CallPeer,
    intake: Arc<load_report::Intake>,
) -> load_report::Exchange {
    let (viewing, noting) = (host.clone(), host.clone());
    let (loading, stating) = (host.clone(), host.clone());
    load_report::Exchange {
        node: host.settings.node.clone(),
        domain: host.settings.domain.clone(),
        setting: host.settings.load_reports,
        intake,
        view: Arc::new(move || reader::load_report_view(&viewing)),
        own: Arc::new(move || {
            let members = loading.members.read();
            let member = members.get(&loading.settings.node)?.clone();
            Some((member, loading.gate.state()?))
        }),
        states_slowness: Arc::new(move || {
            let now = Instant::now();
            stating.gate.stated_slowness().is_some()
                || stating.balancer.lock().knows_any_slowness(now)
        }),
        call_peer: call_peer.clone(),
        on_silent: Arc::new(move |node| reader::note_silent(&noting, node)),
    }
}

async fn serve_all(listeners: Listeners) {
    let servers = listeners
        .into_iter()
        .map(|(listener, server)| server.run(listener));
    // If a listener can't be used on this thread, its address gives no answer, which the
    // platform's checks detect.
    drop(futures_util::future::join_all(servers).await);
}
