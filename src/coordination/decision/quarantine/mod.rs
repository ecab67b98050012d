//! Which requests are held back because targets end under them.
//!
//! The load that it answers: a request that ends whatever runs it, and comes again, by its
//! caller at any node and by nodes' own repeats. Each time it takes along all that the
//! target runs: some 18 requests that have nothing to do with it. Six targets of a service
//! ended so within two seconds, and again whenever they were back.
//!
//! Each node tells what its target was running whenever that ended
//! ([`Evidence`]), and every node looks for the fewest requests that explain all ends: the
//! one that most of them have in common, which explains those, and so on. A request that
//! was there by chance is in one end, hardly in two; one that a target has answered since
//! is in none. So two ends are enough where one request alone is in both, and where several
//! are it takes a third.
//!
//! Chance remains, so one that is held back is tried again, by one node and at its own
//! target, after a time that grows with the targets that ended under it. An answer lets it
//! go everywhere.
//!
//! What is not covered: a request under which targets end only now and then is cleared by
//! each answer in between; one that ends targets of nodes which can reach neither the store
//! nor each other is held back by each of them for itself.
//!
//! # Example
//!
//! ```
//! use std::time::Instant;
//!
//! use rilltrack::{
//!     coordination::decision::quarantine::{Quarantine, Word},
//!     state::{evidence::{End, Evidence}, fingerprint::Fingerprint},
//! };
//!
//! let content = |path: &str| Fingerprint::of(&[path.as_bytes()]);
//! let end = |instance: &str, contents| End { instance: instance.into(), contents };
//! let told = Evidence {
//!     ends: vec![end("i-1", vec![content("/card/7"), content("/card/8")])],
//!     ..Evidence::default()
//! };
//! let (me, other) = ("n-1".parse()?, "n-2".parse()?);
//! let mut quarantine = Quarantine::default();
//! quarantine.note_end(&"i-2".into(), content("/card/9"), Instant::now());
//! quarantine.note_end(&"i-2".into(), content("/card/7"), Instant::now());
//! let word = Word { node: &other, is_present: true, evidence: &told };
//! quarantine.review(&me, &[word], 2, || 0.0, Instant::now());
//! assert!(quarantine.is_held(&content("/card/7")));
//! assert!(!quarantine.is_held(&content("/card/8")));
//! # Ok::<(), rilltrack::id::Error>(())
//! ```

mod culprits;
mod recent;
mod words;

use std::{
    collections::{BTreeMap, HashMap, HashSet, VecDeque},
    time::{Duration, Instant},
};

pub use self::words::Word;
use self::{
    culprits::{ENDS, culprits},
    recent::Recent,
    words::{Open, Told, all_ends, cleared, speaks_since, told},
};
use crate::{
    id::{Instance, Node},
    state::{
        evidence::{Cleared, End, Evidence, Held},
        fingerprint::Fingerprint,
    },
};

/// The reason of a refusal of a request that is held back.
pub const HELD_BACK: &str = "targets ended under this request";

/// How long an end that nothing explains is remembered. A request that comes less often
/// ends one target in that time.
const SUSPECT_FOR: Duration = Duration::from_secs(600);

/// How long a request under which two targets ended is held back before it is tried again.
/// Without a trial, one that was there twice by chance would not be served any more.
const HELD_FOR: Duration = Duration::from_secs(10);

/// How much longer with each further target: 1, 6 and 36 minutes.
const LONGER: u32 = 6;

/// Targets after which it is not tried any more: three, and three that trials may cost.
const MOST_ENDS: u8 = 6;

/// The pause after a trial of which nothing was heard: longer than a request may take.
const TRIAL: Duration = Duration::from_secs(30);

/// How long a node tells that a request was cleared: many times what it takes until all
/// have heard.
const CLEARED_FOR: Duration = Duration::from_secs(60);

/// Nodes that tell, in each review, that a request was cleared, of all that could.
const CLEARERS: f64 = 4.0;

/// How long others may object that a request is cleared: several times what it takes until
/// all have heard of an end and of the objection. So long the ends are told beside what they
/// led to, and a node that has seen it answered not long ago waits. Without it 223 of 24,000
/// popular requests were refused in a minute in which a target ended every two seconds for
/// other reasons; with it 94 of 480,000 (replay of `tests/quarantine.rs`, the first seed and
/// all twenty).
const OBJECTIONS: Duration = Duration::from_millis(1500);

/// Ends of its own target that a node remembers, the latest ones. More within
/// [`SUSPECT_FOR`] is a target that ends by itself.
const MAX_ENDS: usize = 8;

/// Requests at one end: several times the slots of a target.
const MAX_CONTENTS: usize = 256;

/// Requests that a node tells to be held back. Each has cost it a target.
const MAX_HELD: usize = 64;

/// Ends that are explained and remembered, lest what is told of them late counts anew.
const EXPLAINED: usize = 8;

/// What a node knows of requests under which targets end.
#[derive(Debug, Default)]
pub struct Quarantine {
    own: Evidence,
    /// The same as of the last review.
    told: Evidence,
    is_recalled: bool,
    /// When it learned of an end; those of its own target have no node.
    learned: HashMap<(Option<Node>, Instance), Instant>,
    explained: VecDeque<Instance>,
    /// When it was last told here that a request is held back or cleared.
    own_since: HashMap<Fingerprint, Instant>,
    own_cleared: HashMap<Fingerprint, Instant>,
    /// When a target last answered a request under which others had ended.
    answered: BTreeMap<Fingerprint, Instant>,
    /// What each node has told of how often a request was cleared, and when that was heard.
    cleared_by: HashMap<(Node, Fingerprint), (u32, Instant)>,
    /// How often each was cleared in all.
    cleared: HashMap<Fingerprint, u32>,
    suspects: HashSet<Fingerprint>,
    /// Since when the ends speak against a request that is not held back yet.
    accused: HashMap<Fingerprint, Instant>,
    recent: Recent,
    held: HashMap<Fingerprint, Instant>,
    /// Targets that ended under what nodes tell to be held back.
    ends: HashMap<Fingerprint, u8>,
    /// Requests that this node may try again.
    mine: HashSet<Fingerprint>,
    trials: HashMap<Fingerprint, Instant>,
}

/// What a review came to.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Review {
    /// Requests that are held back from now on, with the ends that they explain, as far as
    /// those are known here.
    pub held: Vec<(Fingerprint, Vec<String>)>,
    /// Requests that are not held back any more.
    pub let_go: Vec<Fingerprint>,
    /// Whether what this node tells of itself has changed.
    pub is_news: bool,
}

impl Quarantine {
    /// Returns what this node tells the others.
    pub fn evidence(&self) -> &Evidence {
        &self.own
    }

    /// Takes in what an earlier life of this node told, the first time that it is called.
    pub fn recall(&mut self, told: Option<&Evidence>, now: Instant) {
        if std::mem::replace(&mut self.is_recalled, true) {
            return;
        }
        let Some(told) = told else { return };
        for end in &told.ends {
            for content in &end.contents {
                self.note_end(&end.instance, *content, now);
            }
        }
        for held in &told.held {
            self.tell_held(*held, now);
        }
    }

    /// Notes that the target here ended while it ran this request.
    pub fn note_end(&mut self, instance: &Instance, content: Fingerprint, now: Instant) {
        if self.explained.contains(instance) {
            return;
        }
        self.learned.entry((None, instance.clone())).or_insert(now);
        let ends = &mut self.own.ends;
        let at = ends.iter().position(|end| end.instance == *instance);
        let at = at.unwrap_or_else(|| {
            if ends.len() >= MAX_ENDS {
                ends.remove(0);
            }
            ends.push(End {
                instance: instance.clone(),
                contents: Vec::new(),
            });
            ends.len() - 1
        });
        let contents = &mut ends[at].contents;
        if contents.len() < MAX_CONTENTS && !contents.contains(&content) {
            contents.push(content);
        }
        self.suspects.insert(content);
    }

    /// Notes that a target answered a request.
    pub fn note_answer(&mut self, content: Fingerprint, now: Instant) {
        self.recent.note(content, now);
        if self.suspects.contains(&content) || self.held.contains_key(&content) {
            self.answered.insert(content, now);
        }
    }

    /// Returns whether there is anything to look for in requests, or to look at again.
    pub fn is_watching(&self) -> bool {
        !(self.suspects.is_empty() && self.held.is_empty() && self.own.is_empty())
    }

    /// Returns whether a request is held back.
    pub fn is_held(&self, content: &Fingerprint) -> bool {
        let Some(since) = self.held.get(content) else {
            return false;
        };
        let answered = self.answered.get(content);
        answered.is_none_or(|answered| answered <= since)
    }

    /// Returns whether a request that is held back is tried again now, at the target here.
    /// That is a trial: until something is heard of it there is no other.
    pub fn try_again(&mut self, content: &Fingerprint, now: Instant) -> bool {
        let ends = self.ends.get(content).copied().unwrap_or(0);
        if !self.mine.contains(content) || ends >= MOST_ENDS {
            return false;
        }
        let wait = HELD_FOR * LONGER.pow(u32::from(ends).saturating_sub(ENDS as u32));
        let is_due = |since: &Instant| now - *since >= wait;
        let is_over = |since: &Instant| now - *since >= TRIAL;
        let may = self.own_since.get(content).is_some_and(is_due)
            && self.trials.get(content).is_none_or(is_over);
        if may {
            self.trials.insert(*content, now);
        }
        may
    }

    /// Returns the requests that are held back, since when, and how many targets are known
    /// to have ended under each.
    pub fn held(&self) -> impl ExactSizeIterator<Item = (&Fingerprint, Instant, u8)> {
        let ends = |content| self.ends.get(content).copied().unwrap_or(0);
        self.held
            .iter()
            .map(move |(content, since)| (content, *since, ends(content)))
    }

    /// Lets a request go by an operator's word, which counts as an answer of a target.
    /// Returns whether it was held back.
    pub fn let_go(&mut self, content: Fingerprint, now: Instant) -> bool {
        let was_held = self.held.contains_key(&content);
        if was_held {
            self.answered.insert(content, now);
            self.tell_cleared(content, now);
        }
        was_held
    }

    /// Decides anew, by what this node, `me`, and the `others` of a fleet of `nodes` tell;
    /// `chance` draws from 0 to 1.
    pub fn review(
        &mut self,
        me: &Node,
        others: &[Word<'_>],
        nodes: usize,
        mut chance: impl FnMut() -> f64,
        now: Instant,
    ) -> Review {
        let own = self.own.clone();
        self.learn(&own, others, now);
        let ends = self.open(&own, others, now);
        self.cleared = cleared(&own, others);
        let told = told(me, &own, others, &self.cleared);
        let is_unexplained = |left: &&HashSet<_>| !left.iter().any(|c| told.contains_key(c));
        let unexplained: Vec<_> = ends
            .iter()
            .map(|end| &end.left)
            .filter(is_unexplained)
            .collect();
        let accused = culprits(&unexplained);
        let mut held: HashSet<Fingerprint> = told.keys().copied().collect();
        held.extend(self.without_objection(accused, now));
        self.clear(&ends, others, |content| told.contains_key(content), now);
        self.tell(&ends, nodes, &mut chance, now);
        let review = self.hold(&held, &ends, now);
        self.explain(&held, &told, &ends, now);
        let is_mine = |(_, told): &(&Fingerprint, &Told<'_>)| told.first == Some(me);
        let mine = told.iter().filter(is_mine);
        self.mine = mine.map(|(content, _)| *content).collect();
        let with_ends = told.iter().map(|(content, told)| (*content, told.ends));
        self.ends = with_ends.collect();
        self.suspects = ends.iter().flat_map(|end| end.all).copied().collect();
        self.forget(others, now);
        let is_news = self.own != self.told;
        self.told.clone_from(&self.own);
        Review { is_news, ..review }
    }

    /// Notes when it learned of each end, and takes what others cleared for answered.
    fn learn(&mut self, own: &Evidence, others: &[Word<'_>], now: Instant) {
        let before = std::mem::take(&mut self.learned);
        for (node, end) in all_ends(own, others) {
            let key = (node.cloned(), end.instance.clone());
            let at = before.get(&key).copied().unwrap_or(now);
            self.learned.insert(key, at);
        }
        let before = std::mem::take(&mut self.cleared_by);
        for word in others {
            for Cleared { content, times } in &word.evidence.cleared {
                let key = (word.node.clone(), *content);
                let heard = before.get(&key).filter(|(heard, _)| heard >= times);
                if heard.is_none() {
                    self.answered.insert(*content, now);
                }
                let heard = heard.copied().unwrap_or((*times, now));
                self.cleared_by.insert(key, heard);
            }
        }
    }

    /// Returns the ends that may count.
    fn open<'a>(&self, own: &'a Evidence, others: &[Word<'a>], now: Instant) -> Vec<Open<'a>> {
        let ends = all_ends(own, others).filter_map(|(node, end)| {
            let learned = *self.learned.get(&(node.cloned(), end.instance.clone()))?;
            let is_answered = |content: &&Fingerprint| {
                let answered = self.answered.get(*content);
                answered.is_some_and(|answered| *answered >= learned)
            };
            Some(Open {
                node,
                instance: &end.instance,
                learned,
                all: &end.contents,
                left: end
                    .contents
                    .iter()
                    .filter(|c| !is_answered(c))
                    .copied()
                    .collect(),
            })
        });
        ends.filter(|end| now - end.learned < SUSPECT_FOR).collect()
    }

    /// Returns those of the accused that are to be held back.
    fn without_objection(
        &mut self,
        accused: HashSet<Fingerprint>,
        now: Instant,
    ) -> Vec<Fingerprint> {
        self.accused.retain(|content, _| accused.contains(content));
        let mut held = Vec::new();
        for content in accused {
            let since = *self.accused.entry(content).or_insert(now);
            if now - since >= OBJECTIONS || !self.recent.has(&content, now) {
                held.push(content);
            }
        }
        held
    }

    /// Takes out of what this node told what was answered since, where that matters: it is
    /// held back or would be.
    fn clear(
        &mut self,
        ends: &[Open<'_>],
        others: &[Word<'_>],
        is_told: impl Fn(&Fingerprint) -> bool,
        now: Instant,
    ) {
        let is_common = |content: &Fingerprint| {
            ends.iter().filter(|end| end.all.contains(content)).count() >= ENDS
        };
        let (answered, learned, since) = (&self.answered, &self.learned, &self.own_since);
        let matters = |content: &Fingerprint| is_told(content) || is_common(content);
        for end in &mut self.own.ends {
            let learned = learned.get(&(None, end.instance.clone()));
            end.contents.retain(|content| {
                let answered = answered.get(content);
                answered < learned || answered.is_none() || !matters(content)
            });
        }
        self.own.ends.retain(|end| {
            let learned = learned.get(&(None, end.instance.clone()));
            let is_young = learned.is_none_or(|learned| now - *learned < SUSPECT_FOR);
            is_young && !end.contents.is_empty()
        });
        let cleared = &self.cleared;
        self.own.held.retain(|held| {
            let answered = answered.get(&held.content);
            let times = cleared.get(&held.content).copied().unwrap_or(0);
            held.round >= times && (answered.is_none() || answered <= since.get(&held.content))
        });
        let own_cleared = &self.own_cleared;
        self.own.cleared.retain(|cleared| {
            let since = own_cleared.get(&cleared.content);
            since.is_some_and(|since| now - *since < CLEARED_FOR)
                || others
                    .iter()
                    .any(|word| word.evidence.speaks_of(&cleared.content))
        });
    }

    /// Tells what was answered and is held back elsewhere, or would be.
    fn tell(
        &mut self,
        ends: &[Open<'_>],
        nodes: usize,
        chance: &mut impl FnMut() -> f64,
        now: Instant,
    ) {
        let first = |content: &Fingerprint| {
            let common = speaks_since(ends, content);
            common.or_else(|| self.held.get(content).copied())
        };
        let last_told = |content: &Fingerprint| {
            let theirs = self.cleared_by.iter().filter(|((_, c), _)| c == content);
            let theirs = theirs.map(|(_, (_, at))| *at);
            theirs.chain(self.own_cleared.get(content).copied()).max()
        };
        let news = self.answered.iter().filter(|(content, at)| {
            let first = first(content);
            first.is_some_and(|first| **at > first) && last_told(content) < first
        });
        let news: Vec<Fingerprint> = news.map(|(content, _)| *content).collect();
        for content in news {
            // Who tried it is the one that knows.
            let tried = self.trials.contains_key(&content);
            if tried || chance() * (nodes.max(1) as f64) < CLEARERS {
                self.tell_cleared(content, now);
            }
        }
    }

    /// Notes which requests are held back; returns what is new of that.
    fn hold(&mut self, held: &HashSet<Fingerprint>, ends: &[Open<'_>], now: Instant) -> Review {
        let mut review = Review::default();
        for content in held {
            if self.held.contains_key(content) {
                continue;
            }
            let since = speaks_since(ends, content);
            self.held.insert(*content, since.unwrap_or(now));
            let with = ends.iter().filter(|end| end.all.contains(content));
            let names = with.map(|end| match end.node {
                Some(node) => format!("{node}/{}", end.instance),
                None => end.instance.to_string(),
            });
            review.held.push((*content, names.collect()));
        }
        self.held.retain(|content, _| {
            let is_still = held.contains(content);
            if !is_still {
                review.let_go.push(*content);
            }
            is_still
        });
        review
    }

    /// Tells which requests ended the target here. The ends that they explain are told for
    /// a while yet, so that others can object.
    fn explain(
        &mut self,
        held: &HashSet<Fingerprint>,
        told: &HashMap<Fingerprint, Told<'_>>,
        ends: &[Open<'_>],
        now: Instant,
    ) {
        let mut settled = Vec::new();
        for end in ends.iter().filter(|end| end.node.is_none()) {
            let explains: Vec<_> = end.left.intersection(held).collect();
            let is_new = !self.explained.contains(end.instance);
            for content in explains.iter().filter(|_| is_new) {
                let with = ends.iter().filter(|end| end.left.contains(*content));
                let ends = match told.get(*content) {
                    Some(told) => told.ends.saturating_add(1),
                    None => u8::try_from(with.count()).unwrap_or(u8::MAX),
                };
                let content = **content;
                let round = self.cleared.get(&content).copied().unwrap_or(0);
                self.trials.remove(&content);
                self.tell_held(
                    Held {
                        content,
                        ends,
                        round,
                    },
                    now,
                );
            }
            if is_new && !explains.is_empty() {
                self.explained.push_back(end.instance.clone());
            }
            let since = explains
                .iter()
                .filter_map(|content| self.own_since.get(content));
            if since.max().is_some_and(|since| now - *since >= OBJECTIONS) {
                settled.push(end.instance);
            }
        }
        self.own
            .ends
            .retain(|end| !settled.contains(&&end.instance));
        let beyond = self.explained.len().saturating_sub(EXPLAINED);
        self.explained.drain(..beyond);
    }

    fn tell_held(&mut self, held: Held, now: Instant) {
        let own = &mut self.own.held;
        match own.iter_mut().find(|own| own.content == held.content) {
            Some(known) => {
                known.ends = known.ends.max(held.ends);
                known.round = known.round.max(held.round);
            }
            None => {
                if own.len() >= MAX_HELD {
                    own.remove(0);
                }
                own.push(held);
            }
        }
        self.own_since.insert(held.content, now);
    }

    fn tell_cleared(&mut self, content: Fingerprint, now: Instant) {
        let times = self.cleared.entry(content).or_default();
        *times += 1;
        let told = Cleared {
            content,
            times: *times,
        };
        self.own
            .cleared
            .retain(|cleared| cleared.content != content);
        self.own.cleared.push(told);
        self.own_cleared.insert(content, now);
    }

    /// Forgets times of what is not known any more.
    fn forget(&mut self, others: &[Word<'_>], now: Instant) {
        let (suspects, held, own) = (&self.suspects, &self.held, &self.own);
        // A word of an end may come later than the one that clears it.
        let is_told =
            |content: &Fingerprint| others.iter().any(|word| word.evidence.speaks_of(content));
        self.answered.retain(|content, at| {
            let is_known = suspects.contains(content) || held.contains_key(content);
            is_known || is_told(content) || now - *at < CLEARED_FOR
        });
        self.own_since
            .retain(|content, _| own.held.iter().any(|held| held.content == *content));
        self.own_cleared
            .retain(|content, _| own.cleared.iter().any(|c| c.content == *content));
        self.trials.retain(|content, _| held.contains_key(content));
    }
}
