//! Guards against a head that is incomplete, or says nothing, and is taken for a valid one.

use bytes::BytesMut;
use tsw_http::head::{self, Error};

/// Maximum length of a head in these tests.
const MAX_HEAD_BYTES: usize = 16_384;

fn response(text: &str) -> Result<Option<u16>, Error> {
    let head = head::Response::take(&mut BytesMut::from(text), MAX_HEAD_BYTES)?;
    Ok(head.map(|head| head.status))
}

fn request(text: &str) -> Result<Option<usize>, Error> {
    let head = head::Request::take(&mut BytesMut::from(text), MAX_HEAD_BYTES)?;
    Ok(head.map(|head| head.fields.iter().count()))
}

#[test]
fn response_without_a_whole_status_line_is_rejected() {
    for text in [
        "\r\n\r\n",
        "\r\n\r\ntext",
        "\r\n\r\n\r\n\r\nHTTP/1.1 200 OK\r\n\r\n",
        "\r\nHTTP/1.1 200 OK\r\n\r\n",
        "\n\r\n\r\n",
        "\nHTTP/1.1 200 OK\r\n\r\n",
        "HTTP/1.1 200 OK\n\nX: y\r\n\r\n",
        "HTTP/1.1\r\n\r\n",
        "HTTP/1.1 20\r\n\r\n",
        "text\r\n\r\n",
    ] {
        let found = response(text);
        assert!(
            matches!(found, Err(Error::Incomplete | Error::Malformed(_))),
            "{text:?}: {found:?}"
        );
    }
    assert_eq!(response("HTTP/1.1 200 OK\r\n"), Ok(None));
}

#[test]
fn request_without_a_whole_request_line_is_rejected() {
    for text in [
        "\n\r\n\r\n",
        "GET / HTTP/1.1\nHost: h\n\nGET /other HTTP/1.1\r\n\r\n",
        "GET\r\n\r\n",
        "text\r\n\r\n",
    ] {
        let found = request(text);
        assert!(found.is_err(), "{text:?}: {found:?}");
    }
    assert_eq!(
        request("\r\n\r\nGET / HTTP/1.1\r\nHost: h\r\n\r\n"),
        Ok(Some(1))
    );
}

#[test]
fn status_codes_below_100_are_rejected() {
    for status in ["000", "001", "099"] {
        let found = response(&format!("HTTP/1.1 {status} Odd\r\n\r\n"));
        assert!(
            matches!(found, Err(Error::InvalidStatus(_))),
            "{status}: {found:?}"
        );
    }
    for status in ["0000", "99", "+20", "2 0"] {
        let found = response(&format!("HTTP/1.1 {status} Odd\r\n\r\n"));
        assert!(found.is_err(), "{status}: {found:?}");
    }
    for status in [100, 200, 599, 600, 999] {
        assert_eq!(
            response(&format!("HTTP/1.1 {status} Odd\r\n\r\n")),
            Ok(Some(status))
        );
    }
}

/// Guards against a proper message that is rejected because of the number of its fields.
#[test]
fn heads_with_many_fields_are_accepted() {
    let lines = |fields: usize| "X-Field: v\r\n".repeat(fields);
    for fields in [96, 97, 1_000] {
        let lines = lines(fields);
        assert_eq!(
            request(&format!("GET / HTTP/1.1\r\n{lines}\r\n")),
            Ok(Some(fields))
        );
        assert_eq!(
            response(&format!("HTTP/1.1 200 OK\r\n{lines}\r\n")),
            Ok(Some(200))
        );
    }
    let found = request(&format!("GET / HTTP/1.1\r\n{}\r\n", lines(1_100)));
    assert!(
        matches!(found, Err(Error::TooManyFields { .. })),
        "{found:?}"
    );
}
