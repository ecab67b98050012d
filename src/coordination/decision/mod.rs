//! Decisions on requests: who waits, who is turned away, where a request goes.
//!
//! Plain structs and functions. Arrivals, reports and the time come in, decisions come
//! out; there is no socket, clock, task, lock or log line here, so a load can be
//! replayed on them in a test with the same outcome each time.
//!
//! * [`queue`]: slots of a target, and those that wait for one;
//! * [`balance`]: which node a request goes to;
//! * [`mod@line`]: which large bodies a host's link may carry;
//! * [`reach`]: which nodes can't be reached, and when they are tried again;
//! * [`allowance`]: what may be sent again;
//! * [`runs`]: which part of what a target runs was sent before;
//! * [`age`]: how long callers have been trying;
//! * [`tries`]: how often a request is tried, and what its caller is told;
//! * [`quarantine`]: which requests are held back because targets end under them;
//! * [`rollout`]: how a new release of a service is tried, judged, completed or taken back;
//! * [`split`]: how requests of a split route are dealt.

pub mod age;
pub mod allowance;
pub mod balance;
pub mod line;
pub mod quarantine;
pub mod queue;
pub mod reach;
pub mod rollout;
pub mod runs;
pub mod split;
pub mod tries;
