//! Loads models from the weight store after an order.

use std::time::Duration;

use awc::http::{header, StatusCode};

use super::Engine;

/// Delay of a retry after an error, and after a refusal without `Retry-After`.
const RETRY_DELAY: Duration = Duration::from_millis(500);

/// Maximum size of a model in the weight store, in bytes.
const MAX_BYTES: usize = 64_000_000;

/// Loads the models of order number `order` that are not loaded yet, one after the other. Returns
/// early if a newer order arrives or the engine crashes.
pub(super) async fn load(engine: Engine, base: String, order: u64) {
    let client = awc::Client::default();
    loop {
        let Some(model) = engine.state().next_model(order) else {
            return;
        };
        let url = format!("{}/v1/weights/{model}", base.trim_end_matches('/'));
        match client.get(&url).send().await {
            Ok(mut response) if response.status() == StatusCode::OK => {
                if response.body().limit(MAX_BYTES).await.is_ok() {
                    engine.state().record_loaded(order, model);
                    continue;
                }
            }
            Ok(response) => {
                let retry_after = response.headers().get(header::RETRY_AFTER);
                let seconds = retry_after.and_then(|value| value.to_str().ok()?.parse().ok());
                let delay = seconds.map_or(RETRY_DELAY, Duration::from_secs);
                engine.state().stats.weights_refused += 1;
                actix_rt::time::sleep(delay).await;
                continue;
            }
            Err(error) => log::warn!("cannot load {url}: {error}"),
        }
        actix_rt::time::sleep(RETRY_DELAY).await;
    }
}
