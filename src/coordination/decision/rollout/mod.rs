//! How a new release of a service is put on trial, judged, and completed or rolled back.
//!
//! The targets of a service run at their usual load beside targets of a new release. It is
//! unknown whether those fail or answer slowly, possibly only after a while, under load, or
//! on one route.
//!
//! * [`canary`]: which targets of the new release are on trial, and which requests they get,
//!   as a share of all arrivals;
//! * [`trial`]: the verdict of a node on its own target, from the target's responses; each is
//!   compared with what its sender sees of the serving release, on the same route in the same
//!   seconds;
//! * [`judge`]: the next stage of a roll-out, from the verdicts of those nodes.
//!
//! A target is reached only through the node beside it. So that node counts all of the target's
//! responses, and it stops sending to the target on its own verdict, without evidence from
//! other nodes.

pub mod canary;
pub mod judge;
pub mod trial;
