//! Helpers to call stand-ins that run inside the test process.

// Each test file uses only a part of this module.
#![allow(dead_code)]

use std::{future::Future, net::SocketAddr, time::Duration};

use awc::http::{Method, StatusCode};
use serde::de::DeserializeOwned;
use serde_json::Value;
use tokio::{
    io::{AsyncReadExt as _, AsyncWriteExt as _},
    net::TcpStream,
};

/// Returns the address for any free port on loopback.
pub fn any() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}

/// Runs a test inside an `actix_rt` system.
pub fn run<F: Future<Output = ()>>(test: F) {
    actix_rt::System::new().block_on(test);
}

/// Waits for a time.
pub async fn pause(millis: u64) {
    actix_rt::time::sleep(Duration::from_millis(millis)).await;
}

/// Waits until `check` returns true, for at most 5 s.
pub async fn until<F: Future<Output = bool>>(mut check: impl FnMut() -> F) {
    for _ in 0..500 {
        if check().await {
            return;
        }
        pause(10).await;
    }
    panic!("condition not true within 5 s");
}

/// Sends a request. Returns an error if the connection fails or the response is incomplete.
pub async fn send(
    method: Method,
    address: SocketAddr,
    path: &str,
    headers: &[(&'static str, &str)],
    body: &str,
) -> Result<(StatusCode, String), String> {
    let client = awc::Client::builder()
        .timeout(Duration::from_secs(20))
        .finish();
    let mut request = client.request(method, format!("http://{address}{path}"));
    for (key, value) in headers {
        request = request.insert_header((*key, *value));
    }
    let sent = request.send_body(body.to_owned()).await;
    let mut response = sent.map_err(|error| error.to_string())?;
    let body = response.body().limit(4_000_000).await;
    let body = body.map_err(|error| error.to_string())?;
    let text = String::from_utf8(body.to_vec()).expect("text");
    Ok((response.status(), text))
}

/// Sends a `GET` request, which must get a response.
pub async fn get(address: SocketAddr, path: &str) -> (StatusCode, String) {
    let sent = send(Method::GET, address, path, &[], "").await;
    sent.expect("a response")
}

/// Sends a `POST` request, which must get a response.
pub async fn post(address: SocketAddr, path: &str, body: &str) -> (StatusCode, String) {
    let sent = send(Method::POST, address, path, &[], body).await;
    sent.expect("a response")
}

/// Sends a `GET` request and parses the JSON body of its response.
pub async fn read<T: DeserializeOwned>(address: SocketAddr, path: &str) -> T {
    let (status, text) = get(address, path).await;
    assert_eq!(status, StatusCode::OK, "{text}");
    serde_json::from_str(&text).expect("JSON of the expected form")
}

/// The raw bytes of a response, read from a separate connection.
///
/// The HTTP client treats a truncated response as a complete one. The raw bytes tell them apart:
/// only a complete chunked response ends with an empty chunk.
pub struct Raw {
    stream: TcpStream,
    bytes: Vec<u8>,
}

impl Raw {
    /// Sends a `POST` request.
    pub async fn post(address: SocketAddr, path: &str, body: &str) -> Self {
        let mut stream = TcpStream::connect(address).await.expect("it listens");
        let length = body.len();
        let request = format!(
            "POST {path} HTTP/1.1\r\nhost: x\r\nconnection: close\r\ncontent-length: {length}\r\n\r\n\
             {body}"
        );
        stream.write_all(request.as_bytes()).await.expect("sent");
        let bytes = Vec::new();
        Self { stream, bytes }
    }

    /// Reads until the response contains `text`.
    pub async fn read_until(&mut self, text: &str) {
        while !String::from_utf8_lossy(&self.bytes).contains(text) {
            let read = self.stream.read_buf(&mut self.bytes).await.expect("bytes");
            assert!(read > 0, "closed before {text}");
        }
    }

    /// Reads until the connection is closed and returns all bytes received.
    pub async fn read_to_end(mut self) -> String {
        // A reset connection counts as closed.
        let _ = self.stream.read_to_end(&mut self.bytes).await;
        String::from_utf8_lossy(&self.bytes).into_owned()
    }
}

/// Sends a `POST` request on a separate connection and returns all bytes received until it is
/// closed.
pub async fn post_raw(address: SocketAddr, path: &str, body: &str) -> String {
    Raw::post(address, path, body).await.read_to_end().await
}

/// Returns whether a raw response is a complete chunked response.
pub fn is_complete(response: &str) -> bool {
    response.ends_with("\r\n0\r\n\r\n")
}

/// Parses the lines of a stream as JSON.
pub fn lines(text: &str) -> Vec<Value> {
    let lines = text.lines();
    lines
        .map(|line| serde_json::from_str(line).expect("a JSON line"))
        .collect()
}
