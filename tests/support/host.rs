//! A host process's state without its background tasks.

use std::sync::Arc;

use rilltrack::{
    coordination::{host::Host, interface::Decoders},
    document::Document,
    event::Journal,
    host::Settings,
    protocol::dialect::Dialect,
};

/// Returns the state of a process with these settings, which decodes nothing of the platform's.
pub fn starting(settings: &str) -> Host {
    let document = Document::parse("host", settings).unwrap();
    let decoders = Decoders {
        routes: Arc::new(|_| unreachable!("the test decodes no version")),
        order: Arc::new(|_| unreachable!("the test decodes no order")),
        target_call: Arc::new(|_, _, _| unreachable!("no target calls in this test")),
        acknowledgement: Default::default(),
        dialect: Dialect::default(),
    };
    let journal = Journal::start_json("me", Box::new(std::io::sink()));
    let settings = Settings::from_document(&document).unwrap();
    Host::new(settings, decoders, journal)
}
