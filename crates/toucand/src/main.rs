//! `toucand`, the router daemon.

mod flags;

use tsw_config::settings::Settings;

fn main() -> eyre::Result<()> {
    let flags = flags::Toucand::from_env_or_exit();
    let settings = Settings::load(&flags.config)?;
    tsw_event::setup::init(&settings.log)?;
    let system = actix_rt::System::new();
    system.block_on(toucand::serve::run(settings))?;
    Ok(())
}
