//! Network paths between failure domains that a test can partition.
//!
//! Each domain has its own loopback address, and every node is reached through a
//! relay. The relay finds the domain of a connection by its source address, and
//! closes the connection when the path between the two domains is cut.

use std::{
    collections::{HashMap, HashSet},
    net::{IpAddr, SocketAddr, TcpListener},
    sync::{Arc, OnceLock},
};

use parking_lot::Mutex;
use tokio::{net::TcpStream, sync::watch};

/// Name of the platform where a partition names a failure domain.
pub const PLATFORM: &str = "platform";

/// The paths between all failure domains; clones share one state.
#[derive(Clone)]
pub struct Links {
    cuts: Arc<watch::Sender<HashSet<(String, String)>>>,
    domains: Arc<Mutex<HashMap<IpAddr, String>>>,
}

impl Default for Links {
    fn default() -> Self {
        Self {
            cuts: Arc::new(watch::Sender::new(HashSet::new())),
            domains: Arc::default(),
        }
    }
}

/// A relay to an upstream address. Until that is set, it closes connections.
#[derive(Clone)]
pub struct Relay {
    pub address: SocketAddr,
    pub upstream: Arc<OnceLock<SocketAddr>>,
}

impl Links {
    /// Returns the loopback address of the hosts of a domain, and assigns one at
    /// the first call.
    pub fn ip(&self, domain: &str) -> IpAddr {
        let mut domains = self.domains.lock();
        if let Some((ip, _)) = domains.iter().find(|(_, name)| *name == domain) {
            return *ip;
        }
        let ip = IpAddr::from([127, 0, domains.len() as u8 + 1, 1]);
        domains.insert(ip, domain.into());
        ip
    }

    /// Cuts the path between two domains in both directions and closes its
    /// connections.
    pub fn partition(&self, a: &str, b: &str) {
        self.cuts.send_modify(|cuts| {
            cuts.insert((a.into(), b.into()));
            cuts.insert((b.into(), a.into()));
        });
    }

    /// Restores all paths.
    pub fn heal(&self) {
        self.cuts.send_modify(HashSet::clear);
    }

    /// Starts a relay on `ip` to an upstream in `domain`.
    pub fn relay(&self, ip: IpAddr, domain: &str) -> Relay {
        let socket = TcpListener::bind((ip, 0)).unwrap();
        socket.set_nonblocking(true).unwrap();
        let relay = Relay {
            address: socket.local_addr().unwrap(),
            upstream: Arc::default(),
        };
        let (links, domain, upstream) = (self.clone(), domain.to_owned(), relay.upstream.clone());
        tokio::spawn(async move {
            let socket = tokio::net::TcpListener::from_std(socket).unwrap();
            while let Ok((stream, from)) = socket.accept().await {
                let source = links.domains.lock().get(&from.ip()).cloned();
                let path = (source.unwrap_or_default(), domain.clone());
                tokio::spawn(forward(
                    stream,
                    upstream.clone(),
                    links.cuts.subscribe(),
                    path,
                ));
            }
        });
        relay
    }
}

/// Forwards one connection until it ends or its path is cut.
async fn forward(
    mut client: TcpStream,
    upstream: Arc<OnceLock<SocketAddr>>,
    mut cuts: watch::Receiver<HashSet<(String, String)>>,
    path: (String, String),
) {
    let Some(upstream) = upstream.get().copied() else {
        return;
    };
    if cuts.borrow().contains(&path) {
        return;
    }
    let Ok(mut server) = TcpStream::connect(upstream).await else {
        return;
    };
    let cut = cuts.wait_for(|cuts| cuts.contains(&path));
    tokio::select! {
        _ = tokio::io::copy_bidirectional(&mut client, &mut server) => {}
        _ = cut => {}
    }
}
