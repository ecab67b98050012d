//! Numbered log events, which the [`Journal`] writes.
//!
//! Operators filter and alert by number. docs/EVENTS.md lists the events, and a
//! test checks that its list equals this one.

pub use crate::journal::Journal;

macro_rules! events {
    ($($code:literal $level:ident $name:ident: $meaning:literal;)*) => {
        /// A kind of log event, with a number, a level and a meaning.
        #[derive(Clone, Copy, Debug, Eq, PartialEq)]
        pub enum Event {
            $(#[doc = $meaning] $name,)*
        }

        impl Event {
            /// All events in the order of their numbers.
            pub const ALL: &[Self] = &[$(Self::$name,)*];

            /// Returns the event's index in [`Event::ALL`].
            pub const fn index(self) -> usize {
                self as usize
            }

            /// Returns the event's number.
            pub const fn code(self) -> u16 {
                match self { $(Self::$name => $code,)* }
            }

            /// Returns the event's name.
            pub const fn name(self) -> &'static str {
                match self { $(Self::$name => stringify!($name),)* }
            }

            /// Returns the level at which the event is logged.
            pub const fn level(self) -> log::Level {
                match self { $(Self::$name => log::Level::$level,)* }
            }

            /// Returns the event's meaning, in a sentence.
            pub const fn meaning(self) -> &'static str {
                match self { $(Self::$name => $meaning,)* }
            }
        }
    };
}

events! {
    100 Info  Started: "The daemon has its addresses and starts its duties.";
    101 Info  Stopping: "The daemon was told to stop: it refuses new work and finishes what it has.";
    102 Info  Stopped: "The daemon has finished its work and ends.";
    103 Info  Ready: "The daemon holds a complete view and takes requests.";
    104 Warn  LinesLost: "Log lines were dropped because they came faster than they were written.";
    105 Info  Reloaded: "The settings were read again; what of them is taken over without a restart is named.";
    200 Info  InForce: "A version is in force on this proxy.";
    201 Warn  ChangeRejected: "A record of the log was decided against, as on every node.";
    202 Info  SnapshotTaken: "A whole snapshot was taken in, from a peer or the log.";
    203 Error SnapshotBad: "A snapshot was damaged or too new and was not used.";
    204 Error RulesUnknown: "A record needs a newer program; the node keeps what it holds.";
    210 Info  ReaderChanged: "This node began or ceased to read the log for its failure domain.";
    211 Warn  LogDown: "The log does not answer; the node serves on with what it holds.";
    212 Info  LogUp: "The log answers again.";
    213 Error LogWentBack: "The log ends before the version held; nothing is taken from it until an operator recovers it.";
    214 Warn  LogGap: "The records that come next have expired; the node looks for a snapshot.";
    215 Info  SnapshotWritten: "A snapshot was written to the log's snapshot stream.";
    216 Warn  SnapshotFailed: "Writing a snapshot to the log failed and will be tried again.";
    217 Info  Spread: "Records were passed on, with how many nodes have them in force.";
    218 Info  CaughtUp: "Records or a snapshot were fetched from a peer that was ahead.";
    219 Info  EpochBegan: "An operator's recovery of the log began a new epoch.";
    300 Info  MemberChanged: "A member joined, left, fell silent or came back.";
    301 Warn  Refuted: "Others took this node for gone and it refuted that.";
    302 Info  TargetChanged: "A target announced itself, drains or let its lease lapse.";
    303 Info  MembersTaken: "Many members were taken in at once, from the store or a peer.";
    304 Warn  TargetEnded: "A target ended while a request was under way at it; one line for each.";
    305 Warn  HeldBack: "A request is held back at this node: targets ended under it.";
    306 Info  LetGo: "A request is not held back any more at this node.";
    307 Info  TriedAgain: "A request that is held back is tried again, at the target here.";
    308 Info  MembershipSettled: "A starting node has the members; from now on it takes part in reading the store.";
    309 Warn  RecordOverwritten: "The store did a write late: its record of a member is older than the one known here.";
    310 Info  RecordRestored: "This node took the record of its earlier process for the state of its target.";
    320 Info  RolloutHeard: "An order for a roll-out, or its next stage, became known here.";
    321 Info  RolloutMoved: "This node brought a roll-out to its next stage, or found that it stands there.";
    322 Info  TargetJudged: "The verdict on the target here, whose release is on trial, changed.";
    323 Info  DomainDrained: "An operator's drain of a failure domain, or its end, became known here.";
    324 Info  TargetNotice: "The target here states a limit or its leave in its answers, another limit, or none any more.";
    400 Info  Routed: "A request was routed: to which target, and why there.";
    401 Info  NoRoute: "No route matches a request.";
    402 Warn  NoTarget: "No allowed target is there for a request.";
    403 Info  Retried: "An attempt was not run and goes to another target.";
    404 Info  Refused: "A request got its final answer from the proxy itself.";
    405 Info  Hedged: "A second copy of a repeatable request was sent.";
    406 Warn  Ejected: "A target is passed over for a while because its requests fail.";
    407 Info  Returned: "An ejected target gets requests again.";
    408 Info  SentAgain: "What was sent again for a service within the window, beside what may be.";
    409 Info  Denied: "A request was refused for its key, its team's limit, or a setting that is not supported here.";
    410 Info  Admitted: "A request was passed to the target on this host.";
    411 Info  Shed: "A request was refused before the target saw it.";
    412 Warn  Misplaced: "A request came that this node's view doesn't allow here; it was refused.";
    413 Warn  CutShort: "A target ended midway through an answer; the caller is told by a broken body.";
    414 Info  BodyTaken: "A request's body was taken in over the host's link, or could not be in time.";
    415 Info  NoRoom: "A request was refused without asking any target: by the load reports, none has room for it.";
    416 Info  BytesRefused: "Bytes of a caller were refused before they were a request: too large, too slow or not valid.";
    417 Warn  MemoryFull: "The memory for bodies or messages is used up: those that stand still are given up, others refused.";
    418 Info  MemoryFree: "Less than half of the memory for bodies or messages is used again.";
    420 Info  KeyIssued: "Idempotency keys were issued.";
    421 Info  Replayed: "A keyed request came again and got the recorded answer.";
    422 Warn  KeyRefused: "A keyed request could not be run or replayed.";
}
