//! Starts and stops a daemon with its threads.

use std::{
    sync::Arc,
    thread,
    time::{Duration, SystemTime},
};

use futures_util::FutureExt;
use serde::Serialize;
use tokio::sync::watch;

use crate::{
    coordination::{
        apply,
        gossip::{self, Gossip},
        interface::{Call, Log},
        log_reader::{self, LogReader},
        node::Node,
        snapshot,
    },
    event::{Event, Journal},
    id::{Generation, Incarnation},
    settings::{Listen, Security, Settings},
    state::member::{Member, Status},
    transport::{
        self,
        inbound::{self, Inbound},
        operators::{self, Desk},
        outbound::{self, Outbound},
        peers,
        server::{self, Client, Listener, PEER_IDLE_TIMEOUT, Running},
        targets::{self, Targets},
    },
};

/// The number of members that a leaving node sends its record to at once.
const ANNOUNCE_TO: usize = 8;

/// The time for which a stopping daemon still refuses new requests, so that callers and
/// peers learn that it is leaving before its addresses are closed.
const REFUSAL_PERIOD: Duration = Duration::from_millis(500);

/// The reason why a daemon can't start.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// A server or client could not be set up.
    #[error(transparent)]
    Transport(#[from] transport::Error),
    /// The operating system refused a thread or runtime.
    #[error("cannot start a thread")]
    Thread(#[from] std::io::Error),
}

/// A running daemon.
pub struct Daemon {
    /// The state that the daemon's threads share.
    pub node: Arc<Node>,
    /// The addresses that it listens on, with the ports chosen by the operating system.
    pub listen: Listen,
    stop: watch::Sender<bool>,
    threads: Vec<thread::JoinHandle<()>>,
}

/// The line that the daemon prints when it starts.
#[derive(Serialize)]
struct Addresses<'a> {
    listen: &'a Listen,
}

/// The bound addresses of all servers.
struct Listeners {
    callers: Listener,
    inbound: Listener,
    peers: Listener,
    targets: Listener,
    operators: Listener,
}

impl Daemon {
    /// Starts a daemon. It accepts requests once it has a complete view.
    ///
    /// # Errors
    ///
    /// Returns an error if an address is in use, a certificate is invalid or the
    /// operating system refuses a thread.
    pub fn start(settings: Settings) -> Result<Self, Error> {
        let listeners = Listeners::bind(&settings.listen)?;
        let listen = listeners.addresses();
        let (applier, queue) = apply::channel();
        let journal = Journal::start(settings.node.as_str());
        let me = own_record(&settings, &listen);
        let node = Node::new(settings, me, journal, applier).shared();
        queue.run(node.clone());
        node.journal.write(
            Event::Started,
            format_args!("incarnation={} listen={listen:?}", node.incarnation()),
        );
        let call = peers::call(node.clone())?;
        let log = transport::log::link(&node.settings)?;
        let targets = Targets::new(node.clone(), call.clone());
        let desk = Arc::new(Desk {
            node: node.clone(),
            call: call.clone(),
            log: log.clone(),
            targets: targets.clone(),
        });
        let (stop, stopped) = watch::channel(false);
        let threads = vec![
            requests(
                &node,
                targets.clone(),
                listeners.callers,
                listeners.inbound,
                stopped.clone(),
            )?,
            control(
                &node,
                &call,
                desk,
                targets,
                [listeners.peers, listeners.targets, listeners.operators],
                stopped.clone(),
            )?,
            membership(&node, &call, stopped.clone())?,
            start_log_reader(&node, &call, &log, stopped.clone())?,
            snapshots(&node, &log, stopped)?,
        ];
        Ok(Self {
            node,
            listen,
            stop,
            threads,
        })
    }

    /// Returns the addresses as one line of JSON.
    pub fn addresses(&self) -> String {
        serde_json::to_string(&Addresses {
            listen: &self.listen,
        })
        .expect("plain data always encodes")
    }

    /// Stops the daemon: it refuses new requests, finishes the running ones, announces
    /// to its peers that it leaves, and ends its threads.
    pub fn stop(self) {
        self.node.journal.write(Event::Stopping, format_args!(""));
        self.node.announce_leaving();
        self.stop.send_replace(true);
        for thread in self.threads {
            // The result does not matter: a thread that panicked has ended, too.
            let _ = thread.join();
        }
        self.node.journal.write(Event::Stopped, format_args!(""));
        self.node.journal.stop();
    }
}

/// Returns the initial member record of this node.
fn own_record(settings: &Settings, listen: &Listen) -> Member {
    let since = SystemTime::UNIX_EPOCH.elapsed().unwrap_or_default();
    let (peers, inbound) = match &settings.advertise {
        Some(advertise) => (advertise.peers, advertise.inbound),
        None => (listen.peers, listen.inbound),
    };
    Member {
        node: settings.node.clone(),
        incarnation: Incarnation(since.as_nanos() as u64),
        sequence: 1,
        generation: Generation::default(),
        status: Status::Alive,
        domain: settings.domain.clone(),
        peers,
        inbound,
        labels: settings.labels.clone(),
        targets: Vec::new(),
        bandwidth: 0,
        evidence: Default::default(),
    }
}

impl Listeners {
    fn bind(listen: &Listen) -> Result<Self, transport::Error> {
        Ok(Self {
            callers: Listener::bind(listen.callers)?,
            inbound: Listener::bind(listen.inbound)?,
            peers: Listener::bind(listen.peers)?,
            targets: Listener::bind(listen.targets)?,
            operators: Listener::bind(listen.operators)?,
        })
    }

    fn addresses(&self) -> Listen {
        Listen {
            callers: self.callers.address,
            inbound: self.inbound.address,
            peers: self.peers.address,
            targets: self.targets.address,
            operators: self.operators.address,
        }
    }
}

type Thread = Result<thread::JoinHandle<()>, Error>;

/// Starts a thread that runs `work` on a runtime of its own.
fn start_thread<F>(name: &str, work: F) -> Thread
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

/// Waits until the daemon is being stopped.
async fn until_stopped(mut stopped: watch::Receiver<bool>) {
    // An error means that the sender was dropped with the daemon, so stop as well.
    let _ = stopped.wait_for(|stop| *stop).await;
}

/// Starts the threads of the outbound and inbound proxies.
fn requests(
    node: &Arc<Node>,
    targets: Arc<Targets>,
    callers: Listener,
    inbound_at: Listener,
    stopped: watch::Receiver<bool>,
) -> Thread {
    let outbound = Outbound::new(node.clone())?;
    let inbound = Inbound::new(node.clone(), targets)?;
    let drain = node.settings.requests.drain.duration();
    let leaving = node.clone();
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(node.settings.requests.threads)
        .thread_name("requests")
        .enable_all()
        .build()?;
    let work = async move {
        let to_callers = server::everything(outbound::OutboundHandler(outbound.clone()));
        let to_nodes = server::everything(inbound::InboundHandler(inbound.clone()));
        tokio::spawn(outbound.tidy());
        tokio::spawn(inbound.prune());
        let settings = &leaving.settings;
        let header_timeout = settings.requests.header_timeout;
        let callers = callers
            .serve(
                Client::Outside,
                to_callers,
                header_timeout,
                &Security::Plaintext,
            )
            .await;
        let nodes = inbound_at
            .serve(
                Client::Nodes,
                to_nodes,
                PEER_IDLE_TIMEOUT,
                &settings.security,
            )
            .await;
        let (Ok(callers), Ok(nodes)) = (callers, nodes) else {
            return;
        };
        until_stopped(stopped).await;
        leaving.limiters.close_all();
        tokio::time::sleep(REFUSAL_PERIOD).await;
        tokio::join!(callers.stop(drain), nodes.stop(drain));
    };
    Ok(thread::Builder::new()
        .name("requests".into())
        .spawn(move || runtime.block_on(work))?)
}

/// Starts the thread that serves peers, operators and targets' announcements.
fn control(
    node: &Arc<Node>,
    call: &Call,
    desk: Arc<Desk>,
    targets: Arc<Targets>,
    listeners: [Listener; 3],
    stopped: watch::Receiver<bool>,
) -> Thread {
    let (node, call) = (node.clone(), call.clone());
    start_thread("control", async move {
        let [peers_at, targets_at, operators_at] = listeners;
        let settings = &node.settings;
        let header_timeout = settings.requests.header_timeout;
        let servers: Result<Vec<Running>, _> = futures_util::future::try_join_all([
            peers_at
                .serve(
                    Client::Nodes,
                    peers::router(node.clone(), call.clone()),
                    PEER_IDLE_TIMEOUT,
                    &settings.security,
                )
                .boxed(),
            targets_at
                .serve(
                    Client::Outside,
                    targets::router(targets.clone()),
                    header_timeout,
                    &Security::Plaintext,
                )
                .boxed(),
            operators_at
                .serve(
                    Client::Outside,
                    operators::router(desk),
                    header_timeout,
                    &settings.security,
                )
                .boxed(),
        ])
        .await;
        let Ok(servers) = servers else { return };
        tokio::spawn(targets.expire());
        until_stopped(stopped).await;
        gossip::announce_now(&node, &call, ANNOUNCE_TO).await;
        tokio::time::sleep(REFUSAL_PERIOD).await;
        futures_util::future::join_all(
            servers
                .into_iter()
                .map(|server| server.stop(REFUSAL_PERIOD)),
        )
        .await;
    })
}

/// Starts the thread that maintains the membership and fetches a new node's first view.
fn membership(node: &Arc<Node>, call: &Call, stopped: watch::Receiver<bool>) -> Thread {
    let (node, call) = (node.clone(), call.clone());
    start_thread("membership", async move {
        tokio::spawn(log_reader::fetch_until_complete(node.clone(), call.clone()));
        tokio::select! {
            () = Gossip::new(node, call).run() => {}
            () = until_stopped(stopped) => {}
        }
    })
}

/// Starts the thread that reads the log on behalf of the failure domain.
fn start_log_reader(
    node: &Arc<Node>,
    call: &Call,
    log: &Log,
    stopped: watch::Receiver<bool>,
) -> Thread {
    let log_reader = LogReader::new(node.clone(), call.clone(), log.clone());
    start_thread("follow", async move {
        tokio::select! {
            () = log_reader.run() => {}
            () = until_stopped(stopped) => {}
        }
    })
}

/// Starts the thread that writes snapshots.
fn snapshots(node: &Arc<Node>, log: &Log, stopped: watch::Receiver<bool>) -> Thread {
    let (node, log) = (node.clone(), log.clone());
    start_thread("snapshots", async move {
        tokio::select! {
            () = snapshot::run_writer(node, log) => {}
            () = until_stopped(stopped) => {}
        }
    })
}
