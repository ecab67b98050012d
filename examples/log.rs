//! A stand-in for the platform's log, in memory, for daemons under trial:
//!
//!     cargo run --release --example log -- 127.0.0.1:9000
//!
//! It runs for an hour. Its records are lost when it ends.

#[path = "../tests/support/mod.rs"]
mod support;

use std::{net::SocketAddr, thread, time::Duration};

use argh::FromArgs;

/// Runs a stand-in for the platform's log.
#[derive(FromArgs)]
struct Args {
    /// address to listen on
    #[argh(positional)]
    address: SocketAddr,
}

fn main() {
    let args: Args = argh::from_env();
    let log = support::log::Log::start_at(args.address);
    println!("the log listens on {}", log.address);
    thread::sleep(Duration::from_secs(3600));
}
