//! The program `tsw-fake`.
//!
//! It prints one line `ready NAME=ADDRESS .. control=ADDRESS` once it is listening, and stops on
//! SIGTERM or SIGINT.

use std::{net::SocketAddr, time::Duration};

use eyre::Context as _;
use log4rs::{
    append::console,
    config::{Appender, Config, Root},
};
use tokio::signal::unix;
use tsw_fake::{booking, engine, history, names, platform};

mod flags;

/// Any free port on loopback.
const ANY_PORT: SocketAddr = SocketAddr::new(
    std::net::IpAddr::V4(std::net::Ipv4Addr::new(127, 0, 0, 1)),
    0,
);

fn main() -> eyre::Result<()> {
    let flags = flags::TswFake::from_env_or_exit();
    log_to_stderr()?;
    actix_rt::System::new().block_on(async {
        match flags.subcommand {
            flags::TswFakeCmd::Platform(flags) => run_platform(flags).await,
            flags::TswFakeCmd::Engine(flags) => run_engine(flags).await,
            flags::TswFakeCmd::Booking(flags) => run_booking(flags).await,
        }
    })
}

fn log_to_stderr() -> eyre::Result<()> {
    let appender = console::ConsoleAppender::builder()
        .target(console::Target::Stderr)
        .build();
    let appender = Appender::builder().build("stderr", Box::new(appender));
    let root = Root::builder()
        .appender("stderr")
        .build(log::LevelFilter::Warn);
    let config = Config::builder().appender(appender).build(root)?;
    log4rs::init_config(config).wrap_err("cannot set up logging")?;
    Ok(())
}

async fn run_platform(flags: flags::Platform) -> eyre::Result<()> {
    let defaults = platform::Options::default();
    let options = platform::Options {
        listen: flags.listen,
        control: flags.control,
        config_rate: flags.config_rate.unwrap_or(defaults.config_rate),
        host_lag_ms: flags.host_lag_ms.unwrap_or(defaults.host_lag_ms),
        weight_rate: flags.weight_rate.unwrap_or(defaults.weight_rate),
        weight_bytes: flags.weight_bytes.unwrap_or(defaults.weight_bytes),
    };
    let platform = platform::Platform::bind(options).await?;
    let listen = [("listen".to_owned(), platform.address())];
    serve(&listen, platform.control()).await
}

async fn run_engine(flags: flags::Engine) -> eyre::Result<()> {
    let defaults = engine::Options::default();
    let timing = engine::timing::Timing {
        slots: flags.slots.unwrap_or(defaults.timing.slots),
        base_us: flags.base_us.unwrap_or(defaults.timing.base_us),
        slope_us: flags.slope_us.unwrap_or(defaults.timing.slope_us),
        overload_us: flags.overload_us.unwrap_or(defaults.timing.overload_us),
        prefill_us: flags.prefill_us.unwrap_or(defaults.timing.prefill_us),
    };
    let millis = |value: Option<u64>, default| value.map_or(default, Duration::from_millis);
    let names = names_and_addresses(&flags.name, &flags.listen, flags.count, flags.step)?;
    let crash = crash(names.len(), flags.down_ms, flags.exit_on_crash);
    let options = engine::Options {
        timing,
        batch_limit: flags.batch_limit.unwrap_or(defaults.batch_limit),
        prefill_chunk: flags.prefill_chunk.unwrap_or(defaults.prefill_chunk),
        cache_blocks: flags.cache_blocks.unwrap_or(defaults.cache_blocks),
        load_lag: millis(flags.load_lag_ms, defaults.load_lag),
        event_lag: millis(flags.event_lag_ms, defaults.event_lag),
        event_gap: flags.event_gap.unwrap_or(defaults.event_gap),
        version: flags.version_stated,
        fencing: flags.fencing.unwrap_or(defaults.fencing),
        weights: flags.weights,
        crash,
    };
    let history = history::Writer::open(flags.history.as_deref())?;
    let control = flags.control.unwrap_or(ANY_PORT);
    let fleet = engine::Fleet::bind(&names, control, options, history).await?;
    serve(fleet.addresses(), fleet.control()).await
}

async fn run_booking(flags: flags::Booking) -> eyre::Result<()> {
    let defaults = booking::Options::default();
    let names = names_and_addresses(&flags.name, &flags.listen, flags.count, flags.step)?;
    let options = booking::Options {
        service_time: flags
            .service_ms
            .map_or(defaults.service_time, Duration::from_millis),
        slots: flags.slots.unwrap_or(defaults.slots),
        crash: crash(names.len(), flags.down_ms, flags.exit_on_crash),
    };
    let history = history::Writer::open(flags.history.as_deref())?;
    let control = flags.control.unwrap_or(ANY_PORT);
    let fleet = booking::Fleet::bind(&names, control, options, history).await?;
    serve(fleet.addresses(), fleet.control()).await
}

fn names_and_addresses(
    name: &str,
    listen: &[SocketAddr],
    count: Option<usize>,
    step: Option<names::Step>,
) -> eyre::Result<Vec<(String, SocketAddr)>> {
    let count = count.unwrap_or(1);
    let names = names::expand(name, listen, count, step.unwrap_or_default())?;
    Ok(names)
}

fn crash(count: usize, down_ms: Option<u64>, exit: bool) -> engine::Crash {
    let defaults = engine::Options::default().crash;
    engine::Crash {
        exit: exit || (count == 1 && down_ms.is_none()),
        down_ms: down_ms.unwrap_or(defaults.down_ms),
    }
}

async fn serve(listen: &[(String, SocketAddr)], control: SocketAddr) -> eyre::Result<()> {
    let mut line = "ready".to_owned();
    for (name, address) in listen {
        line.push_str(&format!(" {name}={address}"));
    }
    // The signal handler is installed before the line is printed, because a reader of the line may
    // stop the program immediately.
    let mut terminated = unix::signal(unix::SignalKind::terminate())?;
    println!("{line} control={control}");
    tokio::select! {
        _ = terminated.recv() => Ok(()),
        interrupted = tokio::signal::ctrl_c() => Ok(interrupted?),
    }
}
