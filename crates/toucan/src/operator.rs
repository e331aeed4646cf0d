//! The commands `toucan status`, `toucan explain` and `toucan drain`, which call the operator port of
//! a router.

use std::{net::SocketAddr, time::Duration};

use awc::http::{Method, StatusCode};

const TIMEOUT: Duration = Duration::from_secs(10);

/// Maximum size of a response in bytes.
const MAX_RESPONSE_BYTES: usize = 16_000_000;

/// An error of a call to a router.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The router cannot be reached or its response cannot be read.
    #[error("cannot reach a router at {address}: {cause}; give the operator address of a running router")]
    Unreachable {
        /// The address.
        address: SocketAddr,
        /// The cause.
        cause: String,
    },
    /// The router does not know the request.
    #[error("the router at {address} does not know request {id}; ask the router that received it, within the time that it keeps decisions")]
    UnknownRequest {
        /// The address.
        address: SocketAddr,
        /// The request.
        id: String,
    },
    /// The router responded with an error status.
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
    print_response(address, &send_request(address, Method::GET, "/v1/status")?)
}

/// Prints what a router decided about a request.
pub fn explain(address: SocketAddr, id: &str) -> Result<(), Error> {
    let path = format!("/v1/explain/{}", percent_encode(id));
    let response = send_request(address, Method::GET, &path)?;
    if response.0 == StatusCode::NOT_FOUND {
        let id = id.to_owned();
        return Err(Error::UnknownRequest { address, id });
    }
    print_response(address, &response)
}

/// Asks a router to stop gracefully.
pub fn drain(address: SocketAddr) -> Result<(), Error> {
    print_response(address, &send_request(address, Method::POST, "/v1/drain")?)
}

/// Percent-encodes all characters except the unreserved ones of RFC 3986.
fn percent_encode(text: &str) -> String {
    let is_unreserved = |byte: u8| byte.is_ascii_alphanumeric() || b"-_.~".contains(&byte);
    let encoded = text.bytes().map(|byte| match is_unreserved(byte) {
        true => char::from(byte).to_string(),
        false => format!("%{byte:02X}"),
    });
    encoded.collect()
}

type Response = (StatusCode, Vec<u8>);

/// Returns the body of a successful response of a router to a request with header fields.
pub fn read(
    address: SocketAddr,
    path: &str,
    fields: &[(&'static str, String)],
) -> Result<Vec<u8>, Error> {
    let (status, body) = send_with_fields(address, Method::GET, path, fields)?;
    if !status.is_success() {
        return Err(status_error(address, status, &body));
    }
    Ok(body)
}

fn send_request(address: SocketAddr, method: Method, path: &str) -> Result<Response, Error> {
    send_with_fields(address, method, path, &[])
}

fn send_with_fields(
    address: SocketAddr,
    method: Method,
    path: &str,
    fields: &[(&'static str, String)],
) -> Result<Response, Error> {
    let unreachable = |cause: String| Error::Unreachable { address, cause };
    actix_rt::System::new().block_on(async {
        let client = awc::Client::builder().timeout(TIMEOUT).finish();
        let url = format!("http://{address}{path}");
        let request = fields
            .iter()
            .fold(client.request(method, url), |request, (name, value)| {
                request.insert_header((*name, value.as_str()))
            });
        let sent = request.send().await;
        let mut response = sent.map_err(|error| unreachable(error.to_string()))?;
        let body = response.body().limit(MAX_RESPONSE_BYTES).await;
        let body = body.map_err(|error| unreachable(error.to_string()))?;
        Ok((response.status(), body.to_vec()))
    })
}

fn status_error(address: SocketAddr, status: StatusCode, body: &[u8]) -> Error {
    let text = String::from_utf8_lossy(body);
    let text = text.chars().take(300).collect();
    Error::Status {
        address,
        status,
        text,
    }
}

fn print_response(address: SocketAddr, (status, body): &Response) -> Result<(), Error> {
    if !status.is_success() {
        return Err(status_error(address, *status, body));
    }
    let pretty = serde_json::from_slice::<serde_json::Value>(body)
        .and_then(|value| serde_json::to_string_pretty(&value));
    match pretty {
        Ok(text) => crate::print_line!("{text}"),
        Err(_) => crate::print_line!("{}", String::from_utf8_lossy(body).trim_end()),
    }
    Ok(())
}
