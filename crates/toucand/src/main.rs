//! `toucand`, the router daemon.

mod flags;

use std::{fs, panic, process};

use tsw_config::{gateway, settings::Settings};

/// Status of a process that ended because of a panic, as the standard library has it.
const PANIC_STATUS: i32 = 101;

/// Ends the process on a panic. Without this only the task would end, and a router without one of
/// its timers would neither work nor be replaced by its peers.
fn end_on_panic() {
    let print = panic::take_hook();
    panic::set_hook(Box::new(move |info| {
        print(info);
        tsw_event::emit(tsw_event::Event::Panicked, &[("cause", info)]);
        tsw_event::bounded::flush();
        process::exit(PANIC_STATUS);
    }));
}

fn main() -> eyre::Result<()> {
    let flags = flags::Toucand::from_env_or_exit();
    let system = actix_rt::System::new();
    end_on_panic();
    if gateway::Settings::is_gateway_format(&fs::read_to_string(&flags.config).unwrap_or_default())
    {
        system.block_on(tsw_gate::serve::run(flags.config))?;
        return Ok(());
    }
    let settings = Settings::load(&flags.config)?;
    tsw_event::setup::init(&settings.log)?;
    system.block_on(toucand::serve::run(settings))?;
    Ok(())
}
