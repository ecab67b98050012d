//! Orders for roll-outs, and the status of an order that operators read.

use crate::{
    id::{Name, Release},
    unit::Span,
};

/// An operator's order to move the requests of a service to the targets of another release.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Order {
    /// The service.
    pub service: Name,
    /// The new release.
    pub to: Release,
    /// How long the roll-out may take.
    pub duration: Span,
}

/// The status of an order, as operators read it from the store.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Status {
    /// The service.
    pub service: Name,
    /// The new release.
    pub to: Release,
    /// The offset of the order in the store, which distinguishes two orders for one release;
    /// `None` if another program wrote the status.
    pub order: Option<u64>,
    /// The state of the order.
    pub state: State,
}

/// The state of an order in its status.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum State {
    /// The roll-out is neither completed nor rolled back yet.
    Running,
    /// The new release serves.
    Completed,
    /// The new release gets no requests.
    RolledBack,
}
