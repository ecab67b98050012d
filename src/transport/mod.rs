//! Transport: HTTP servers and clients, by library.
//!
//! A request enters through [`outbound`] (from a caller; [`plan`] and
//! [`attempt`] are its parts) and [`inbound`] (from another node; [`keyed`] for
//! requests under a key). [`peers`] carries frames between nodes, [`log`] the
//! platform's log, [`operators`] the command-line tool and [`targets`] the
//! announcements. [`http`], [`server`], [`tls`] and [`identity`] hold what they
//! have in common.

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

/// An error of this layer.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// An address can't be listened on.
    #[error("cannot listen on {address}")]
    Listen {
        /// The address.
        address: std::net::SocketAddr,
        /// The system's error.
        #[source]
        source: std::io::Error,
    },
    /// A key or certificate can't be used.
    #[error("cannot use {path}: {what}")]
    Tls {
        /// The file.
        path: std::path::PathBuf,
        /// What is wrong with it.
        what: String,
    },
    /// The HTTP client can't be made.
    #[error("cannot make an HTTP client")]
    Client(#[from] reqwest::Error),
}
