//! rilltrack distributes configuration to the proxies of a service mesh and
//! routes their requests by it.
//!
//! It is designed for meshes with regulated data, where the place that serves a
//! request matters more than the speed. One small process, a node, runs on each
//! target host. Operators publish labelled resources to the platform's
//! append-only log. Every node applies the records in the order of the log with
//! the same deterministic function, so nodes need no other agreement on the
//! configuration.
//!
//! # Resources
//!
//! Operators write resources as JSON with comments. [`files`] reads them and
//! reports all faults together, each with its file, line and field:
//!
//! ```
//! use rilltrack::{document::Document, files::Files};
//!
//! let text = r#"[
//!   {"kind": "domain", "name": "palermo", "labels": {"jurisdiction": "it"}},
//!   {"kind": "policy", "name": "lookup", "timeout": "1s", "slots": 12, "queue": 12,
//!    "class": "normal", "repeat": "always"},
//!   {"kind": "service", "name": "balance", "policy": "lokup"}
//! ]"#;
//! let document = Document::parse("mesh.jsonc", text)?;
//! let faults = Files::from_documents(vec![document], Vec::new()).unwrap_err();
//! assert_eq!(faults[0].to_string(), "mesh.jsonc:5: `2.policy`: service/balance: no policy `lokup`");
//! # Ok::<(), rilltrack::document::Fault>(())
//! ```
//!
//! # Applying changes
//!
//! A change is a record of the log. [`state::machine::Machine`] applies records
//! one by one and accepts or rejects each, with the same verdict on every node:
//!
//! ```
//! use std::collections::BTreeMap;
//!
//! use rilltrack::state::{
//!     change::{Change, Entry, Op},
//!     machine::{Machine, Verdict},
//!     resource::{Domain, Resource},
//! };
//!
//! let mut machine = Machine::new();
//! let domain = Domain { name: "palermo".parse()?, labels: BTreeMap::new() };
//! let change = Change {
//!     id: "first".parse()?,
//!     base: machine.anchor(),
//!     expect: None,
//!     author: "an operator".into(),
//!     note: String::new(),
//!     ops: vec![Op::Put(Resource::Domain(domain))],
//! };
//! let record = Entry::Change(change).encode();
//! assert_eq!(machine.apply(0, record.clone())?.verdict, Verdict::Accepted);
//! // The client got no response and published the change a second time: it is
//! // applied only once.
//! assert!(matches!(machine.apply(1, record)?.verdict, Verdict::Repeated(_)));
//! # Ok::<(), Box<dyn std::error::Error>>(())
//! ```
//!
//! # Running a node
//!
//! [`settings`] describes a node and [`daemon`] runs it. The program
//! `rilltrackd` does little else:
//!
//! ```no_run
//! use std::path::Path;
//!
//! use rilltrack::{daemon::Daemon, settings::Settings};
//!
//! let settings = Settings::read(Path::new("rilltrackd.jsonc")).expect("no faults");
//! let daemon = Daemon::start(settings)?;
//! println!("{}", daemon.addresses());
//! daemon.stop();
//! # Ok::<(), rilltrack::daemon::Error>(())
//! ```
//!
//! # Layers
//!
//! * [`transport`]: HTTP servers and clients. Requests enter here.
//! * [`protocol`]: typed messages between processes.
//! * [`coordination`]: how nodes cooperate and how requests are routed.
//! * [`state`]: the data that a node holds, and pure functions over it.
//!
//! Each layer has its own error types and converts the errors of the layers
//! below.

#![warn(missing_docs)]

pub mod coordination;
pub mod daemon;
pub mod document;
pub mod event;
pub mod files;
pub mod host;
pub mod id;
pub mod journal;
pub mod logging;
pub mod metrics;
pub mod protocol;
pub mod settings;
pub mod state;
pub mod tool;
pub mod transport;
pub mod unit;
mod words;
