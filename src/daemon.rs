//! One daemon: its threads, put together.

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
        follow::{self, Follow},
        gossip::{self, Gossip},
        interface::{Call, Log},
        node::Node,
        snapshot,
    },
    event::{Event, Journal},
    id::Incarnation,
    settings::{Listen, Security, Settings},
    state::member::{Member, Status},
    transport::{
        self,
        inbound::{self, Inbound},
        operators::{self, Desk},
        outbound::{self, Outbound},
        peers,
        server::{self, Listener, PEER_PATIENCE, Running},
        targets::{self, Targets},
    },
};

/// Members told at once when a node leaves.
const TOLD: usize = 8;

/// How long the daemon goes on refusing new work, so that callers and peers
/// learn that it leaves before its addresses are gone.
const GOODBYE: Duration = Duration::from_millis(500);

/// An error that keeps a daemon from starting.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// Its servers or clients can't be made.
    #[error(transparent)]
    Transport(#[from] transport::Error),
    /// The system gives no thread or runtime.
    #[error("cannot start a thread")]
    Thread(#[from] std::io::Error),
}

/// A running daemon.
pub struct Daemon {
    /// What its duties share.
    pub node: Arc<Node>,
    /// Where it listens, with the ports that the system chose.
    pub listen: Listen,
    stop: watch::Sender<bool>,
    threads: Vec<thread::JoinHandle<()>>,
}

/// The addresses as the daemon prints them when it starts.
#[derive(Serialize)]
struct Addresses<'a> {
    listen: &'a Listen,
}

struct Listeners {
    callers: Listener,
    inbound: Listener,
    peers: Listener,
    targets: Listener,
    operators: Listener,
}

impl Daemon {
    /// Starts a daemon. It takes requests once it holds a complete view.
    ///
    /// # Errors
    ///
    /// If an address is taken, a certificate can't be used or the system
    /// gives no threads.
    pub fn start(settings: Settings) -> Result<Self, Error> {
        let listeners = Listeners::bind(&settings.listen)?;
        let listen = listeners.addresses();
        let (applier, queue) = apply::channel();
        let journal = Journal::start(settings.node.as_str());
        let me = myself(&settings, &listen);
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
            requests(&node, listeners.callers, listeners.inbound, stopped.clone())?,
            control(
                &node,
                &call,
                desk,
                targets,
                [listeners.peers, listeners.targets, listeners.operators],
                stopped.clone(),
            )?,
            membership(&node, &call, stopped.clone())?,
            following(&node, &call, &log, stopped.clone())?,
            snapshots(&node, &log, stopped)?,
        ];
        Ok(Self {
            node,
            listen,
            stop,
            threads,
        })
    }

    /// Returns the addresses as a line of JSON.
    pub fn addresses(&self) -> String {
        serde_json::to_string(&Addresses {
            listen: &self.listen,
        })
        .expect("plain data always encodes")
    }

    /// Stops the daemon: it takes no new work, finishes what it has, tells
    /// its peers and ends its threads.
    pub fn stop(self) {
        self.node.journal.write(Event::Stopping, format_args!(""));
        self.node.leave();
        self.stop.send_replace(true);
        for thread in self.threads {
            // A duty that panicked has ended, which is all that is asked.
            let _ = thread.join();
        }
        self.node.journal.write(Event::Stopped, format_args!(""));
        self.node.journal.stop();
    }
}

fn myself(settings: &Settings, listen: &Listen) -> Member {
    let since = SystemTime::UNIX_EPOCH.elapsed().unwrap_or_default();
    let (peers, inbound) = match &settings.advertise {
        Some(advertise) => (advertise.peers, advertise.inbound),
        None => (listen.peers, listen.inbound),
    };
    Member {
        node: settings.node.clone(),
        incarnation: Incarnation(since.as_nanos() as u64),
        sequence: 1,
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

/// Starts a thread for one duty, with a runtime of its own.
fn duty<F>(name: &str, work: F) -> Thread
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

async fn until_stopped(mut stopped: watch::Receiver<bool>) {
    // An error means that the daemon is gone, which is a stop too.
    let _ = stopped.wait_for(|stop| *stop).await;
}

/// The duty that serves requests: outbound and inbound proxy.
fn requests(
    node: &Arc<Node>,
    callers: Listener,
    inbound_at: Listener,
    stopped: watch::Receiver<bool>,
) -> Thread {
    let outbound = Outbound::new(node.clone())?;
    let inbound = Inbound::new(node.clone())?;
    let drain = node.settings.requests.drain.duration();
    let leaving = node.clone();
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(node.settings.requests.threads)
        .thread_name("requests")
        .enable_all()
        .build()?;
    let work = async move {
        let to_callers = server::everything(outbound::Take(outbound.clone()));
        let to_nodes = server::everything(inbound::Take(inbound.clone()));
        tokio::spawn(outbound.tidy());
        let settings = &leaving.settings;
        let patience = settings.requests.header_timeout;
        let callers = callers
            .serve(to_callers, patience, &Security::Plaintext)
            .await;
        let nodes = inbound_at
            .serve(to_nodes, PEER_PATIENCE, &settings.security)
            .await;
        let (Ok(callers), Ok(nodes)) = (callers, nodes) else {
            return;
        };
        until_stopped(stopped).await;
        leaving.doors.close_all();
        tokio::time::sleep(GOODBYE).await;
        tokio::join!(callers.stop(drain), nodes.stop(drain));
    };
    Ok(thread::Builder::new()
        .name("requests".into())
        .spawn(move || runtime.block_on(work))?)
}

/// The duty that answers peers, operators and announcements.
fn control(
    node: &Arc<Node>,
    call: &Call,
    desk: Arc<Desk>,
    targets: Arc<Targets>,
    listeners: [Listener; 3],
    stopped: watch::Receiver<bool>,
) -> Thread {
    let (node, call) = (node.clone(), call.clone());
    duty("control", async move {
        let [peers_at, targets_at, operators_at] = listeners;
        let settings = &node.settings;
        let patience = settings.requests.header_timeout;
        let servers: Result<Vec<Running>, _> = futures_util::future::try_join_all([
            peers_at
                .serve(
                    peers::router(node.clone(), call.clone()),
                    PEER_PATIENCE,
                    &settings.security,
                )
                .boxed(),
            targets_at
                .serve(
                    targets::router(targets.clone()),
                    patience,
                    &Security::Plaintext,
                )
                .boxed(),
            operators_at
                .serve(operators::router(desk), patience, &settings.security)
                .boxed(),
        ])
        .await;
        let Ok(servers) = servers else { return };
        tokio::spawn(targets.expire());
        until_stopped(stopped).await;
        gossip::tell_at_once(&node, &call, TOLD).await;
        tokio::time::sleep(GOODBYE).await;
        futures_util::future::join_all(servers.into_iter().map(|server| server.stop(GOODBYE)))
            .await;
    })
}

/// The duty of membership, and of a fresh node's first view.
fn membership(node: &Arc<Node>, call: &Call, stopped: watch::Receiver<bool>) -> Thread {
    let (node, call) = (node.clone(), call.clone());
    duty("membership", async move {
        tokio::spawn(follow::until_complete(node.clone(), call.clone()));
        tokio::select! {
            () = Gossip::new(node, call).run() => {}
            () = until_stopped(stopped) => {}
        }
    })
}

/// The duty that reads the log for its failure domain.
fn following(node: &Arc<Node>, call: &Call, log: &Log, stopped: watch::Receiver<bool>) -> Thread {
    let follow = Follow::new(node.clone(), call.clone(), log.clone());
    duty("follow", async move {
        tokio::select! {
            () = follow.run() => {}
            () = until_stopped(stopped) => {}
        }
    })
}

/// The duty that writes snapshots.
fn snapshots(node: &Arc<Node>, log: &Log, stopped: watch::Receiver<bool>) -> Thread {
    let (node, log) = (node.clone(), log.clone());
    duty("snapshots", async move {
        tokio::select! {
            () = snapshot::keep_written(node, log) => {}
            () = until_stopped(stopped) => {}
        }
    })
}
