//! rilltrack.
pub mod coordination;
pub mod daemon;
pub mod document;
pub mod event;
pub mod files;
pub mod id;
pub mod logging;
pub mod metrics;
pub mod protocol;
pub mod settings;
pub mod state;
pub mod tool;
pub mod transport;
pub mod unit;
