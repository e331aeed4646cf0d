//! HTTP requests to the control and operator ports of a fleet.

use std::{net::SocketAddr, time::Duration};

use bytes::Bytes;

/// Timeout of a request.
const TIMEOUT: Duration = Duration::from_secs(3);
const MAX_BODY_BYTES: usize = 16_000_000;

/// Why a request failed.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The request could not be sent, or there was no response.
    #[error("{url}: {cause}")]
    Send {
        /// The URL.
        url: String,
        /// Message of the cause, because the error type of the HTTP client is not `Send`.
        cause: String,
    },
    /// The response body is incomplete or too large.
    #[error("{url}: {cause}")]
    Body {
        /// The URL.
        url: String,
        /// Message of the cause.
        cause: String,
    },
    /// The status is not successful.
    #[error("{url}: status {status}: {body}")]
    Status {
        /// The URL.
        url: String,
        /// The status.
        status: u16,
        /// The response body.
        body: String,
    },
}

/// Sends a `POST` request, or a `GET` request when there is no body, and returns the body of the
/// response.
///
/// # Errors
///
/// Returns an error when there is no successful response.
pub async fn request(address: SocketAddr, path: &str, body: Option<Bytes>) -> Result<Bytes, Error> {
    let url = format!("http://{address}{path}");
    let client = awc::Client::builder().timeout(TIMEOUT).finish();
    let response = match body {
        Some(body) => client.post(&url).send_body(body).await,
        None => client.get(&url).send().await,
    };
    let mut response = response.map_err(|cause| Error::Send {
        url: url.clone(),
        cause: cause.to_string(),
    })?;
    let bytes = response.body().limit(MAX_BODY_BYTES).await;
    let bytes = bytes.map_err(|cause| Error::Body {
        url: url.clone(),
        cause: cause.to_string(),
    })?;
    let status = response.status();
    if status.is_success() {
        return Ok(bytes);
    }
    Err(Error::Status {
        url,
        status: status.as_u16(),
        body: String::from_utf8_lossy(&bytes).into_owned(),
    })
}

/// Sends a `GET` request.
///
/// # Errors
///
/// Returns an error when there is no successful response.
pub async fn get(address: SocketAddr, path: &str) -> Result<Bytes, Error> {
    request(address, path, None).await
}

/// Sends a `POST` request with a JSON body.
///
/// # Errors
///
/// Returns an error when there is no successful response.
pub async fn post(
    address: SocketAddr,
    path: &str,
    body: &serde_json::Value,
) -> Result<Bytes, Error> {
    request(address, path, Some(Bytes::from(body.to_string()))).await
}
