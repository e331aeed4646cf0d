//! The control calls of engines.

use std::{rc::Rc, time::Duration};

use actix_http::StatusCode;
use indexmap::IndexMap;
use serde::Deserialize;

use super::{Crash, Engine};
use crate::http;

#[derive(Deserialize)]
struct SlowCall {
    factor: f64,
    #[serde(default)]
    for_ms: Option<u64>,
}

#[derive(Deserialize)]
struct LeaveCall {
    #[serde(default = "default_leaving")]
    leaving: bool,
}

fn default_leaving() -> bool {
    true
}

#[derive(Deserialize)]
struct LoadCall {
    lag_ms: u64,
}

pub(super) fn handler(engines: Rc<IndexMap<String, Engine>>) -> http::Handler {
    Rc::new(move |call| {
        let engines = Rc::clone(&engines);
        Box::pin(async move { route(&engines, &call).unwrap_or_else(|response| response) })
    })
}

fn route(
    engines: &IndexMap<String, Engine>,
    call: &http::Call,
) -> Result<http::HttpResponse, http::HttpResponse> {
    let chosen = call.select(engines)?;
    let for_each = |action: &dyn Fn(&Engine)| chosen.values().for_each(|engine| action(engine));
    match call.path.as_str() {
        "/control/slow" => {
            let slow: SlowCall = call.json()?;
            let duration = slow.for_ms.map(Duration::from_millis);
            for_each(&|engine| engine.slow(slow.factor.max(0.0), duration));
        }
        "/control/crash" => {
            let crash: Option<Crash> = match call.body.is_empty() {
                true => None,
                false => Some(call.json()?),
            };
            for_each(&|engine| {
                let default = engine.state().options.crash;
                engine.crash(crash.unwrap_or(default));
            });
        }
        "/control/leave" => {
            let leave: LeaveCall = call.json()?;
            for_each(&|engine| engine.leave(leave.leaving));
        }
        "/control/load" => {
            let load: LoadCall = call.json()?;
            let lag = Duration::from_millis(load.lag_ms);
            for_each(&|engine| engine.state().load.set_lag(lag));
        }
        "/control/stats" => {
            let stats: IndexMap<_, _> = chosen
                .iter()
                .map(|(name, engine)| (*name, engine.stats()))
                .collect();
            return Ok(http::json(StatusCode::OK, &stats));
        }
        _ => return Err(http::not_found(call)),
    }
    Ok(http::ok())
}
