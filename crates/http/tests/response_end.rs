//! Which responses end with their connection.

use std::time::Duration;

use bytes::Bytes;
use tokio::{
    io::{AsyncReadExt as _, AsyncWriteExt as _},
    net::TcpListener,
};
use tsw_http::{connection::Connection, exchange::Exchange, field::Fields, head};

const TIMEOUT: Duration = Duration::from_secs(10);

async fn ends_with_connection(method: &'static str, response: &'static str) -> bool {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("bound");
    actix_rt::spawn(async move {
        let (mut stream, _) = listener.accept().await.expect("accepted");
        let read = stream.read(&mut [0; 1_024]).await.expect("a request");
        assert!(read > 0);
        stream.write_all(response.as_bytes()).await.expect("sent");
    });
    let request = head::Request {
        method: Bytes::from_static(method.as_bytes()),
        target: Bytes::from_static(b"/"),
        http10: false,
        fields: Fields::default(),
    };
    let connection = Connection::open(address, TIMEOUT).await.expect("open");
    let opened = Exchange::open(connection, &request, Bytes::new()).await;
    let mut exchange = opened.expect("a response");
    while exchange.data().await.expect("a whole response").is_some() {}
    exchange.ends_with_connection()
}

/// Guards against taking a marked end, or a response that has no body, for the end of a connection, and the
/// reverse.
#[actix_rt::test]
async fn only_a_body_without_length_or_chunks_ends_with_the_connection() {
    for (method, response, expected) in [
        ("GET", "HTTP/1.1 200 OK\r\n\r\nbody", true),
        ("GET", "HTTP/1.0 200 OK\r\n\r\nbody", true),
        ("GET", "HTTP/1.1 404 Not Found\r\n\r\nbody", true),
        (
            "GET",
            "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nbody",
            false,
        ),
        (
            "GET",
            "HTTP/1.0 200 OK\r\nContent-Length: 4\r\n\r\nbody",
            false,
        ),
        (
            "GET",
            "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
            false,
        ),
        ("HEAD", "HTTP/1.1 200 OK\r\n\r\n", false),
        ("GET", "HTTP/1.1 204 No Content\r\n\r\n", false),
        ("GET", "HTTP/1.1 304 Not Modified\r\n\r\n", false),
    ] {
        let found = ends_with_connection(method, response).await;
        assert_eq!(found, expected, "{method} {response:?}");
    }
}
