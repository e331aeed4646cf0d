//! `toucan`: the command-line tool for a toucanswitch fleet.

use std::process::ExitCode;

/// Prints a line to standard output. A write error is ignored, because a reader such as `head` may
/// close the output early.
macro_rules! print_line {
    ($($part:tt)*) => {{
        use std::io::Write as _;
        let _ = writeln!(std::io::stdout(), $($part)*);
    }};
}
pub(crate) use print_line;

mod audit;
mod bundle;
mod check;
mod flags;
mod keys;
mod operator;
mod plan;

/// Exit code for faults and failures.
const FAILURE: u8 = 1;

/// Exit code for wrong usage.
const USAGE: u8 = 2;

/// The result of a command that ran without an error.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Outcome {
    /// No faults were found.
    Success,
    /// Faults were found and printed.
    Faults,
    /// The arguments are invalid; the reason was printed.
    Usage,
}

fn main() -> ExitCode {
    match run(flags::Toucan::from_env_or_exit().subcommand) {
        Ok(Outcome::Success) => ExitCode::SUCCESS,
        Ok(Outcome::Faults) => ExitCode::from(FAILURE),
        Ok(Outcome::Usage) => ExitCode::from(USAGE),
        Err(error) => {
            eprintln!("toucan: {error}");
            ExitCode::from(FAILURE)
        }
    }
}

fn run(command: flags::ToucanCmd) -> eyre::Result<Outcome> {
    match command {
        flags::ToucanCmd::Check(flags) => Ok(check::run(&flags.paths)?),
        flags::ToucanCmd::Bundle(flags) => {
            bundle::run(&flags.directory, flags.revision, &flags.out)?;
            Ok(Outcome::Success)
        }
        flags::ToucanCmd::Status(flags) => {
            operator::status(flags.address)?;
            Ok(Outcome::Success)
        }
        flags::ToucanCmd::Explain(flags) => {
            operator::explain(flags.address, &flags.id)?;
            Ok(Outcome::Success)
        }
        flags::ToucanCmd::Plan(flags) => {
            plan::run(&flags)?;
            Ok(Outcome::Success)
        }
        flags::ToucanCmd::Drain(flags) => {
            operator::drain(flags.address)?;
            Ok(Outcome::Success)
        }
        flags::ToucanCmd::Audit(flags) => {
            let receipts = flags.receipts.as_deref();
            Ok(audit::run(&flags.files, &flags.keys, receipts)?)
        }
        flags::ToucanCmd::Keys(flags) => {
            let teams = flags.teams.unwrap_or_default();
            keys::run(&flags.directory, &flags.hosts, &teams)?;
            Ok(Outcome::Success)
        }
    }
}
