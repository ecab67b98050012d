//! Decisions on requests: admission, routing, retries and quarantine.
//!
//! This module holds plain structs and functions. They take arrivals, reports and the time
//! as arguments and return decisions. They use no socket, clock, task, lock or log line, so
//! a test can replay a load on them with the same outcome each time.
//!
//! * [`queue`]: slots of a target, and the requests that wait for one;
//! * [`balance`]: which node a request goes to;
//! * [`mod@line`]: which large bodies a host's link may carry;
//! * [`reach`]: which nodes are unreachable, and when they are probed;
//! * [`allowance`]: how many retries may be sent;
//! * [`runs`]: which share of the requests that a target runs are repeats;
//! * [`age`]: how long callers have been trying;
//! * [`tries`]: how often a request is tried, and which response its caller gets;
//! * [`quarantine`]: which requests are quarantined because targets crash under them;
//! * [`rollout`]: how a new release of a service is tried, judged, and completed or rolled
//!   back;
//! * [`split`]: how the requests of a split route are shared among its services.

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
