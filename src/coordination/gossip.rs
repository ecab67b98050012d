//! Membership: who is there, at constant cost for each node.
//!
//! Each period a node pings one of a few partners in its own failure domain,
//! which stay the same so that connections are kept. If it does not answer, two
//! others are asked to try before it becomes suspect, and a suspect that does
//! not refute in time is gone. Only a failure domain judges its own members:
//! when domains are cut off from each other, each keeps what it last knew of
//! the others instead of declaring them all gone. News rides on pings; a
//! comparison of whole tables now and then repairs what that missed.

use std::{
    collections::{HashMap, VecDeque},
    net::SocketAddr,
    sync::{Arc, atomic::Ordering},
    time::{Duration, Instant},
};

use futures_util::future::join_all;

use crate::{
    coordination::{Error, catchup, link::Call, node::Node, rank},
    id,
    protocol::wire::{Frame, News, Reply},
    state::{
        member::{Member, Status},
        version::Version,
    },
    unit::Span,
};

/// Members carried by one ping.
const NEWS: usize = 16;

/// Members asked to try a silent one.
const HELPERS: usize = 2;

/// Every so many periods a partner in another failure domain is pinged too.
const FAR_EVERY: u64 = 5;

/// Peers a fresh node asks for the newest view before it takes one.
const SOURCES: usize = 5;

/// Pause of a fresh node that got no view from any peer.
const RETRY: Span = Span::from_millis(300);

/// How long a member that is gone stays in the table, so that late news of
/// its life is known to be old.
const REMEMBER: Span = Span::from_secs(3600);

/// Wait before fetching from a peer that is ahead: the tree is likely
/// bringing the same records just now.
const GRACE: Span = Span::from_millis(250);

/// Members that are news to others, each with how often it still is told.
#[derive(Debug)]
pub struct Rumors {
    waiting: VecDeque<(Member, u32)>,
}

impl Rumors {
    /// Returns rumors that begin with the node itself.
    pub fn new(me: &Member) -> Self {
        let mut rumors = Self {
            waiting: VecDeque::new(),
        };
        rumors.add(me.clone());
        rumors
    }

    /// Adds news about a member, in place of older news about it.
    pub fn add(&mut self, member: Member) {
        self.waiting.retain(|(other, _)| other.node != member.node);
        self.waiting.push_front((member, 0));
    }

    /// Returns the next few to be told, in a mesh of `members`.
    pub fn take(&mut self, members: usize) -> Vec<Member> {
        let times = usize::BITS - members.leading_zeros() + 4;
        let count = self.waiting.len().min(NEWS);
        let mut told = Vec::with_capacity(count);
        for _ in 0..count {
            let Some((member, already)) = self.waiting.pop_front() else {
                break;
            };
            told.push(member.clone());
            if already + 1 < times {
                self.waiting.push_back((member, already + 1));
            }
        }
        told
    }
}

/// The duty's state.
pub struct Gossip {
    node: Arc<Node>,
    call: Call,
    round: VecDeque<id::Node>,
    /// Since when members have been suspect or gone.
    since: HashMap<id::Node, (Status, Instant)>,
    synced_at: Instant,
    rounds: u64,
}

impl Gossip {
    /// Returns the duty for `node`.
    pub fn new(node: Arc<Node>, call: Call) -> Self {
        Self {
            node,
            call,
            round: VecDeque::new(),
            since: HashMap::new(),
            synced_at: Instant::now(),
            rounds: 0,
        }
    }

    /// Runs until the future is dropped.
    pub async fn run(mut self) {
        self.join().await;
        let period = self.node.settings.membership.period;
        loop {
            self.turn().await;
            let tenth = period.as_millis() / 10;
            let pause = period.as_millis() - tenth + fastrand::u64(0..=2 * tenth);
            tokio::time::sleep(Span::from_millis(pause).duration()).await;
        }
    }

    /// Finds the mesh through the seeds and takes the newest complete view
    /// among several peers.
    ///
    /// Returns once there is a view, or no peer that answers has one. Only
    /// then may the log be read: it may have lost its end, and a view from it
    /// would be older than what this failure domain already had in force.
    async fn join(&mut self) {
        while self.node.view.load().is_none() {
            let found = self.newest_sources().await;
            if found.iter().all(|(version, _)| version.is_empty()) {
                break;
            }
            let peers = found.iter().map(|(_, peer)| *peer);
            if let Some(pause) = self.first_view(peers).await {
                tokio::time::sleep(pause.duration()).await;
            }
        }
        self.node.joined.store(true, Ordering::Relaxed);
    }

    /// Takes a view from the first of `peers` that gives one; else returns how
    /// long to leave them all alone. A failure domain that comes back at once
    /// would have its few sources busy with refusing, and nothing else.
    async fn first_view(&self, peers: impl Iterator<Item = SocketAddr>) -> Option<Span> {
        let mut pause = RETRY;
        for peer in peers {
            match catchup::from_peer(&self.node, &self.call, peer).await {
                Ok(None) => return None,
                Ok(Some(later)) => pause = later,
                // Another one may answer.
                Err(_) => {}
            }
        }
        Some(catchup::jitter(pause))
    }

    /// Pings some peers; returns those that answered, the newest first.
    async fn newest_sources(&self) -> Vec<(Version, SocketAddr)> {
        let mut peers = self.node.settings.seeds.clone();
        peers.retain(|peer| *peer != self.node.peers);
        fastrand::shuffle(&mut peers);
        peers.truncate(SOURCES);
        let first = join_all(peers.iter().map(|peer| self.ping(*peer))).await;
        for peer in &peers {
            if self.sync_with(*peer).await {
                break;
            }
        }
        let mut near: Vec<SocketAddr> = self.neighbours().iter().map(|m| m.peers).collect();
        near.retain(|peer| !peers.contains(peer));
        fastrand::shuffle(&mut near);
        near.truncate(SOURCES);
        let second = join_all(near.iter().map(|peer| self.ping(*peer))).await;
        let all = peers
            .iter()
            .chain(&near)
            .zip(first.into_iter().chain(second));
        let mut found: Vec<_> = all
            .filter_map(|(peer, news)| Some((news.ok()?.version, *peer)))
            .collect();
        found.sort_by(|a, b| b.cmp(a));
        found
    }

    fn neighbours(&self) -> Vec<Arc<Member>> {
        let settings = &self.node.settings;
        rank::neighbours(&self.node.table.read(), &settings.domain, &settings.node)
    }

    fn partners(&self) -> Vec<Arc<Member>> {
        let settings = &self.node.settings;
        rank::partners(&self.node.table.read(), &settings.domain, &settings.node)
    }

    /// One period's work.
    async fn turn(&mut self) {
        self.rounds += 1;
        match self.next_partner() {
            Some(member) => self.probe(&member).await,
            None => self.ping_seed().await,
        }
        if self.rounds.is_multiple_of(FAR_EVERY) {
            self.ping_far().await;
        }
        self.bury();
        let sync_every = self.node.settings.membership.sync_every;
        if self.synced_at.elapsed() >= sync_every.duration() {
            self.synced_at = Instant::now();
            self.sync().await;
        }
    }

    /// Returns the next partner in this failure domain; each comes once before
    /// any comes again, in an order drawn anew each time.
    fn next_partner(&mut self) -> Option<Arc<Member>> {
        if self.round.is_empty() {
            let mut names: Vec<id::Node> = self.partners().iter().map(|m| m.node.clone()).collect();
            fastrand::shuffle(&mut names);
            self.round = names.into();
        }
        let name = self.round.pop_front()?;
        let table = self.node.table.read();
        table
            .get(&name)
            .filter(|member| member.is_present())
            .cloned()
    }

    async fn probe(&mut self, member: &Arc<Member>) {
        if self.ping(member.peers).await.is_ok() {
            return;
        }
        if self.others_reach(member).await {
            return;
        }
        let held = self.node.table.read().get(&member.node).cloned();
        let Some(held) = held.filter(|held| held.stamp() == member.stamp()) else {
            return;
        };
        if matches!(held.status, Status::Alive | Status::Leaving) {
            let status = if held.status == Status::Leaving {
                Status::Gone
            } else {
                Status::Suspect
            };
            self.node.absorb(vec![Member {
                status,
                ..held.as_ref().clone()
            }]);
        }
    }

    async fn others_reach(&self, member: &Arc<Member>) -> bool {
        let mut helpers = self.neighbours();
        helpers.retain(|helper| helper.node != member.node && helper.status == Status::Alive);
        fastrand::shuffle(&mut helpers);
        let patience = Span::from_millis(2 * self.node.settings.membership.timeout.as_millis());
        let ask = |helper: &Arc<Member>| {
            (self.call)(helper.peers, Frame::PingFor(member.peers), patience)
        };
        let answers = join_all(helpers.iter().take(HELPERS).map(ask)).await;
        answers
            .into_iter()
            .any(|answer| matches!(answer, Ok(Reply::Reached(true))))
    }

    /// Turns suspects that did not refute into members gone, and forgets
    /// those long gone.
    fn bury(&mut self) {
        let domain = &self.node.settings.domain;
        let in_doubt = |m: &&Arc<Member>| match m.status {
            Status::Suspect => m.domain == *domain,
            Status::Gone => true,
            Status::Alive | Status::Leaving => false,
        };
        let in_doubt: Vec<Arc<Member>> = self
            .node
            .table
            .read()
            .iter()
            .filter(in_doubt)
            .cloned()
            .collect();
        let before = std::mem::take(&mut self.since);
        for member in in_doubt {
            let known = before.get(&member.node);
            let known = known.filter(|(status, _)| *status == member.status);
            let at = known.map_or_else(Instant::now, |(_, at)| *at);
            self.since.insert(member.node.clone(), (member.status, at));
            self.bury_one(&member, at.elapsed());
        }
    }

    fn bury_one(&self, member: &Member, elapsed: Duration) {
        let suspect_for = self.node.settings.membership.suspect_for.duration();
        if member.status == Status::Suspect && elapsed >= suspect_for {
            let status = Status::Gone;
            self.node.absorb(vec![Member {
                status,
                ..member.clone()
            }]);
        } else if member.status == Status::Gone && elapsed >= REMEMBER.duration() {
            self.node.table.write().forget(&member.node);
        }
    }

    async fn ping_seed(&self) {
        let seeds = &self.node.settings.seeds;
        let Some(seed) = fastrand::choice(seeds).filter(|seed| **seed != self.node.peers) else {
            return;
        };
        if self.ping(*seed).await.is_ok() && self.node.table.read().len() <= 1 {
            self.sync_with(*seed).await;
        }
    }

    /// Pings a member of another failure domain. Its silence means nothing:
    /// the domains may be cut off from each other.
    async fn ping_far(&self) {
        if let Some(peer) = self.far() {
            // An error is no news here.
            let _ = self.ping(peer).await;
        }
    }

    fn far(&self) -> Option<SocketAddr> {
        let settings = &self.node.settings;
        let far = rank::far_partners(&self.node.table.read(), &settings.domain, &settings.node);
        fastrand::choice(far).map(|member| member.peers)
    }

    async fn sync(&self) {
        let far = fastrand::u64(0..FAR_EVERY) == 0;
        let near = || fastrand::choice(self.partners()).map(|member| member.peers);
        let peer = if far {
            self.far().or_else(near)
        } else {
            near().or_else(|| self.far())
        };
        if let Some(peer) = peer {
            self.sync_with(peer).await;
        }
    }

    /// Compares the whole table with that of `peer`, both ways; returns
    /// whether it came about.
    async fn sync_with(&self, peer: SocketAddr) -> bool {
        let mine = self.node.table.read().marks().to_vec();
        let patience = Span::from_secs(2);
        let reply = (self.call)(peer, Frame::Sync(mine), patience).await;
        let Ok(Reply::Members { marks, members }) = reply else {
            return false;
        };
        let lacking: Vec<Member> = {
            let table = self.node.table.read();
            let known = |m: &Member| {
                members
                    .iter()
                    .any(|other| other.node == m.node && other.stamp() >= m.stamp())
            };
            table
                .differing(&marks)
                .into_iter()
                .filter(|m| !known(m))
                .map(|m| m.as_ref().clone())
                .collect()
        };
        self.node.absorb(members);
        if !lacking.is_empty() {
            // If it gets lost, the next comparison finds it again.
            let _ = (self.call)(peer, Frame::Tell(lacking), patience).await;
        }
        true
    }

    async fn ping(&self, peer: SocketAddr) -> Result<News, Error> {
        ping(&self.node, &self.call, peer).await
    }
}

/// Pings `peer` and takes in its news; catches up if it is ahead.
///
/// # Errors
///
/// If it does not answer as a peer.
pub async fn ping(node: &Arc<Node>, call: &Call, peer: SocketAddr) -> Result<News, Error> {
    let timeout = node.settings.membership.timeout;
    let reply = call(peer, Frame::Ping(news(node)), timeout).await?;
    let Reply::Pong(news) = reply else {
        return Err(Error::Unexpected(peer.to_string()));
    };
    hear(node, call, news.clone());
    Ok(news)
}

/// Returns what this node has to say.
pub fn news(node: &Arc<Node>) -> News {
    let members = node.table.read().len();
    News {
        node: node.settings.node.clone(),
        peers: node.peers,
        version: node.version(),
        members: node.rumors.lock().take(members),
    }
}

/// Takes in what another node said; catches up in the background if it is
/// ahead.
pub fn hear(node: &Arc<Node>, call: &Call, news: News) {
    node.absorb(news.members);
    let held = node.version();
    if news.version == held {
        node.touch();
    }
    if news.version > held && node.view.load().is_some() {
        tokio::spawn(pull(node.clone(), call.clone(), news.peers, news.version));
    }
}

async fn pull(node: Arc<Node>, call: Call, peer: SocketAddr, version: Version) {
    tokio::time::sleep(catchup::jitter(GRACE).duration()).await;
    if node.version() < version {
        // A failure is found again at the next ping.
        let _ = catchup::from_peer(&node, &call, peer).await;
    }
}

/// Answers a ping: with news, and with what is held about the sender if it
/// should hear that others take it for silent.
pub fn answer(node: &Arc<Node>, call: &Call, from: News) -> Reply {
    let sender = from.node.clone();
    hear(node, call, from);
    let mut news = news(node);
    let held = node.table.read().get(&sender).cloned();
    let doubted = held.filter(|member| matches!(member.status, Status::Suspect | Status::Gone));
    news.members
        .extend(doubted.map(|member| member.as_ref().clone()));
    Reply::Pong(news)
}

/// Tells some members at once what this node says about itself, because
/// waiting for the next ping would send it work it no longer wants.
pub async fn tell_at_once(node: &Arc<Node>, call: &Call, count: usize) {
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
