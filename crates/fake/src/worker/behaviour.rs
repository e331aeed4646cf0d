//! The behaviours that a test can script.

use std::time::Duration;

/// How the upstream responds to a request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Behaviour {
    /// A response with a `Content-Length`.
    Plain,
    /// A response without a length that ends when the connection is closed.
    Unframed,
    /// A response without a length whose connection is reset.
    UnframedReset,
    /// A response without a length of which this many bytes of the body are sent before the upstream crashes.
    UnframedCrash(usize),
    /// A response whose body is shorter than its `Content-Length`.
    Truncated,
    /// This many bytes of a response with a `Content-Length`, or all but the last byte of its head if that
    /// is shorter, and then the end of the connection.
    CutHead(usize),
    /// These bytes, in which `{id}` stands for the identifier of the request. The connection stays open.
    Bytes(&'static str),
    /// A correct response, followed by a response to another request.
    ExtraResponse,
    /// A response to another request, followed by the correct response.
    ForeignResponse,
    /// A response that says that the request was not executed.
    NotRun,
    /// A refusal by another upstream that has taken over the address.
    OtherUpstream,
    /// Like [`Behaviour::NotRun`] without the identifier of the request, followed by a correct
    /// response.
    UnidentifiedNotRun,
    /// The latest refusal on the connection this many times more before the request is run, and then a
    /// response with a `Content-Length`.
    RepeatedNotRun(usize),
    /// The latest refusal on the connection once more before the body of the request is read, and then
    /// a response with a `Content-Length`.
    EarlyRepeatedNotRun,
    /// A response to another request, followed by a refusal without the identifier of the request and
    /// by a correct response.
    ForeignThenUnidentifiedNotRun,
    /// A response with status 500.
    Failure,
    /// Like [`Behaviour::Failure`] without the identifier of the request, followed by a correct
    /// response.
    UnidentifiedFailure,
    /// Resets the connection after reading the request.
    Reset,
    /// Resets the connection after reading a request with this body. The response to other requests
    /// is a stream of this many events.
    ResetOnBody(&'static str, u64),
    /// Crashes after the head of the response if a prompt part other than the last has this
    /// identifier. The response to other requests is a stream of this many events.
    CrashOnPart(&'static str, u64),
    /// Crashes after this many events, with a pause after each, if the body of the request begins with this
    /// text. The response to other requests is a slow stream of events, the number of which comes last.
    CrashOnBody(&'static str, u64, u64),
    /// No response; the connection stays open.
    Silent,
    /// A complete stream of this many events. It starts after the event that `Last-Event-Id` names.
    Stream(u64),
    /// A complete stream of this many events without a length or chunks. It ends when the connection is
    /// closed.
    UnframedStream(u64),
    /// Like [`Behaviour::UnframedStream`], but the connection is closed in the middle of the event that
    /// follows.
    UnframedCutStream(u64),
    /// A stream without a length or chunks whose upstream crashes after this many events, with a pause after
    /// each.
    UnframedCrashStream(u64),
    /// A stream that is reset in the middle of the event that follows this many events.
    ResetStream(u64),
    /// A stream that stops after this many events; the connection stays open.
    Stall(u64),
    /// A stream that sends this many events, and then single bytes of the next event with pauses.
    Trickle(u64),
    /// A stream that sends this many events, and then only comments with pauses.
    TrickleComments(u64),
    /// A complete stream of this many events with a pause before each.
    SlowStream(u64, Duration),
    /// Like [`Behaviour::SlowStream`] without a length or chunks. It ends when the connection is closed.
    SlowUnframedStream(u64, Duration),
    /// A complete stream of this many events with one pause, before the event of this number.
    PausedStream(u64, u64, Duration),
    /// A response with a `Content-Length` after a pause.
    LatePlain(Duration),
    /// A response of this many bytes with one pause in the middle.
    PausedPlain(usize, Duration),
    /// An endless sequence of bytes that never completes a response.
    Endless(Endless),
}

/// How the upstream answers the question for what it says of itself.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum Report {
    /// At once.
    #[default]
    Given,
    /// After a pause.
    Late(Duration),
    /// With status 404.
    NotFound,
    /// With status 503.
    Busy,
    /// Not at all; the connection stays open.
    Silent,
    /// It resets the connection.
    Reset,
}

/// The part of a response that does not end until the router closes the connection.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Endless {
    /// Bytes instead of a status line.
    StatusLine,
    /// Interim responses before the final response.
    InterimResponses,
    /// The value of a header field.
    HeaderField,
    /// More and more header fields.
    HeaderFields,
    /// The extension of a chunk.
    ChunkExtension,
    /// More and more trailer fields.
    Trailers,
    /// A body without a stated length.
    Body,
    /// The body of a failure.
    Failure,
    /// The body of a response to another request.
    ForeignResponse,
    /// An event of a stream.
    Event,
    /// Bytes after a complete response.
    TrailingData,
}

impl Endless {
    /// All variants.
    pub const ALL: [Self; 11] = [
        Self::StatusLine,
        Self::InterimResponses,
        Self::HeaderField,
        Self::HeaderFields,
        Self::ChunkExtension,
        Self::Trailers,
        Self::Body,
        Self::Failure,
        Self::ForeignResponse,
        Self::Event,
        Self::TrailingData,
    ];

    /// Returns the start of the response, and the bytes that are repeated after it.
    pub(super) fn start_and_repeated(self, id: &str) -> (String, String) {
        let named = format!("HTTP/1.1 200 OK\r\nAttempt-Id: {id}\r\nServer-Stamp: of-{id}\r\n");
        let chunked = format!("{named}Transfer-Encoding: chunked\r\n\r\n");
        let stream = "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n";
        let filler = "x".repeat(4_096);
        match self {
            Self::StatusLine => (String::new(), filler),
            Self::InterimResponses => (String::new(), "HTTP/1.1 100 Continue\r\n\r\n".repeat(64)),
            Self::HeaderField => (format!("{named}X-Long: "), filler),
            Self::HeaderFields => (named, "X-Field: value\r\n".repeat(64)),
            Self::ChunkExtension => (format!("{chunked}5;"), filler),
            Self::Trailers => (
                format!("{chunked}5\r\nwhole\r\n0\r\n"),
                "X-Field: value\r\n".repeat(64),
            ),
            Self::Body => (format!("{named}\r\n"), filler),
            Self::Failure => (
                format!("HTTP/1.1 500 Internal Server Error\r\nAttempt-Id: {id}\r\n\r\n"),
                filler,
            ),
            Self::ForeignResponse => (
                "HTTP/1.1 200 OK\r\nAttempt-Id: other\r\nServer-Stamp: of-other\r\n\r\n".to_owned(),
                filler,
            ),
            Self::Event => (format!("{named}{stream}"), format!("1000\r\n{filler}\r\n")),
            Self::TrailingData => (
                format!("{named}Content-Length: 15\r\n\r\nid: 0\ndata: x\n\n"),
                filler,
            ),
        }
    }
}
