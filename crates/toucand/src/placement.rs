//! Controller of the models on engines, and the delivery of its orders.

use std::{rc::Rc, time::Duration};

use actix_http::StatusCode;
use actix_rt::time;
use indexmap::IndexMap;
use serde_json::json;
use tsw_base::name;
use tsw_board::Pen;
use tsw_config::service;
use tsw_event::{emit, Event};
use tsw_place::{plan, Dispatch, Order};

use crate::{router::Router, task, turn::Turn};

/// Longest time for an order.
const ORDER_TIMEOUT: Duration = Duration::from_secs(2);

/// Owner of the section about placement.
#[derive(Debug)]
pub struct Controller {
    pen: Pen<Dispatch>,
}

impl Controller {
    /// Takes the pen.
    #[must_use]
    pub const fn new(pen: Pen<Dispatch>) -> Self {
        Self { pen }
    }

    /// Brings the orders in step with bundle and host list. `is_owned` tells which engines this
    /// router is home of.
    pub fn update(
        &self,
        turn: &mut Turn<'_>,
        is_owned: impl Fn(&name::Upstream) -> bool,
        is_leaving: impl Fn(&name::Upstream, &tsw_board::hosts::Upstream) -> bool,
    ) {
        let Some(bundle) = turn.board.configuration.bundle().cloned() else {
            return;
        };
        let engines: Vec<plan::Engine> = turn
            .board
            .hosts
            .upstreams
            .iter()
            .filter(|(_, upstream)| {
                let service = bundle.services.get(&upstream.service);
                service.is_some_and(|s| s.kind == service::Kind::Model && !s.models.is_empty())
            })
            .map(|(name, upstream)| plan::Engine {
                upstream: name.clone(),
                domain: upstream.domain.clone(),
                service: upstream.service.clone(),
                leaving: is_leaving(name, upstream),
            })
            .collect();
        let fencing = |name: &name::Upstream| {
            let service = &turn.board.hosts.upstreams.get(name)?.service;
            Some(bundle.services.get(service)?.fencing)
        };
        let orders: IndexMap<_, _> = plan::orders(&bundle, &engines)
            .into_iter()
            .filter(|(name, _)| is_owned(name))
            .filter_map(|(name, order)| {
                let fencing = fencing(&name)?;
                Some((name, (order, fencing)))
            })
            .collect();
        let event = tsw_place::Event::Desired {
            orders,
            engines: engines.len(),
        };
        self.handle(turn, event);
    }

    /// Gives an event to the dispatch and carries out what follows.
    pub fn handle(&self, turn: &mut Turn<'_>, event: tsw_place::Event) {
        for command in turn
            .board
            .placement
            .write(&self.pen)
            .handle(turn.now, event)
        {
            turn.out.start(task::Task::Order {
                upstream: command.upstream,
                order: command.order,
            });
        }
    }
}

/// Sends an order to an engine and reports what became of it.
pub async fn send(router: Rc<Router>, upstream: name::Upstream, order: Order) {
    let address = router.look(|state| {
        let listed = state.board.hosts.upstreams.get(&upstream);
        listed.map(|listed| listed.address)
    });
    let Some(address) = address else {
        return;
    };
    let fence = order.fence;
    let models: Vec<&str> = order.models.iter().map(name::Model::as_str).collect();
    emit(
        Event::OrderSent,
        &[
            ("upstream", &upstream),
            ("fence", &fence),
            ("models", &models.join(",")),
        ],
    );
    let body = json!({"fence": fence, "models": models, "role": order.role});
    let url = format!("http://{address}/v1/orders");
    let sending = router.client.post(url).send_json(&body);
    let status = match time::timeout(ORDER_TIMEOUT, sending).await {
        Ok(Ok(response)) => response.status(),
        Ok(Err(error)) => return failed(&router, &upstream, fence, &error.to_string()),
        Err(_) => return failed(&router, &upstream, fence, "no answer in time"),
    };
    let (event, result) = match status {
        StatusCode::CONFLICT => {
            emit(
                Event::OrderRefused,
                &[("upstream", &upstream), ("fence", &fence)],
            );
            (tsw_place::Event::Stale { upstream, fence }, "stale")
        }
        status if status.is_success() => {
            (tsw_place::Event::Accepted { upstream, fence }, "accepted")
        }
        status => return failed(&router, &upstream, fence, &status.to_string()),
    };
    router.metrics.orders.with_label_values(&[result]).inc();
    router.act(|state, now| {
        let (mut turn, control) = state.split(now);
        control.placement.handle(&mut turn, event);
    });
}

/// The dispatch sends an unanswered order again after its retry time.
fn failed(router: &Router, upstream: &name::Upstream, fence: u64, cause: &str) {
    router.metrics.orders.with_label_values(&["failed"]).inc();
    emit(
        Event::OrderFailed,
        &[("upstream", upstream), ("fence", &fence), ("cause", &cause)],
    );
}
