//! The daemon: one process on each host with targets.

use std::{path::PathBuf, process::ExitCode};

use argh::FromArgs;
use rilltrack::{daemon::Daemon, logging, settings::Settings};

/// Run the node of this host.
#[derive(FromArgs)]
struct Args {
    /// the settings file, JSON with comments
    #[argh(option)]
    settings: PathBuf,
    /// check the settings and exit
    #[argh(switch)]
    check: bool,
}

fn main() -> ExitCode {
    let args: Args = argh::from_env();
    let settings = match Settings::read(&args.settings) {
        Ok(settings) => settings,
        Err(faults) => {
            faults.iter().for_each(|fault| eprintln!("{fault}"));
            return ExitCode::from(2);
        }
    };
    if args.check {
        println!("{}: no faults", args.settings.display());
        return ExitCode::SUCCESS;
    }
    match run(settings) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("rilltrackd: {}", logging::chain(error.as_ref()));
            ExitCode::FAILURE
        }
    }
}

/// Starts the daemon, prints its addresses and stops it on SIGTERM or SIGINT.
fn run(settings: Settings) -> Result<(), Box<dyn std::error::Error>> {
    logging::start(settings.log_file.as_deref())?;
    let daemon = Daemon::start(settings)?;
    println!("{}", daemon.addresses());
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()?;
    runtime.block_on(wait_for_signal())?;
    daemon.stop();
    Ok(())
}

/// Waits for SIGTERM or SIGINT.
async fn wait_for_signal() -> std::io::Result<()> {
    use tokio::signal::unix::{SignalKind, signal};
    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
    Ok(())
}
