//! Which nodes can't be reached, and when they are tried again.
//!
//! Requests never try: each would wait for a connection that does not come about,
//! at every node, for every node beyond a cut. A node that was lost is asked how it
//! is beside the requests ([`probe`](crate::coordination::probe)), at growing
//! distances, and gets work again once it answers.
//!
//! Several nodes of one failure domain that fall silent in a row, with nothing
//! heard of the domain between, are taken for a cut: the whole domain is passed
//! over, and one of its nodes at a time is tried for all of them. So a cut costs a
//! node a few lost requests, however many nodes lie beyond it.

use std::{
    collections::HashMap,
    sync::Arc,
    time::{Duration, Instant},
};

use crate::{
    id::{Name, Node},
    state::member::{Member, Table},
};

/// The pause before a lost node is tried the first time. It doubles with each
/// failure, up to [`MAX_PAUSE`].
const PAUSE: Duration = Duration::from_millis(200);

/// The longest pause. A node that comes back idles for so long at the most; with
/// 0.25 s for a connection, 73 nodes that try a dead one are 22 tries a second.
const MAX_PAUSE: Duration = Duration::from_secs(3);

/// The longest pause for a whole failure domain: much more idles there.
const MAX_DOMAIN_PAUSE: Duration = Duration::from_secs(1);

/// Nodes of one failure domain that fall silent in a row before it is taken for cut
/// off. One is a dead host and two may be chance; a cut loses all that are asked.
const CUT: u32 = 3;

/// Nodes that are tried at a time.
const AT_ONCE: usize = 8;

/// How a node was lost.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Loss {
    /// Nothing came back: the host or the way to it is gone.
    Silent,
    /// Its host refuses connections: the process is gone, the way is there.
    Closed,
}

/// The nodes and failure domains that can't be reached.
#[derive(Debug, Default)]
pub struct Reach {
    nodes: HashMap<Node, Lost>,
    domains: HashMap<Name, Domain>,
}

#[derive(Debug)]
struct Lost {
    domain: Name,
    since: Instant,
    again: Again,
}

#[derive(Debug, Default)]
struct Domain {
    /// Nodes that fell silent since anything was heard of the domain.
    silent: u32,
    cut: Option<Lost>,
}

/// When something is tried again.
#[derive(Clone, Copy, Debug)]
struct Again {
    failures: u32,
    at: Instant,
    is_under_way: bool,
}

impl Again {
    fn new(now: Instant) -> Self {
        Self {
            failures: 0,
            at: now + PAUSE,
            is_under_way: false,
        }
    }

    fn put_off(&mut self, most: Duration, now: Instant) {
        self.failures += 1;
        let pause = (PAUSE * 2u32.saturating_pow(self.failures.min(8))).min(most);
        // By chance, lest a fleet that lost the same node tries it in step.
        self.at = now + pause.mul_f64(0.8 + 0.4 * fastrand::f64());
        self.is_under_way = false;
    }

    fn is_due(&self, now: Instant) -> bool {
        !self.is_under_way && self.at <= now
    }
}

impl Reach {
    /// Returns whether a node is passed over.
    pub fn is_lost(&self, member: &Member) -> bool {
        !self.nodes.is_empty()
            && (self.nodes.contains_key(&member.node) || self.is_cut(&member.domain))
    }

    /// Returns whether a failure domain is taken for cut off.
    pub fn is_cut(&self, domain: &Name) -> bool {
        let domain = self.domains.get(domain);
        domain.is_some_and(|domain| domain.cut.is_some())
    }

    /// Notes that a node could not be reached; returns whether that is news.
    pub fn lose(&mut self, member: &Member, loss: Loss, now: Instant) -> bool {
        let is_news = !self.nodes.contains_key(&member.node);
        let lost = self
            .nodes
            .entry(member.node.clone())
            .or_insert_with(|| Lost {
                domain: member.domain.clone(),
                since: now,
                again: Again::new(now),
            });
        // What else was under way there when it was lost says nothing new.
        if lost.again.is_under_way {
            lost.again.put_off(MAX_PAUSE, now);
        }
        match loss {
            Loss::Closed => self.hear_domain(&member.domain),
            Loss::Silent => self.lose_domain(member, is_news, now),
        }
        is_news
    }

    fn lose_domain(&mut self, member: &Member, is_news: bool, now: Instant) {
        let domain = self.domains.entry(member.domain.clone()).or_default();
        domain.silent += u32::from(is_news);
        match &mut domain.cut {
            Some(cut) if cut.again.is_under_way => cut.again.put_off(MAX_DOMAIN_PAUSE, now),
            Some(_) => {}
            None if domain.silent >= CUT => {
                domain.cut = Some(Lost {
                    domain: member.domain.clone(),
                    since: now,
                    again: Again::new(now),
                });
            }
            None => {}
        }
    }

    /// Notes that a node gave a sign of life; returns whether it was passed over.
    pub fn hear(&mut self, member: &Member) -> bool {
        if self.nodes.is_empty() {
            return false;
        }
        self.hear_domain(&member.domain);
        let was_lost = self.nodes.remove(&member.node).is_some();
        if self.nodes.is_empty() {
            self.domains.clear();
        }
        was_lost
    }

    /// Notes that a failure domain is there. Nodes that were lost by the cut may
    /// have work again; each that is dead is found out by one request.
    fn hear_domain(&mut self, domain: &Name) {
        let Some(held) = self.domains.get_mut(domain) else {
            return;
        };
        held.silent = 0;
        if let Some(cut) = held.cut.take() {
            let began = cut.since.checked_sub(MAX_PAUSE).unwrap_or(cut.since);
            self.nodes
                .retain(|_, lost| lost.domain != *domain || lost.since < began);
        }
    }

    /// Returns the members to ask now.
    pub fn due(&mut self, table: &Table, now: Instant) -> Vec<Arc<Member>> {
        let mut due = Vec::new();
        for (name, domain) in &mut self.domains {
            let Some(cut) = domain.cut.as_mut().filter(|cut| cut.again.is_due(now)) else {
                continue;
            };
            let inside = table
                .iter()
                .filter(|member| member.domain == *name && member.is_present());
            due.extend(fastrand::choose_multiple(inside, 1).into_iter().cloned());
            cut.again.is_under_way = true;
        }
        let domains = &self.domains;
        let is_cut = |name: &Name| domains.get(name).is_some_and(|d| d.cut.is_some());
        for (node, lost) in &mut self.nodes {
            if due.len() >= AT_ONCE {
                break;
            }
            if lost.again.is_due(now) && !is_cut(&lost.domain) {
                lost.again.is_under_way = true;
                due.extend(table.get(node).cloned());
            }
        }
        due
    }

    /// Returns when something is due next.
    pub fn next(&self) -> Option<Instant> {
        let cuts = self.domains.values().filter_map(|d| d.cut.as_ref());
        let nodes = self
            .nodes
            .values()
            .filter(|lost| !self.is_cut(&lost.domain));
        let open = cuts
            .chain(nodes)
            .filter(|lost| !lost.again.is_under_way)
            .map(|lost| lost.again.at);
        open.min()
    }

    /// Forgets nodes that `known` does not know any more.
    pub fn retain(&mut self, known: impl Fn(&Node) -> bool) {
        self.nodes.retain(|node, _| known(node));
        if self.nodes.is_empty() {
            self.domains.clear();
        }
    }
}
