//! Load generator, experiments and checks for a fleet of routers.

use std::{fs, path::PathBuf};

use eyre::Context as _;
use tsw_load::baseline;

mod flags {
    use std::path::PathBuf;

    xflags::xflags! {
        /// Load generator, experiments and checks for a fleet of routers. Test only.
        cmd tsw-load {
            /// Run a baseline router; started by experiments.
            cmd baseline-router {
                /// File with the settings.
                required --config file: PathBuf
            }
        }
    }
}

fn main() -> eyre::Result<()> {
    let flags = flags::TswLoad::from_env_or_exit();
    actix_rt::System::new().block_on(async {
        match flags.subcommand {
            flags::TswLoadCmd::BaselineRouter(flags) => run_baseline(flags.config).await,
        }
    })
}

async fn run_baseline(path: PathBuf) -> eyre::Result<()> {
    let bytes = fs::read(&path).wrap_err_with(|| format!("cannot read {}", path.display()))?;
    let config: baseline::Config = serde_json::from_slice(&bytes)?;
    baseline::run(config).await?;
    Ok(())
}
