//! `toucand`, the router daemon.

mod flags;

use std::{env, fs, io, os::unix::process::CommandExt as _, panic, path::Path, process};

use eyre::WrapErr as _;
use tsw_base::host;
use tsw_config::{gateway, settings::Settings};
use tsw_event::contained;
use tsw_gate::signals::Signals;

/// Exit status after a panic, the same as that of the standard library.
const PANIC_STATUS: i32 = 101;

/// Installs a panic hook that exits the process unless the panic is contained. By default a panic ends
/// only its task, and a router that has lost one of its timers would not work, but its peers would not
/// replace it either.
fn end_on_panic() {
    let print = panic::take_hook();
    panic::set_hook(Box::new(move |info| {
        print(info);
        let contained = contained::is_contained();
        tsw_event::emit(
            tsw_event::Event::Panicked,
            &[("cause", info), ("contained", &contained)],
        );
        if !contained {
            tsw_event::bounded::flush();
            process::exit(PANIC_STATUS);
        }
    }));
}

fn main() -> eyre::Result<()> {
    let system = actix_rt::System::new();
    let signals = system.block_on(async { Signals::new() });
    let signals = signals.wrap_err("cannot handle signals")?;
    let flags = flags::Toucand::from_env_or_exit();
    end_on_panic();
    if gateway::Settings::is_gateway_format(&fs::read_to_string(&flags.config).unwrap_or_default())
    {
        system.block_on(tsw_gate::serve::run(flags.config, signals))?;
        return Ok(());
    }
    let settings = Settings::load(&flags.config)?;
    tsw_event::setup::init(&settings.log)?;
    let earlier = flags.after.map(host::Incarnation::from_number);
    match system.block_on(toucand::serve::run(settings, signals, earlier))? {
        Some(superseded) => Err(start_again(&flags.config, superseded).into()),
        None => Ok(()),
    }
}

/// Replaces this process by one whose run follows another one. Returns only if that fails.
fn start_again(config: &Path, superseded: host::Incarnation) -> io::Error {
    tsw_event::bounded::flush();
    let program = env::current_exe().unwrap_or_else(|_| "toucand".into());
    let mut command = process::Command::new(program);
    command.arg("--config").arg(config);
    command.arg("--after").arg(superseded.get().to_string());
    command.exec()
}
