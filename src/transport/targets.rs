//! Receives the announcements of the targets on this host.

use std::{collections::HashMap, sync::Arc, time::Instant};

use parking_lot::Mutex;
use salvo::{Depot, FlowCtrl, Handler, Request, Response, Router, http::ResBody};

use crate::{
    coordination::{gossip, interface::Call, node::Node},
    id::{Instance, Name},
    protocol::announce::{Announcement, Lease, PATH},
    state::member::Target,
    transport::http,
    unit::{Size, Span},
};

/// The size in bytes of the largest announcement.
const MAX_ANNOUNCEMENT_BYTES: usize = 4096;

/// The number of members that get this node's record at once when its targets change,
/// such as when one drains.
const ANNOUNCE_TO: usize = 8;

/// The targets on this host.
pub struct Targets {
    node: Arc<Node>,
    call: Call,
    held: Mutex<HashMap<Name, Held>>,
}

/// A target on this host.
struct Held {
    /// As it announced itself, or as an operator drained it.
    target: Target,
    /// When its lease expires.
    expires_at: Instant,
    /// Until when it counts as leaving, because it stated so in a response. Without an instance
    /// in announcements, a target that was restarted since can't be told from it, so the
    /// statement holds for the length of a lease only.
    leaves_until: Option<Instant>,
}

impl Held {
    fn is_draining(&self, now: Instant) -> bool {
        self.target.draining || self.leaves_until.is_some_and(|until| now < until)
    }
}

impl Targets {
    /// Returns an empty set of targets for `node`.
    pub fn new(node: Arc<Node>, call: Call) -> Arc<Self> {
        Arc::new(Self {
            node,
            call,
            held: Mutex::new(HashMap::new()),
        })
    }

    /// Records an announcement and returns the target's new lease.
    pub async fn announce(&self, announcement: Announcement) -> Lease {
        let Announcement {
            service,
            address,
            http2,
            draining,
        } = announcement;
        let lease = self.node.settings.membership.lease;
        let expires_at = Instant::now() + lease.duration();
        {
            let mut held = self.held.lock();
            let before = held.get(&service);
            let before = before.filter(|held| held.target.address == address);
            // A later announcement must not undo a drain ordered by an operator.
            let ordered = before.is_some_and(|held| held.target.draining);
            let leaves_until = before.and_then(|held| held.leaves_until);
            let target = Target {
                service: service.clone(),
                address,
                http2,
                draining: draining || ordered,
                slots: 0,
                instance: Instance::default(),
                release: None,
                verdict: None,
            };
            let announced = Held {
                target,
                expires_at,
                leaves_until,
            };
            held.insert(service, announced);
        }
        self.publish().await;
        Lease {
            expires_after: lease,
        }
    }

    /// Drains the target of `service`, or all targets.
    pub async fn drain(&self, service: Option<&Name>) {
        for Held { target, .. } in self.held.lock().values_mut() {
            target.draining |= service.is_none_or(|wanted| target.service == *wanted);
        }
        self.publish().await;
    }

    /// Drains a target that stated in a response that it leaves. Other nodes are told in a
    /// task of its own, so that the response needn't wait.
    pub fn note_leaving(self: &Arc<Self>, target: &Target) {
        {
            let mut held = self.held.lock();
            let held = held.get_mut(&target.service);
            let Some(held) = held.filter(|held| held.target.address == target.address) else {
                return;
            };
            let lease = self.node.settings.membership.lease;
            held.leaves_until = Some(Instant::now() + lease.duration());
        }
        if self.update_record() {
            let targets = self.clone();
            tokio::spawn(async move { targets.tell_peers().await });
        }
    }

    /// Removes targets whose lease has expired, every second. Never returns.
    pub async fn expire(self: Arc<Self>) {
        loop {
            tokio::time::sleep(Span::from_secs(1).duration()).await;
            self.held
                .lock()
                .retain(|_, held| Instant::now() < held.expires_at);
            self.publish().await;
        }
    }

    /// Updates the targets in this node's member record and, if they changed,
    /// announces the record.
    async fn publish(&self) {
        if self.update_record() {
            self.tell_peers().await;
        }
    }

    async fn tell_peers(&self) {
        gossip::announce_now(&self.node, &self.call, ANNOUNCE_TO).await;
    }

    /// Updates the targets in this node's member record; returns whether they changed.
    fn update_record(&self) -> bool {
        let now = Instant::now();
        let published = |held: &Held| Target {
            draining: held.is_draining(now),
            ..held.target.clone()
        };
        let mut targets: Vec<Target> = self.held.lock().values().map(published).collect();
        targets.sort_by(|a, b| a.service.cmp(&b.service));
        let stopping = self.node.is_stopping();
        targets
            .iter_mut()
            .for_each(|target| target.draining |= stopping);
        for target in targets.iter().filter(|target| target.draining) {
            self.node.limiters.close(&target.service);
        }
        self.node.set_targets(targets)
    }
}

/// Returns the routes on which targets announce themselves.
pub fn router(targets: Arc<Targets>) -> Router {
    Router::with_path(PATH.trim_start_matches('/')).post(Announce(targets))
}

/// The HTTP handler of announcements.
struct Announce(Arc<Targets>);

#[salvo::async_trait]
impl Handler for Announce {
    async fn handle(&self, req: &mut Request, _: &mut Depot, res: &mut Response, _: &mut FlowCtrl) {
        let max = Size::from_bytes(MAX_ANNOUNCEMENT_BYTES as u64);
        let pieces = http::request_pieces(req.take_body(), max, Span::from_secs(2));
        let read = http::whole(pieces, MAX_ANNOUNCEMENT_BYTES, self.0.node.messages.open()).await;
        let body = read.as_ref().map_or(&[][..], |(body, _)| body);
        match serde_json::from_slice(body) {
            Ok(announcement) => {
                let lease = self.0.announce(announcement).await;
                json(res, &lease);
            }
            Err(error) => {
                res.status_code(::http::StatusCode::BAD_REQUEST);
                res.replace_body(ResBody::Once(
                    format!("not an announcement: {error}\n").into(),
                ));
            }
        }
    }
}

/// Writes `value` to an answer as JSON.
pub fn json<T: serde::Serialize>(res: &mut Response, value: &T) {
    let body = serde_json::to_vec(value).expect("plain data always encodes");
    http::set(res.headers_mut(), "content-type", "application/json");
    res.replace_body(ResBody::Once(body.into()));
}
