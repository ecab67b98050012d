//! A stand-in for the platform's log, in memory, to try daemons with:
//!
//!     cargo run --release --example log -- 127.0.0.1:9000
//!
//! Runs for an hour. What it holds is gone with it.

#[path = "../tests/support/mod.rs"]
mod support;

use std::{net::SocketAddr, thread, time::Duration};

use argh::FromArgs;

/// Runs a stand-in for the platform's log.
#[derive(FromArgs)]
struct Args {
    /// where it listens
    #[argh(positional)]
    address: SocketAddr,
}

fn main() {
    let args: Args = argh::from_env();
    let log = support::log::Log::start_at(args.address);
    println!("the log listens on {}", log.address);
    thread::sleep(Duration::from_secs(3600));
}
