//! `toucan status`, `toucan explain` and `toucan drain`: calls to the operator port of a router.

use std::{net::SocketAddr, time::Duration};

use awc::http::{Method, StatusCode};

const TIMEOUT: Duration = Duration::from_secs(10);

/// Largest response that is shown, in bytes.
const MAX_BYTES: usize = 16_000_000;

/// Why a router gave no answer.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The router cannot be reached.
    #[error("cannot reach a router at {address}: {cause}; give the operator address of a running router")]
    Unreachable {
        /// The address.
        address: SocketAddr,
        /// The cause.
        cause: String,
    },
    /// The router knows nothing about the request.
    #[error("the router at {address} does not know request {id}; ask the router that received it, within the time that it keeps decisions")]
    Request {
        /// The address.
        address: SocketAddr,
        /// The request.
        id: String,
    },
    /// The router answers with an error.
    #[error("the router at {address} answers with status {status}: {text}")]
    Status {
        /// The address.
        address: SocketAddr,
        /// The status.
        status: StatusCode,
        /// Start of the response.
        text: String,
    },
}

/// Prints the state of a router.
pub fn status(address: SocketAddr) -> Result<(), Error> {
    print(address, &call(address, Method::GET, "/v1/status")?)
}

/// Prints what a router decided about a request.
pub fn explain(address: SocketAddr, id: &str) -> Result<(), Error> {
    let path = format!("/v1/explain/{}", encode(id));
    let reply = call(address, Method::GET, &path)?;
    if reply.0 == StatusCode::NOT_FOUND {
        let id = id.to_owned();
        return Err(Error::Request { address, id });
    }
    print(address, &reply)
}

/// Asks a router to stop gracefully.
pub fn drain(address: SocketAddr) -> Result<(), Error> {
    print(address, &call(address, Method::POST, "/v1/drain")?)
}

/// Encodes what a path may not hold.
fn encode(text: &str) -> String {
    let plain = |byte: u8| byte.is_ascii_alphanumeric() || b"-_.~".contains(&byte);
    let parts = text.bytes().map(|byte| match plain(byte) {
        true => char::from(byte).to_string(),
        false => format!("%{byte:02X}"),
    });
    parts.collect()
}

type Reply = (StatusCode, Vec<u8>);

fn call(address: SocketAddr, method: Method, path: &str) -> Result<Reply, Error> {
    let unreachable = |cause: String| Error::Unreachable { address, cause };
    actix_rt::System::new().block_on(async {
        let client = awc::Client::builder().timeout(TIMEOUT).finish();
        let url = format!("http://{address}{path}");
        let sent = client.request(method, url).send().await;
        let mut response = sent.map_err(|error| unreachable(error.to_string()))?;
        let body = response.body().limit(MAX_BYTES).await;
        let body = body.map_err(|error| unreachable(error.to_string()))?;
        Ok((response.status(), body.to_vec()))
    })
}

fn print(address: SocketAddr, (status, body): &Reply) -> Result<(), Error> {
    if !status.is_success() {
        let text = String::from_utf8_lossy(body);
        return Err(Error::Status {
            address,
            status: *status,
            text: text.chars().take(300).collect(),
        });
    }
    let pretty = serde_json::from_slice::<serde_json::Value>(body)
        .and_then(|value| serde_json::to_string_pretty(&value));
    match pretty {
        Ok(text) => crate::say!("{text}"),
        Err(_) => crate::say!("{}", String::from_utf8_lossy(body).trim_end()),
    }
    Ok(())
}
