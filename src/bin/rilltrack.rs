//! The operators' command-line tool.

use std::process::ExitCode;

fn main() -> ExitCode {
    rilltrack::tool::run(argh::from_env())
}
