//! HTTP servers and clients of the daemon.
//!
//! [`outbound`] takes requests from callers, with [`plan`] and [`attempt`] as
//! its parts. [`inbound`] takes requests from other nodes, with [`keyed`] for
//! requests with an idempotency key. [`peers`] exchanges frames with other
//! nodes, [`log`] is the client of the platform's log, [`operators`] serves
//! the command-line tool, and [`targets`] receives the announcements of
//! targets. [`http`], [`server`], [`tls`] and [`identity`] contain the shared
//! parts.

pub mod attempt;
pub mod http;
pub mod identity;
pub mod inbound;
pub mod keyed;
pub mod log;
pub mod operators;
pub mod outbound;
pub mod peers;
pub mod plan;
pub mod relay;
pub mod server;
pub mod targets;
pub mod tls;

/// An error in setting up a server or client.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// A server could not listen on an address.
    #[error("cannot listen on {address}")]
    Listen {
        /// The address.
        address: std::net::SocketAddr,
        /// The operating system's error.
        #[source]
        source: std::io::Error,
    },
    /// A key or certificate could not be read or is invalid.
    #[error("cannot use {path}: {what}")]
    Tls {
        /// The file.
        path: std::path::PathBuf,
        /// A description of the fault.
        what: String,
    },
    /// An HTTP client could not be built.
    #[error("cannot make an HTTP client")]
    Client(#[from] reqwest::Error),
}
