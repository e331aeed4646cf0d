//! Tests of the HTTP exchange with a worker of a plain service.

#[path = "support/address.rs"]
mod address;

use std::{net::SocketAddr, time::Duration};

use actix_http::RequestHead;
use bytes::Bytes;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpListener,
};
use toucand::exchange::{Connection, Error};

const LIMIT: Duration = Duration::from_secs(5);

/// Serves one connection: reads a request and writes `response`, then closes.
async fn serve_once(response: &'static str) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("bind");
    let address = listener.local_addr().expect("address");
    actix_rt::spawn(async move {
        let (mut stream, _) = listener.accept().await.expect("accept");
        let mut request = [0; 1_024];
        let read = stream.read(&mut request).await.expect("request");
        assert!(read > 0);
        stream.write_all(response.as_bytes()).await.expect("write");
    });
    address
}

async fn run(response: &'static str) -> Result<Bytes, Error> {
    let address = serve_once(response).await;
    let connection = Connection::open(address, LIMIT).await?;
    let body = Bytes::from_static(b"{}");
    let (_, body) = connection.run(RequestHead::default(), body, 16).await?;
    Ok(body)
}

/// Guards against relaying a response as complete that ends before its content length.
#[actix_rt::test]
async fn refuses_a_body_shorter_than_its_length() {
    let result = run("HTTP/1.1 200 OK\r\ncontent-length: 9\r\n\r\nshort").await;
    assert!(
        matches!(result, Err(Error::Truncated { bytes: 5 })),
        "{result:?}"
    );
}

/// Guards against relaying a chunked response as complete that lacks its last chunk.
#[actix_rt::test]
async fn refuses_chunks_without_a_last_chunk() {
    let result = run("HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n5\r\nshort\r\n").await;
    assert!(
        matches!(result, Err(Error::Truncated { bytes: 5 })),
        "{result:?}"
    );
}

/// Guards against relaying a response without a length or chunks as complete with an empty body, or with the part
/// of its body that arrived before its worker crashed.
#[actix_rt::test]
async fn refuses_a_body_that_ends_with_its_connection() {
    for text in [
        "HTTP/1.1 200 OK\r\n\r\npart",
        "HTTP/1.1 200 OK\r\nconnection: close\r\n\r\npart",
        "HTTP/1.0 200 OK\r\n\r\npart",
        "HTTP/1.1 404 Not Found\r\n\r\npart",
        "HTTP/1.1 200 OK\r\n\r\n",
        "HTTP/1.1 200 OK\r\ntransfer-encoding: identity\r\n\r\npart",
    ] {
        let result = run(text).await;
        assert!(result.is_err(), "{text:?}: {result:?}");
    }
}

/// Guards against the opposite failure: treating a complete response as truncated.
#[actix_rt::test]
async fn returns_complete_bodies() {
    let sized = run("HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\nwhole").await;
    assert_eq!(sized.expect("complete response"), "whole");
    let chunked =
        run("HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n5\r\nwhole\r\n0\r\n\r\n").await;
    assert_eq!(chunked.expect("complete response"), "whole");
    for text in [
        "HTTP/1.1 204 No Content\r\n\r\n",
        "HTTP/1.1 304 Not Modified\r\n\r\n",
        "HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n",
    ] {
        let empty = run(text).await;
        assert_eq!(empty.expect("complete response"), "", "{text:?}");
    }
}

/// Guards against bytes without a whole, valid head, or an interim response, that are taken for the response.
#[actix_rt::test]
async fn refuses_what_is_no_final_response() {
    for text in [
        "\r\n\r\n",
        "\r\n\r\ntext",
        "text\r\n\r\n",
        "HTTP/1.1 200 OK\r\n",
        "HTTP/1.1 099 Low\r\ncontent-length: 0\r\n\r\n",
        "HTTP/1.1 000 None\r\ncontent-length: 0\r\n\r\n",
        "HTTP/1.1 0000 None\r\ncontent-length: 0\r\n\r\n",
        "HTTP/1.1 99 Low\r\ncontent-length: 0\r\n\r\n",
        "HTTP/1.1 +20 Sign\r\ncontent-length: 0\r\n\r\n",
        "HTTP/1.1 100 Continue\r\n\r\n",
        "HTTP/1.1 101 Switching Protocols\r\nupgrade: x\r\nconnection: upgrade\r\n\r\n",
    ] {
        let result = run(text).await;
        assert!(result.is_err(), "{text:?}: {result:?}");
    }
    let text = "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\nwhole";
    assert_eq!(run(text).await.expect("the final response"), "whole");
}

/// Guards against a part of a response that is taken for complete: its worker answers before a long request has arrived,
/// and resets the connection.
#[actix_rt::test]
async fn refuses_a_response_that_is_reset_while_the_request_is_written() {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("bind");
    let address = listener.local_addr().expect("address");
    actix_rt::spawn(async move {
        let (mut stream, _) = listener.accept().await.expect("accept");
        let response = b"HTTP/1.1 200 OK\r\n\r\npart";
        stream.write_all(response).await.expect("write");
        tsw_http::connection::reset_on_close(&stream).expect("an option");
    });
    let connection = Connection::open(address, LIMIT).await.expect("open");
    let body = Bytes::from(vec![b'x'; 32 << 20]);
    let result = connection.run(RequestHead::default(), body, 16).await;
    assert!(result.is_err(), "{result:?}");
}

/// Guards against a response that exhausts the memory of the router.
#[actix_rt::test]
async fn refuses_a_large_body() {
    let result = run("HTTP/1.1 200 OK\r\ncontent-length: 17\r\n\r\nseventeen letters").await;
    assert!(
        matches!(result, Err(Error::Large { limit: 16 })),
        "{result:?}"
    );
}

/// Guards against reporting a call as possibly run when no connection was made.
#[actix_rt::test]
async fn reports_that_nothing_was_sent() {
    let (_closed, address) = address::refusing();
    let result = Connection::open(address, LIMIT).await;
    assert!(matches!(result, Err(Error::Connect(_))), "{result:?}");
}
