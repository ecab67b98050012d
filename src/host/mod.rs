//! One host process: its threads, put together.
//!
//! A host process serves a platform that has a store of its own. Versions of
//! the routes and the members come from there, so nothing is voted on, kept or
//! snapshotted here; what is left are the target beside the process and the
//! requests.

pub mod metrics;
mod settings;

use std::{
    sync::{Arc, atomic::AtomicUsize},
    thread,
    time::{Duration, Instant},
};

use tokio::sync::watch;

pub use self::settings::{Advertise, Exposure, Listen, Resend, Settings};
use crate::{
    coordination::{
        host,
        link::{Ask, Store, Stream, Words},
        presence::{self, Written},
        probe, review, rollout, source, watch as reader,
    },
    event::{Event, Journal},
    journal::note,
    transport::{
        self,
        relay::{
            control,
            egress::Egress,
            ingress::Ingress,
            serve::{self, Handler, Phase, Server, Whose},
        },
    },
};

/// How long a process that leaves still takes whoever comes: the platform asks
/// once a second whether it is ready, and two misses end new work.
const LEAVE: Duration = Duration::from_millis(2500);

/// The last part of that, in which other nodes are turned away: several times what it
/// takes until each that sends here has heard so. Turned away from the start, a
/// target is missed for as long as its node leaves, though it could serve.
const TURN_AWAY: Duration = Duration::from_millis(500);

/// What is left of the grace for the end of the process itself.
const LAST: Duration = Duration::from_millis(400);

/// How often connections that were unused for long are closed.
const TIDY: Duration = Duration::from_secs(2);

/// Descriptors that are not connections of callers or nodes: listeners, files,
/// and our own connections to nodes, the target and the store.
const OWN_DESCRIPTORS: usize = 200;

/// An error that keeps a process from starting.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// It can't listen.
    #[error(transparent)]
    Transport(#[from] transport::Error),
    /// The system gives no thread or runtime.
    #[error("cannot start a thread")]
    Thread(#[from] std::io::Error),
}

/// A running host process.
pub struct Process {
    /// What its duties share.
    pub host: Arc<host::Host>,
    phase: watch::Sender<Phase>,
    requests: thread::JoinHandle<()>,
    control: thread::JoinHandle<()>,
}

type Listeners = Vec<(std::net::TcpListener, Server)>;

impl Process {
    /// Starts a process that follows `store`. It is ready once it knows the
    /// members and has a version of the routes in force.
    ///
    /// # Errors
    ///
    /// If an address is taken or the system gives no threads.
    pub fn start(settings: Settings, store: Store, words: Words) -> Result<Self, Error> {
        let journal = Journal::start_json(settings.node.as_str(), Box::new(std::io::stdout()));
        let host = Arc::new(host::Host::new(settings, words, journal));
        let (phase, phase_seen) = watch::channel(Phase::Serving);
        let (written, written_seen) = watch::channel(Written::default());
        let ingress = Ingress::new(host.clone());
        let egress = Egress::new(host.clone(), ingress.clone());
        let ask = control::ask();
        let listen = &host.settings.listen;
        let requests = [
            (listen.callers, Whose::Callers, egress.handler()),
            (listen.inbound, Whose::Others, ingress.handler()),
        ];
        let control = [
            (
                listen.peers,
                Whose::Others,
                control::peers(host.clone(), ask.clone()),
            ),
            (
                listen.targets,
                Whose::Others,
                control::targets(host.clone(), written_seen),
            ),
            (
                listen.ready,
                Whose::Others,
                control::ready(host.clone(), phase_seen.clone()),
            ),
            (
                listen.metrics,
                Whose::Others,
                control::metrics(host.clone()),
            ),
        ];
        let server = servers(&host, &phase_seen);
        let requests = bind(requests, &server)?;
        let control = bind(control, &server)?;
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
            requests: duty("requests", serve_requests(requests, egress, ingress))?,
            control: duty(
                "control",
                control_all(host.clone(), store, ask, written, control),
            )?,
            host,
        })
    }

    /// Takes over what of other settings can change while the process runs.
    pub fn reload(&self, settings: &Settings) {
        self.host.reload(settings);
    }

    /// Notes that settings could not be read again; the former stay.
    pub fn refuse_reload(&self, faults: &str) {
        note!(self.host.journal, Event::Reloaded, refused = faults);
    }

    /// Ends the process: it says that it is not ready, still serves who comes,
    /// then ends what is in flight, all within the grace.
    pub fn stop(self) {
        note!(
            self.host.journal,
            Event::Stopping,
            grace = self.host.settings.grace
        );
        self.phase.send_replace(Phase::Leaving);
        let until = Instant::now() + self.host.grace().saturating_sub(LAST);
        thread::sleep(LEAVE - TURN_AWAY);
        self.host.leave();
        thread::sleep(TURN_AWAY);
        self.phase.send_replace(Phase::Closing);
        let ended = wait_until(until, || self.requests.is_finished());
        note!(self.host.journal, Event::Stopped, all_ended = ended);
        self.host.journal.stop();
        // The duties hold nothing that lasts; they end with the process.
        drop(self.control);
    }
}

/// Waits until `is_done`, or until a moment; returns whether it was.
///
/// By the clock, not by counting steps: on a busy host each step takes longer, and a
/// process that counted them was killed at the end of its grace.
fn wait_until(moment: Instant, is_done: impl Fn() -> bool) -> bool {
    const STEP: Duration = Duration::from_millis(20);
    while !is_done() {
        let left = moment.saturating_duration_since(Instant::now());
        if left.is_zero() {
            return false;
        }
        thread::sleep(left.min(STEP));
    }
    true
}

/// Returns what makes a server of a handler.
fn servers(
    host: &Arc<host::Host>,
    phase: &watch::Receiver<Phase>,
) -> impl Fn(Whose, Handler) -> Server + use<> {
    let most = host.settings.descriptors.saturating_sub(OWN_DESCRIPTORS) / 2;
    let (host, phase) = (host.clone(), phase.clone());
    move |whose, handler| {
        let host = host.clone();
        Server {
            whose,
            handler,
            limits: Arc::new(move || host.limits()),
            phase: phase.clone(),
            most,
            open: Arc::new(AtomicUsize::new(0)),
        }
    }
}

fn bind<const N: usize>(
    addresses: [(std::net::SocketAddr, Whose, Handler); N],
    server: &impl Fn(Whose, Handler) -> Server,
) -> Result<Listeners, transport::Error> {
    let bound = addresses
        .into_iter()
        .map(|(address, whose, handler)| Ok((serve::bind(address)?, server(whose, handler))));
    bound.collect()
}

fn duty<F>(name: &str, work: F) -> Result<thread::JoinHandle<()>, Error>
where
    F: Future<Output = ()> + Send + 'static,
{
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()?;
    Ok(thread::Builder::new()
        .name(name.into())
        .spawn(move || runtime.block_on(work))?)
}

async fn serve_requests(listeners: Listeners, egress: Arc<Egress>, ingress: Arc<Ingress>) {
    tokio::spawn(async move {
        loop {
            tokio::time::sleep(TIDY).await;
            egress.tidy();
            egress.note_sent_again();
            ingress.tidy();
        }
    });
    serve_all(listeners).await;
}

/// The duty beside the requests: the store, the target, peers and checks.
async fn control_all(
    host: Arc<host::Host>,
    store: Store,
    ask: Ask,
    written: watch::Sender<Written>,
    listeners: Listeners,
) {
    for stream in [Stream::Routes, Stream::Members] {
        let follow = source::follow(host.clone(), store.clone(), ask.clone(), stream);
        tokio::spawn(follow);
    }
    tokio::spawn(source::follow_hints(host.clone(), ask.clone()));
    tokio::spawn(reader::keep(host.clone(), ask.clone()));
    tokio::spawn(review::keep(host.clone()));
    tokio::spawn(rollout::duty::keep(host.clone(), store.clone()));
    tokio::spawn(probe::keep(host.clone(), ask));
    tokio::spawn(presence::keep_written(host, store, written));
    serve_all(listeners).await;
}

async fn serve_all(listeners: Listeners) {
    let servers = listeners
        .into_iter()
        .map(|(listener, server)| server.run(listener));
    // A listener that can't be used on this thread leaves its address silent,
    // which the platform's checks find.
    drop(futures_util::future::join_all(servers).await);
}
