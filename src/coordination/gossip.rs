//! Membership by gossip, in the manner of SWIM, at constant cost for each node.
//!
//! Each period a node pings one of a few peers in its own failure domain. These
//! stay the same, so that connections are reused. If the peer does not answer, two
//! other nodes are asked to ping it before it becomes suspect. A suspect member
//! that does not refute the suspicion in time is declared gone.
//!
//! Members are suspected and declared gone only within their own failure domain.
//! When domains are partitioned from each other, each keeps its last state of the
//! others instead of declaring all their members gone.
//!
//! Member updates are piggybacked on pings. A periodic comparison of whole tables
//! repairs the updates that were missed.

use std::{
    collections::{HashMap, VecDeque},
    net::SocketAddr,
    sync::{Arc, atomic::Ordering},
    time::{Duration, Instant},
};

use futures_util::future::join_all;

use crate::{
    coordination::{Error, catchup, interface::Call, node::Node, rank},
    id,
    protocol::wire::{Frame, PingBody, Reply},
    state::{
        member::{Member, Status},
        version::Version,
    },
    unit::Span,
};

/// Maximum number of member updates in one ping.
const UPDATES_PER_PING: usize = 16;

/// Number of helpers: members that this node asks to ping a member that did not answer it.
const INDIRECT_PROBES: usize = 2;

/// Number of periods between pings to another failure domain.
const REMOTE_PING_PERIODS: u64 = 5;

/// Maximum number of seeds, and of peers in its failure domain, that a starting node
/// asks for their version before it fetches a view.
const JOIN_PEERS: usize = 5;

/// Pause of a starting node that got no view from any peer.
const JOIN_RETRY_PAUSE: Span = Span::from_millis(300);

/// How long a member that is gone stays in the table, so that late updates about its
/// incarnation are recognized as old.
const GONE_RETENTION: Span = Span::from_secs(3600);

/// Delay before fetching from a peer that is ahead: the same records are likely to
/// arrive through the scatter tree in the meantime.
const FETCH_DELAY: Span = Span::from_millis(250);

/// Member updates to be piggybacked on pings, each with the number of times that it
/// has been sent.
#[derive(Debug)]
pub struct UpdateQueue {
    queue: VecDeque<(Member, u32)>,
}

impl UpdateQueue {
    /// Returns a queue that holds this node's own record.
    pub fn new(me: &Member) -> Self {
        let mut updates = Self {
            queue: VecDeque::new(),
        };
        updates.add(me.clone());
        updates
    }

    /// Adds an update about a member in place of an older one.
    pub fn add(&mut self, member: Member) {
        self.queue.retain(|(other, _)| other.node != member.node);
        self.queue.push_front((member, 0));
    }

    /// Returns the updates for the next ping, in a mesh with this number of `members`.
    ///
    /// Each update is sent a number of times that grows with the logarithm of
    /// `members`, and is then dropped.
    pub fn take(&mut self, members: usize) -> Vec<Member> {
        let max_sends = usize::BITS - members.leading_zeros() + 4;
        let count = self.queue.len().min(UPDATES_PER_PING);
        let mut taken = Vec::with_capacity(count);
        for _ in 0..count {
            let Some((member, sends)) = self.queue.pop_front() else {
                break;
            };
            taken.push(member.clone());
            if sends + 1 < max_sends {
                self.queue.push_back((member, sends + 1));
            }
        }
        taken
    }
}

/// The task that probes members and exchanges member updates.
pub struct Gossip {
    node: Arc<Node>,
    call: Call,
    /// Peers still to be probed in this round.
    probe_order: VecDeque<id::Node>,
    /// When this node first saw each suspect or gone member in that status.
    status_since: HashMap<id::Node, (Status, Instant)>,
    synced_at: Instant,
    periods: u64,
}

impl Gossip {
    /// Returns the task for `node`.
    pub fn new(node: Arc<Node>, call: Call) -> Self {
        Self {
            node,
            call,
            probe_order: VecDeque::new(),
            status_since: HashMap::new(),
            synced_at: Instant::now(),
            periods: 0,
        }
    }

    /// Runs until the future is dropped.
    pub async fn run(mut self) {
        self.join().await;
        let period = self.node.settings.membership.period;
        loop {
            self.run_period().await;
            let jitter = period.as_millis() / 10;
            let pause = period.as_millis() - jitter + fastrand::u64(0..=2 * jitter);
            tokio::time::sleep(Span::from_millis(pause).duration()).await;
        }
    }

    /// Joins the mesh through the seeds and fetches the newest complete view among
    /// several peers.
    ///
    /// Returns once a view is in force, or once no peer that answers has one. The log
    /// may be read only after that: if its last records were lost, a view from it
    /// would be older than the one that this failure domain already had in force.
    async fn join(&mut self) {
        while self.node.view.load().is_none() {
            let sources = self.newest_sources().await;
            if sources.iter().all(|(version, _)| version.is_empty()) {
                break;
            }
            let peers = sources.iter().map(|(_, peer)| *peer);
            if let Some(pause) = self.fetch_view(peers).await {
                tokio::time::sleep(pause.duration()).await;
            }
        }
        self.node.joined.store(true, Ordering::Relaxed);
    }

    /// Fetches a view from the first of `peers` that provides one.
    ///
    /// If none does, returns how long to wait before any of them may be asked a second time. When
    /// a whole failure domain restarts, the few peers with a view would otherwise be
    /// kept busy with nothing but rejecting requests.
    async fn fetch_view(&self, peers: impl Iterator<Item = SocketAddr>) -> Option<Span> {
        let mut pause = JOIN_RETRY_PAUSE;
        for peer in peers {
            match catchup::from_peer(&self.node, &self.call, peer).await {
                Ok(None) => return None,
                Ok(Some(later)) => pause = later,
                // The next peer may answer.
                Err(_) => {}
            }
        }
        Some(catchup::jitter(pause))
    }

    /// Pings some seeds and members of its failure domain; returns those that answered with their
    /// versions, the newest first.
    async fn newest_sources(&self) -> Vec<(Version, SocketAddr)> {
        let mut peers = self.node.settings.seeds.clone();
        peers.retain(|peer| *peer != self.node.peers);
        fastrand::shuffle(&mut peers);
        peers.truncate(JOIN_PEERS);
        let seed_news = join_all(peers.iter().map(|peer| self.ping(*peer))).await;
        for peer in &peers {
            if self.sync_with(*peer).await {
                break;
            }
        }
        let mut near: Vec<SocketAddr> = self.neighbours().iter().map(|m| m.peers).collect();
        near.retain(|peer| !peers.contains(peer));
        fastrand::shuffle(&mut near);
        near.truncate(JOIN_PEERS);
        let near_news = join_all(near.iter().map(|peer| self.ping(*peer))).await;
        let all = peers
            .iter()
            .chain(&near)
            .zip(seed_news.into_iter().chain(near_news));
        let mut sources: Vec<_> = all
            .filter_map(|(peer, ping_body)| Some((ping_body.ok()?.version, *peer)))
            .collect();
        sources.sort_by(|a, b| b.cmp(a));
        sources
    }

    fn neighbours(&self) -> Vec<Arc<Member>> {
        let settings = &self.node.settings;
        rank::neighbours(&self.node.table.read(), &settings.domain, &settings.node)
    }

    fn probe_peers(&self) -> Vec<Arc<Member>> {
        let settings = &self.node.settings;
        rank::probe_peers(&self.node.table.read(), &settings.domain, &settings.node)
    }

    /// Does the work of one period: probes, pings to other failure domains, expiry and
    /// table comparison, as far as each is due.
    async fn run_period(&mut self) {
        self.periods += 1;
        match self.next_probe() {
            Some(member) => self.probe(&member).await,
            None => self.ping_seed().await,
        }
        if self.periods.is_multiple_of(REMOTE_PING_PERIODS) {
            self.ping_remote().await;
        }
        self.expire_members();
        let sync_every = self.node.settings.membership.sync_every;
        if self.synced_at.elapsed() >= sync_every.duration() {
            self.synced_at = Instant::now();
            self.sync().await;
        }
    }

    /// Returns the next peer of this failure domain to probe.
    ///
    /// Each peer is probed once per round, in an order that is shuffled for each round.
    /// Returns `None` if there are no peers or the next one is no longer present.
    fn next_probe(&mut self) -> Option<Arc<Member>> {
        if self.probe_order.is_empty() {
            let mut names: Vec<id::Node> =
                self.probe_peers().iter().map(|m| m.node.clone()).collect();
            fastrand::shuffle(&mut names);
            self.probe_order = names.into();
        }
        let name = self.probe_order.pop_front()?;
        let table = self.node.table.read();
        table
            .get(&name)
            .filter(|member| member.is_present())
            .cloned()
    }

    /// Pings `member`, directly and then through other members; marks it as suspect if
    /// nobody reaches it, or as gone if it was leaving.
    async fn probe(&mut self, member: &Arc<Member>) {
        if self.ping(member.peers).await.is_ok() {
            return;
        }
        if self.is_reached_indirectly(member).await {
            return;
        }
        let known = self.node.table.read().get(&member.node).cloned();
        let Some(known) = known.filter(|known| known.precedence() == member.precedence()) else {
            return;
        };
        if matches!(known.status, Status::Alive | Status::Leaving) {
            let status = if known.status == Status::Leaving {
                Status::Gone
            } else {
                Status::Suspect
            };
            self.node.merge_members(vec![Member {
                status,
                ..known.as_ref().clone()
            }]);
        }
    }

    /// Returns whether any of a few other members gets an answer from `member`.
    async fn is_reached_indirectly(&self, member: &Arc<Member>) -> bool {
        let mut helpers = self.neighbours();
        helpers.retain(|helper| helper.node != member.node && helper.status == Status::Alive);
        fastrand::shuffle(&mut helpers);
        let max_wait = Span::from_millis(2 * self.node.settings.membership.timeout.as_millis());
        let probe = |helper: &Arc<Member>| {
            (self.call)(helper.peers, Frame::PingFor(member.peers), max_wait)
        };
        let replies = join_all(helpers.iter().take(INDIRECT_PROBES).map(probe)).await;
        replies
            .into_iter()
            .any(|reply| matches!(reply, Ok(Reply::Reached(true))))
    }

    /// Declares suspects of this failure domain gone if they did not refute in time,
    /// and removes members that have been gone for long.
    fn expire_members(&mut self) {
        let domain = &self.node.settings.domain;
        let can_expire = |m: &&Arc<Member>| match m.status {
            Status::Suspect => m.domain == *domain,
            Status::Gone => true,
            Status::Alive | Status::Leaving => false,
        };
        let expiring: Vec<Arc<Member>> = self
            .node
            .table
            .read()
            .iter()
            .filter(can_expire)
            .cloned()
            .collect();
        let previous = std::mem::take(&mut self.status_since);
        for member in expiring {
            let known = previous.get(&member.node);
            let known = known.filter(|(status, _)| *status == member.status);
            let since = known.map_or_else(Instant::now, |(_, since)| *since);
            self.status_since
                .insert(member.node.clone(), (member.status, since));
            self.expire_member(&member, since.elapsed());
        }
    }

    fn expire_member(&self, member: &Member, elapsed: Duration) {
        let suspect_for = self.node.settings.membership.suspect_for.duration();
        if member.status == Status::Suspect && elapsed >= suspect_for {
            let status = Status::Gone;
            self.node.merge_members(vec![Member {
                status,
                ..member.clone()
            }]);
        } else if member.status == Status::Gone && elapsed >= GONE_RETENTION.duration() {
            self.node.table.write().forget(&member.node);
        }
    }

    /// Pings a random seed, because there was no peer to probe; fetches its member table
    /// if this node knows no other member.
    async fn ping_seed(&self) {
        let seeds = &self.node.settings.seeds;
        let Some(seed) = fastrand::choice(seeds).filter(|seed| **seed != self.node.peers) else {
            return;
        };
        if self.ping(*seed).await.is_ok() && self.node.table.read().len() <= 1 {
            self.sync_with(*seed).await;
        }
    }

    /// Pings a member of another failure domain, if one is known.
    async fn ping_remote(&self) {
        if let Some(peer) = self.remote_peer() {
            // No answer is no reason to suspect the member: the two failure domains may
            // be partitioned.
            let _ = self.ping(peer).await;
        }
    }

    fn remote_peer(&self) -> Option<SocketAddr> {
        let settings = &self.node.settings;
        let remote =
            rank::remote_probe_peers(&self.node.table.read(), &settings.domain, &settings.node);
        fastrand::choice(remote).map(|member| member.peers)
    }

    /// Compares member tables with a random peer, most often one of this failure domain.
    async fn sync(&self) {
        let is_remote = fastrand::u64(0..REMOTE_PING_PERIODS) == 0;
        let near = || fastrand::choice(self.probe_peers()).map(|member| member.peers);
        let peer = if is_remote {
            self.remote_peer().or_else(near)
        } else {
            near().or_else(|| self.remote_peer())
        };
        if let Some(peer) = peer {
            self.sync_with(peer).await;
        }
    }

    /// Compares the whole member table with that of `peer` and exchanges the differences
    /// in both directions; returns whether `peer` answered.
    async fn sync_with(&self, peer: SocketAddr) -> bool {
        let mine = self.node.table.read().bucket_hashes().to_vec();
        let max_wait = Span::from_secs(2);
        let reply = (self.call)(peer, Frame::Sync(mine), max_wait).await;
        let Ok(Reply::Members { marks, members }) = reply else {
            return false;
        };
        let lacking: Vec<Member> = {
            let table = self.node.table.read();
            let is_known = |m: &Member| {
                members
                    .iter()
                    .any(|other| other.node == m.node && other.precedence() >= m.precedence())
            };
            table
                .in_differing_buckets(&marks)
                .into_iter()
                .filter(|m| !is_known(m))
                .map(|m| m.as_ref().clone())
                .collect()
        };
        self.node.merge_members(members);
        if !lacking.is_empty() {
            // If the message does not arrive, the next comparison finds the same differences.
            let _ = (self.call)(peer, Frame::Tell(lacking), max_wait).await;
        }
        true
    }

    async fn ping(&self, peer: SocketAddr) -> Result<PingBody, Error> {
        ping(&self.node, &self.call, peer).await
    }
}

/// Pings `peer`, applies the updates in its reply and returns them; catches up in the
/// background if `peer` is ahead.
///
/// # Errors
///
/// If `peer` does not answer, or not with a [`Reply::Pong`].
pub async fn ping(node: &Arc<Node>, call: &Call, peer: SocketAddr) -> Result<PingBody, Error> {
    let timeout = node.settings.membership.timeout;
    let reply = call(peer, Frame::Ping(outgoing_updates(node)), timeout).await?;
    let Reply::Pong(ping_body) = reply else {
        return Err(Error::Unexpected(peer.to_string()));
    };
    apply_news(node, call, ping_body.clone());
    Ok(ping_body)
}

/// Returns this node's version and its next member updates, for a ping or the reply to
/// one.
pub fn outgoing_updates(node: &Arc<Node>) -> PingBody {
    let members = node.table.read().len();
    PingBody {
        node: node.settings.node.clone(),
        peers: node.peers,
        version: node.version(),
        members: node.updates.lock().take(members),
    }
}

/// Merges the member updates in a peer's ping body; catches up in the background if the peer
/// is ahead.
pub fn apply_news(node: &Arc<Node>, call: &Call, ping_body: PingBody) {
    node.merge_members(ping_body.members);
    let current = node.version();
    if ping_body.version == current {
        node.mark_current();
    }
    if ping_body.version > current && node.view.load().is_some() {
        tokio::spawn(fetch_later(
            node.clone(),
            call.clone(),
            ping_body.peers,
            ping_body.version,
        ));
    }
}

async fn fetch_later(node: Arc<Node>, call: Call, peer: SocketAddr, version: Version) {
    tokio::time::sleep(catchup::jitter(FETCH_DELAY).duration()).await;
    if node.version() < version {
        // If this fails, the next ping finds the peer ahead and fetches again.
        let _ = catchup::from_peer(&node, &call, peer).await;
    }
}

/// Returns the reply to a ping.
///
/// If this node holds the sender as suspect or gone, the reply includes that record, so
/// that the sender can refute it.
pub fn answer_ping(node: &Arc<Node>, call: &Call, from: PingBody) -> Reply {
    let sender = from.node.clone();
    apply_news(node, call, from);
    let mut ping_body = outgoing_updates(node);
    let known = node.table.read().get(&sender).cloned();
    let suspected = known.filter(|member| matches!(member.status, Status::Suspect | Status::Gone));
    ping_body
        .members
        .extend(suspected.map(|member| member.as_ref().clone()));
    Reply::Pong(ping_body)
}

/// Sends this node's own record to `count` random members at once.
///
/// If this waited for the next ping, peers would still send requests that this node no
/// longer accepts.
pub async fn announce_now(node: &Arc<Node>, call: &Call, count: usize) {
    let me = node.me();
    let mut peers: Vec<SocketAddr> = {
        let table = node.table.read();
        table
            .iter()
            .filter(|m| m.node != me.node && m.is_present())
            .map(|m| m.peers)
            .collect()
    };
    fastrand::shuffle(&mut peers);
    peers.truncate(count);
    let timeout = node.settings.membership.timeout;
    let tell = |peer: &SocketAddr| call(*peer, Frame::Tell(vec![me.clone()]), timeout);
    join_all(peers.iter().map(tell)).await;
}
