//! Loading of models from the weight store after an order.

use std::time::Duration;

use awc::http::{header, StatusCode};

use super::Engine;

/// Wait after an answer other than the weights that does not say how long to wait.
const RETRY: Duration = Duration::from_millis(500);

/// Largest size of a model in the weight store, in bytes.
const MAX_BYTES: usize = 64_000_000;

/// Loads the models that `order` names and that are not loaded yet, one after the other. Ends when
/// a newer order arrives or the engine crashes.
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
                    engine.state().loaded(order, model);
                    continue;
                }
            }
            Ok(response) => {
                let wait = response.headers().get(header::RETRY_AFTER);
                let secs = wait.and_then(|value| value.to_str().ok()?.parse().ok());
                let wait = secs.map_or(RETRY, Duration::from_secs);
                engine.state().stats.weights_refused += 1;
                actix_rt::time::sleep(wait).await;
                continue;
            }
            Err(error) => log::warn!("cannot load {url}: {error}"),
        }
        actix_rt::time::sleep(RETRY).await;
    }
}
