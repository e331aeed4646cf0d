//! Delivery of placement orders to engines.

use std::{rc::Rc, time::Duration};

use actix_http::StatusCode;
use actix_rt::time;
use serde_json::json;
use tsw_base::name;
use tsw_event::{emit, Event};
use tsw_place::Order;

use crate::router::Router;

/// Timeout of a request that delivers an order.
const ORDER_TIMEOUT: Duration = Duration::from_secs(2);

/// Sends an order to an engine and passes the result to the placement controller.
pub async fn send(router: Rc<Router>, upstream: name::Upstream, order: Order) {
    let address = router.read_state(|state| {
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
    router.update_state(|state, now| {
        let (mut turn, control) = state.split(now);
        control.placement.handle(&mut turn, event);
    });
}

/// Logs a failed delivery. The placement controller resends an unanswered order after its retry
/// time.
fn failed(router: &Router, upstream: &name::Upstream, fence: u64, cause: &str) {
    router.metrics.orders.with_label_values(&["failed"]).inc();
    emit(
        Event::OrderFailed,
        &[("upstream", upstream), ("fence", &fence), ("cause", &cause)],
    );
}
