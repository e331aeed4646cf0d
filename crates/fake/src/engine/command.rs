//! The control calls of tests.

use std::{rc::Rc, time::Duration};

use actix_http::StatusCode;
use indexmap::IndexMap;
use serde::Deserialize;

use super::{Crash, Engine};
use crate::http;

#[derive(Deserialize)]
struct Slow {
    factor: f64,
    #[serde(default)]
    for_ms: Option<u64>,
}

#[derive(Deserialize)]
struct Leave {
    #[serde(default = "yes")]
    leaving: bool,
}

fn yes() -> bool {
    true
}

#[derive(Deserialize)]
struct Load {
    lag_ms: u64,
}

pub(super) fn handler(engines: Rc<IndexMap<String, Engine>>) -> http::Handler {
    Rc::new(move |call| {
        let engines = Rc::clone(&engines);
        Box::pin(async move { route(&engines, &call).unwrap_or_else(|reply| reply) })
    })
}

fn route(
    engines: &IndexMap<String, Engine>,
    call: &http::Call,
) -> Result<http::Reply, http::Reply> {
    let chosen = call.select(engines)?;
    let each = |action: &dyn Fn(&Engine)| chosen.values().for_each(|engine| action(engine));
    match call.path.as_str() {
        "/control/slow" => {
            let slow: Slow = call.json()?;
            let time = slow.for_ms.map(Duration::from_millis);
            each(&|engine| engine.slow(slow.factor.max(0.0), time));
        }
        "/control/crash" => {
            let crash: Option<Crash> = match call.body.is_empty() {
                true => None,
                false => Some(call.json()?),
            };
            each(&|engine| {
                let usual = engine.state().options.crash;
                engine.crash(crash.unwrap_or(usual));
            });
        }
        "/control/leave" => {
            let leave: Leave = call.json()?;
            each(&|engine| engine.leave(leave.leaving));
        }
        "/control/load" => {
            let load: Load = call.json()?;
            let lag = Duration::from_millis(load.lag_ms);
            each(&|engine| engine.state().load.set_lag(lag));
        }
        "/control/stats" => {
            let stats: IndexMap<_, _> = chosen
                .iter()
                .map(|(name, engine)| (*name, engine.stats()))
                .collect();
            return Ok(http::json(StatusCode::OK, &stats));
        }
        _ => return Err(http::missing(call)),
    }
    Ok(http::done())
}
