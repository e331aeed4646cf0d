//! The HTTP interface for operators: health, metrics, status and drain.

use std::{convert::Infallible, rc::Rc};

use actix_http::{Method, Request, StatusCode};
use serde_json::json;

use crate::{
    reply::{self, Reply},
    router::{Phase, Router},
};

/// Handles a request of an operator.
///
/// # Errors
///
/// Never fails; errors become responses.
pub async fn handle(router: Rc<Router>, request: Request) -> Result<Reply, Infallible> {
    let path = request.path();
    Ok(match (request.method(), path) {
        (&Method::GET, "/healthz") => reply::text(StatusCode::OK, "ok\n"),
        (&Method::GET, "/readyz") => ready(&router),
        (&Method::GET, "/metrics") => metrics(&router),
        (&Method::GET, "/v1/status") => reply::json(StatusCode::OK, &status(&router)),
        (&Method::POST, "/v1/drain") => {
            router.context().stop.notify_one();
            let body = json!({"draining": true, "in_flight": router.in_flight()});
            reply::json(StatusCode::ACCEPTED, &body)
        }
        (&Method::GET, path) => match path.strip_prefix("/v1/explain/") {
            Some(id) => explain(&router, id),
            None => not_found(),
        },
        _ => not_found(),
    })
}

fn not_found() -> Reply {
    let body = json!({"code": "path", "message": "there is no such path"});
    reply::json(StatusCode::NOT_FOUND, &body)
}

fn ready(router: &Router) -> Reply {
    match router.phase() {
        Phase::Ready => reply::text(StatusCode::OK, "ready\n"),
        Phase::Starting => reply::text(StatusCode::SERVICE_UNAVAILABLE, "starting\n"),
        Phase::Draining => reply::text(StatusCode::SERVICE_UNAVAILABLE, "draining\n"),
    }
}

fn metrics(router: &Router) -> Reply {
    router.read_state(|state| {
        if let Some(link) = state.out.link() {
            router.metrics.set_traffic(&link.traffic());
        }
        for (service, home) in state.board.homes.iter() {
            let gauge = router
                .metrics
                .granted
                .with_label_values(&[service.as_str()]);
            gauge.set(i64::try_from(home.running()).unwrap_or(i64::MAX));
        }
        let Some(bundle) = state.board.configuration.bundle() else {
            return;
        };
        for (service, queue) in state.board.queues.iter() {
            let waiting: usize = bundle.teams.keys().map(|team| queue.waiting(team)).sum();
            let gauge = router
                .metrics
                .waiting
                .with_label_values(&[service.as_str()]);
            gauge.set(i64::try_from(waiting).unwrap_or(i64::MAX));
        }
    });
    match router.metrics.encode() {
        Ok(bytes) => reply::text(StatusCode::OK, bytes),
        Err(error) => reply::text(StatusCode::INTERNAL_SERVER_ERROR, error.to_string()),
    }
}

fn explain(router: &Router, id: &str) -> Reply {
    let decisions = router.explain(id);
    if decisions.is_empty() {
        let body = json!({"code": "request", "message": "no recent decision about this request"});
        return reply::json(StatusCode::NOT_FOUND, &body);
    }
    let body = json!({"request_id": id, "decisions": decisions});
    reply::json(StatusCode::OK, &body)
}

fn status(router: &Router) -> serde_json::Value {
    let phase = match router.phase() {
        Phase::Starting => "starting",
        Phase::Ready => "ready",
        Phase::Draining => "draining",
    };
    router.read_state(|state| {
        let board = &state.board;
        let peers = board.fleet.peers().map(|(id, domain, state)| {
            json!({
                "host": id.host,
                "incarnation": id.incarnation.to_string(),
                "domain": domain,
                "state": format!("{state:?}").to_lowercase(),
            })
        });
        let services = board.hosts.upstreams.iter().map(|(name, upstream)| {
            let home = board.homes.get(&upstream.service);
            let usage = home.and_then(|home| home.usage(name));
            json!({
                "upstream": name,
                "service": upstream.service,
                "leaving": state.control.membership.is_leaving(name, upstream),
                "home": state.control.scheduling.is_home(name),
                "running": usage.map(|usage| usage.0),
                "limit": usage.map(|usage| usage.1),
            })
        });
        json!({
            "host": router.id().host,
            "incarnation": router.id().incarnation.to_string(),
            "domain": router.settings().domain,
            "phase": phase,
            "bundle_revision": board.configuration.revision(),
            "hosts_revision": board.hosts.revision,
            "in_flight": router.in_flight(),
            "waiting": state.control.scheduling.waiting(),
            "peers": peers.collect::<Vec<_>>(),
            "upstreams": services.collect::<Vec<_>>(),
        })
    })
}
