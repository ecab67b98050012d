//! Links between failure domains that can be cut.
//!
//! Each domain has its own loopback addresses, and every node is reached
//! through a relay, which looks at the address a connection comes from.

use std::{
    collections::{HashMap, HashSet},
    net::{IpAddr, SocketAddr, TcpListener},
    sync::{Arc, OnceLock},
};

use parking_lot::Mutex;
use tokio::{net::TcpStream, sync::watch};

/// What the platform is called in a cut.
pub const PLATFORM: &str = "platform";

/// All links.
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

/// A relay in front of an address that may be set later.
#[derive(Clone)]
pub struct Relay {
    pub address: SocketAddr,
    pub behind: Arc<OnceLock<SocketAddr>>,
}

impl Links {
    /// Returns the address of the hosts of a domain.
    pub fn ip(&self, domain: &str) -> IpAddr {
        let mut domains = self.domains.lock();
        if let Some((ip, _)) = domains.iter().find(|(_, name)| *name == domain) {
            return *ip;
        }
        let ip = IpAddr::from([127, 0, domains.len() as u8 + 1, 1]);
        domains.insert(ip, domain.into());
        ip
    }

    pub fn cut(&self, a: &str, b: &str) {
        self.cuts.send_modify(|cuts| {
            cuts.insert((a.into(), b.into()));
            cuts.insert((b.into(), a.into()));
        });
    }

    pub fn heal(&self) {
        self.cuts.send_modify(HashSet::clear);
    }

    /// Starts a relay to something in `domain`.
    pub fn relay(&self, ip: IpAddr, domain: &str) -> Relay {
        let socket = TcpListener::bind((ip, 0)).unwrap();
        socket.set_nonblocking(true).unwrap();
        let relay = Relay {
            address: socket.local_addr().unwrap(),
            behind: Arc::default(),
        };
        let (links, domain, behind) = (self.clone(), domain.to_owned(), relay.behind.clone());
        tokio::spawn(async move {
            let socket = tokio::net::TcpListener::from_std(socket).unwrap();
            while let Ok((stream, from)) = socket.accept().await {
                let source = links.domains.lock().get(&from.ip()).cloned();
                let way = (source.unwrap_or_default(), domain.clone());
                tokio::spawn(carry(stream, behind.clone(), links.cuts.subscribe(), way));
            }
        });
        relay
    }
}

/// Carries one connection until it ends or its way is cut.
async fn carry(
    mut near: TcpStream,
    behind: Arc<OnceLock<SocketAddr>>,
    mut cuts: watch::Receiver<HashSet<(String, String)>>,
    way: (String, String),
) {
    let Some(behind) = behind.get().copied() else {
        return;
    };
    if cuts.borrow().contains(&way) {
        return;
    }
    let Ok(mut far) = TcpStream::connect(behind).await else {
        return;
    };
    let is_cut = cuts.wait_for(|cuts| cuts.contains(&way));
    tokio::select! {
        _ = tokio::io::copy_bidirectional(&mut near, &mut far) => {}
        _ = is_cut => {}
    }
}
