//! Decisions on requests: admission, routing, retries and quarantine.
//!
//! This module holds plain structs and functions. They take arrivals, reports and the time
//! as arguments and return decisions. They use no socket, clock, task, lock or log line, so
//! a test can replay a load on them with the same outcome each time.
//!
//! * [`access`]: whether a caller may send a request, and on whose behalf;
//! * [`rate_limit`]: how many requests of a team all nodes together admit;
//! * [`load_report`]: what reports of targets' loads imply for a request;
//! * [`queue`]: slots of a target, and the requests that wait for one;
//! * [`pace`]: the pace of requests to a target that warms up or states a limit;
//! * [`balance`]: which node a request goes to;
//! * [`memory`]: which messages are given up when there is no memory for more;
//! * [`link_share`]: which large bodies a host's link may carry;
//! * [`reach`]: which nodes are unreachable, and when they are probed;
//! * [`retry_budget`]: how many retries may be sent;
//! * [`runs`]: which share of the requests that a target runs are repeats;
//! * [`age`]: how long callers have been trying;
//! * [`nested_call`]: how long the calls that targets make during a run may wait;
//! * [`attempts`]: how many attempts a request gets, and which response its caller gets;
//! * [`quarantine`]: which requests are quarantined because targets crash under them;
//! * [`rollout`]: how a new release of a service is put on trial, judged, and completed or
//!   rolled back;
//! * [`slowness`]: how slow a target is by its own statement;
//! * [`split`]: how the requests of a split route are shared among its services.

pub mod access;
pub mod age;
pub mod attempts;
pub mod balance;
pub mod link_share;
pub mod load_report;
pub mod memory;
pub mod nested_call;
pub mod pace;
pub mod quarantine;
pub mod queue;
pub mod rate_limit;
pub mod reach;
pub mod retry_budget;
pub mod rollout;
pub mod runs;
pub mod slowness;
pub mod split;
