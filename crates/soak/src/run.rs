//! Plays a seed.

use std::{
    cell::Cell,
    path::Path,
    rc::Rc,
    time::{Duration, Instant},
};

use eyre::Result;
use tokio::{task, time};

use crate::{client, fault, fleet::Fleet};

/// Routers, upstreams and clients of a run.
const ROUTERS: usize = 3;
const UPSTREAMS: usize = 6;
const CLIENTS: usize = 8;
/// Time before the first fault, in which the fleet must begin to serve.
const CALM: Duration = Duration::from_secs(3);
/// Time after the last fault within which service is back, as the operators state it.
const RECOVERY: Duration = Duration::from_secs(15);
/// Time in which requests are counted after that.
const TAIL: Duration = Duration::from_secs(2);
/// Part of the requests that must be served then, as the operators state it.
const SERVED: f64 = 0.25;

/// What a run showed.
#[derive(Debug)]
pub struct Outcome {
    /// Requests that clients sent.
    pub requests: usize,
    /// Part of them that were served.
    pub served: f64,
    /// Part of those after the recovery that were served.
    pub served_after: f64,
    /// Faults that were played.
    pub faults: Vec<fault::Step>,
    /// Broken promises.
    pub broken: Vec<String>,
}

/// Plays the faults of a seed, which begin and end within `length`. Logs of the routers are written
/// to `directory`.
///
/// # Errors
///
/// Returns why the run cannot be played.
pub async fn play(
    program: &Path,
    directory: &Path,
    seed: u64,
    length: Duration,
) -> Result<Outcome> {
    let fleet = Fleet::start(program, directory, (ROUTERS, UPSTREAMS), seed).await?;
    let shared = Rc::new(client::Shared {
        routers: fleet.routers.iter().map(|router| router.address).collect(),
        ledger: fleet.ledger().clone(),
        run: Cell::new(true),
    });
    let clients: Vec<_> = (0..CLIENTS)
        .map(|number| task::spawn_local(client::run(shared.clone(), number, seed)))
        .collect();
    time::sleep(CALM).await;
    let start = time::Instant::now();
    let faults = fault::draw(seed, length, ROUTERS, UPSTREAMS);
    let mut played = Vec::new();
    for step in &faults {
        time::sleep_until(start + step.at).await;
        let applied = fleet.clone().apply(step.fault, step.lasts);
        played.push(task::spawn_local(applied));
    }
    for played in played {
        played.await??;
    }
    time::sleep(RECOVERY).await;
    let recovered = Instant::now();
    time::sleep(TAIL).await;
    shared.run.set(false);
    for client in clients {
        client.await?;
    }
    fleet.stop().await;
    let ledger = fleet.ledger().borrow();
    let mut broken = ledger.check();
    broken.extend(fleet.exits.take());
    let served_after = ledger.served(recovered);
    if served_after < SERVED {
        broken.push(format!(
            "{served_after:.2} of the requests served after the recovery"
        ));
    }
    let begin = start.into_std() - CALM;
    Ok(Outcome {
        requests: ledger.requests.len(),
        served: ledger.served(begin),
        served_after,
        faults,
        broken,
    })
}
