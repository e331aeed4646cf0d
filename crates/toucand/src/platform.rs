//! Client of the platform's services: host list and configuration.

use std::time::Duration;

use actix_http::StatusCode;
use actix_rt::time;
use awc::error::{PayloadError, SendRequestError};
use bytes::Bytes;
use tsw_board::hosts::List;
use tsw_config::bundle;

use crate::hosts;

/// Timeout of a read, in addition to the wait time of a long poll.
const READ_TIMEOUT: Duration = Duration::from_millis(900);
const HOSTS_MAX_BYTES: usize = 8_000_000;

/// Why a read from the platform failed.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The request could not be sent, or no response arrived.
    #[error("cannot read {url}: {cause}; check the settings under platform and the service there")]
    Unreachable {
        /// The URL.
        url: String,
        /// The underlying error.
        cause: String,
    },
    /// The response did not arrive in time.
    #[error("{url} does not answer; check the settings under platform and the service there")]
    Timeout {
        /// The URL.
        url: String,
    },
    /// The service responded with an error status.
    #[error("{url} answers with status {status}; check the service there")]
    Status {
        /// The URL.
        url: String,
        /// The status.
        status: StatusCode,
    },
    /// The body of the response could not be read.
    #[error("the response of {url} cannot be read: {source}")]
    Payload {
        /// The URL.
        url: String,
        /// The underlying error.
        source: PayloadError,
    },
    /// The host list could not be parsed.
    #[error("the host list of {url} cannot be read: {source}; correct the service there")]
    Hosts {
        /// The URL.
        url: String,
        /// The underlying error.
        source: serde_json::Error,
    },
}

fn send_error(url: &str, error: &SendRequestError) -> Error {
    match error {
        SendRequestError::Timeout => Error::Timeout {
            url: url.to_owned(),
        },
        error => Error::Unreachable {
            url: url.to_owned(),
            cause: error.to_string(),
        },
    }
}

async fn fetch(
    client: &awc::Client,
    url: &str,
    wait: Duration,
    limit: usize,
) -> Result<Option<Bytes>, Error> {
    let timeout = wait + READ_TIMEOUT;
    let reading = async {
        let mut response = client
            .get(url)
            .timeout(timeout)
            .send()
            .await
            .map_err(|error| send_error(url, &error))?;
        match response.status() {
            StatusCode::OK => {}
            StatusCode::NOT_MODIFIED => return Ok(None),
            status => {
                return Err(Error::Status {
                    url: url.to_owned(),
                    status,
                })
            }
        }
        let body = response.body().limit(limit).await;
        body.map(Some).map_err(|source| Error::Payload {
            url: url.to_owned(),
            source,
        })
    };
    time::timeout(timeout, reading).await.unwrap_or_else(|_| {
        Err(Error::Timeout {
            url: url.to_owned(),
        })
    })
}

/// Fetches the host list for `host`.
///
/// # Errors
///
/// Returns why the list cannot be fetched.
pub async fn fetch_hosts(
    client: &awc::Client,
    base: &str,
    host: &tsw_base::name::Host,
) -> Result<(List, Vec<hosts::EntryError>), Error> {
    let url = format!("{}/v1/hosts?from={host}", base.trim_end_matches('/'));
    let body = fetch(client, &url, Duration::ZERO, HOSTS_MAX_BYTES).await?;
    hosts::parse(&body.unwrap_or_default()).map_err(|source| Error::Hosts { url, source })
}

/// Fetches the bundle. If `wait` is not zero, waits up to `wait` for a revision above `after`, and
/// returns `None` if there is none.
///
/// # Errors
///
/// Returns why the bundle cannot be fetched.
pub async fn fetch_bundle(
    client: &awc::Client,
    base: &str,
    after: u64,
    wait: Duration,
) -> Result<Option<Bytes>, Error> {
    let base = base.trim_end_matches('/');
    let mut url = format!("{base}/v1/values/{}", bundle::KEY);
    if !wait.is_zero() {
        url = format!("{url}?after={after}&wait_ms={}", wait.as_millis());
    }
    fetch(client, &url, wait, bundle::MAX_BYTES).await
}
