//! Short calls to the control and operator ports of a run.

use std::{net::SocketAddr, time::Duration};

use bytes::Bytes;

/// Longest time that a short call may take.
const LIMIT: Duration = Duration::from_secs(3);
const MAX_BODY_BYTES: usize = 16_000_000;

/// Why a short call failed.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The call could not be sent, or there was no answer.
    #[error("{url}: {cause}")]
    Send {
        /// The URL.
        url: String,
        /// Text of the cause; the error of the HTTP client cannot be sent between threads.
        cause: String,
    },
    /// The answer broke off.
    #[error("{url}: {cause}")]
    Body {
        /// The URL.
        url: String,
        /// Text of the cause.
        cause: String,
    },
    /// The status is not a success.
    #[error("{url}: status {status}: {body}")]
    Status {
        /// The URL.
        url: String,
        /// The status.
        status: u16,
        /// The answer.
        body: String,
    },
}

/// Sends a `POST`, or a `GET` when there is no body, and returns the body of the answer.
///
/// # Errors
///
/// Returns why there is no successful answer.
pub async fn call(address: SocketAddr, path: &str, body: Option<Bytes>) -> Result<Bytes, Error> {
    let url = format!("http://{address}{path}");
    let client = awc::Client::builder().timeout(LIMIT).finish();
    let sent = match body {
        Some(body) => client.post(&url).send_body(body).await,
        None => client.get(&url).send().await,
    };
    let mut reply = sent.map_err(|cause| Error::Send {
        url: url.clone(),
        cause: cause.to_string(),
    })?;
    let bytes = reply.body().limit(MAX_BODY_BYTES).await;
    let bytes = bytes.map_err(|cause| Error::Body {
        url: url.clone(),
        cause: cause.to_string(),
    })?;
    let status = reply.status();
    if status.is_success() {
        return Ok(bytes);
    }
    Err(Error::Status {
        url,
        status: status.as_u16(),
        body: String::from_utf8_lossy(&bytes).into_owned(),
    })
}

/// Sends a `GET`.
///
/// # Errors
///
/// Returns why there is no successful answer.
pub async fn get(address: SocketAddr, path: &str) -> Result<Bytes, Error> {
    call(address, path, None).await
}

/// Sends a JSON value with `POST`.
///
/// # Errors
///
/// Returns why there is no successful answer.
pub async fn post(
    address: SocketAddr,
    path: &str,
    body: &serde_json::Value,
) -> Result<Bytes, Error> {
    call(address, path, Some(Bytes::from(body.to_string()))).await
}
