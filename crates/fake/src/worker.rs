//! An upstream of the users' platform that answers as a test says.
//!
//! It writes its answers byte by byte as a faulty upstream would, so that it needs no HTTP server.

use std::{cell::RefCell, collections::VecDeque, io, net::SocketAddr, rc::Rc, time::Duration};

use bytes::{Bytes, BytesMut};
use tokio::{
    io::AsyncWriteExt,
    net::{TcpListener, TcpStream},
    task,
};
use tsw_http::{body, connection::Connection, head};

/// Pause between two bytes of a stream that does not go on.
const TRICKLE: Duration = Duration::from_millis(100);
/// Most bytes of the head of a request.
const MAX_HEAD: usize = 65_536;

/// How one request is answered.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Behaviour {
    /// A plain answer with a length.
    Plain,
    /// A plain answer without a length that ends with the connection.
    Unframed,
    /// A plain answer without a length whose connection is reset.
    UnframedReset,
    /// A plain answer that is shorter than its length says.
    Truncated,
    /// A plain answer followed by one to another request.
    Extra,
    /// One to another request, then the plain answer.
    Foreign,
    /// A statement that the request was not run.
    NotRun,
    /// The same without the identifier of a request, then the plain answer.
    NamelessNotRun,
    /// A failure of the upstream itself.
    Failure,
    /// The same without the identifier of a request, then the plain answer.
    NamelessFailure,
    /// The connection is reset after the request was read.
    Reset,
    /// The connection is reset after a request with this body was read; other requests get a stream
    /// of so many events.
    ResetOn(&'static str, u64),
    /// Nothing; the connection stays open.
    Silent,
    /// A stream of so many events, after the one that the request names.
    Stream(u64),
    /// A stream that is reset within the event after so many.
    Cut(u64),
    /// A stream of which so many events are sent and no more; the connection stays open.
    Stall(u64),
    /// A stream of which so many events are sent, and then bytes of the next one now and then.
    Trickle(u64),
    /// The same with comments, which are no events.
    Comments(u64),
    /// A sound stream of so many events with a pause before each.
    Slow(u64, Duration),
    /// Bytes that are no answer, without end.
    Endless(Endless),
}

/// Where in an answer bytes come without end, until the router closes the connection.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Endless {
    /// Instead of a status line.
    Status,
    /// Interim responses before the answer.
    Interim,
    /// In a header field.
    Field,
    /// Further header fields.
    Fields,
    /// In the extension of a chunk.
    Extension,
    /// In the trailer.
    Trailer,
    /// In a body whose length is not stated.
    Body,
    /// In an answer to another request.
    Foreign,
    /// In an event of a stream.
    Event,
    /// After the complete answer.
    Rest,
}

impl Endless {
    /// All of them.
    pub const ALL: [Self; 10] = [
        Self::Status,
        Self::Interim,
        Self::Field,
        Self::Fields,
        Self::Extension,
        Self::Trailer,
        Self::Body,
        Self::Foreign,
        Self::Event,
        Self::Rest,
    ];

    /// Returns how the answer to a request begins, and what is repeated after it.
    fn bytes(self, id: &str) -> (String, String) {
        let named = format!("HTTP/1.1 200 OK\r\nAttempt-Id: {id}\r\nServer-Stamp: of-{id}\r\n");
        let chunked = format!("{named}Transfer-Encoding: chunked\r\n\r\n");
        let stream = "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n";
        let filler = "x".repeat(4_096);
        match self {
            Self::Status => (String::new(), filler),
            Self::Interim => (String::new(), "HTTP/1.1 100 Continue\r\n\r\n".repeat(64)),
            Self::Field => (format!("{named}X-Long: "), filler),
            Self::Fields => (named, "X-Field: value\r\n".repeat(64)),
            Self::Extension => (format!("{chunked}5;"), filler),
            Self::Trailer => (
                format!("{chunked}5\r\nwhole\r\n0\r\n"),
                "X-Field: value\r\n".repeat(64),
            ),
            Self::Body => (format!("{named}\r\n"), filler),
            Self::Foreign => (
                "HTTP/1.1 200 OK\r\nAttempt-Id: other\r\nServer-Stamp: of-other\r\n\r\n".to_owned(),
                filler,
            ),
            Self::Event => (format!("{named}{stream}"), format!("1000\r\n{filler}\r\n")),
            Self::Rest => (
                format!("{named}Content-Length: 15\r\n\r\nid: 0\ndata: x\n\n"),
                filler,
            ),
        }
    }
}

/// A request that arrived.
#[derive(Clone, Debug)]
pub struct Arrival {
    /// Its head.
    pub head: head::Request,
    /// Its body.
    pub body: Bytes,
    /// How it is answered.
    pub behaviour: Behaviour,
}

#[derive(Default)]
struct State {
    script: RefCell<VecDeque<Behaviour>>,
    usual: RefCell<Option<Behaviour>>,
    arrivals: RefCell<Vec<Arrival>>,
    left: RefCell<Vec<String>>,
}

/// An upstream of the users' platform.
pub struct Worker {
    state: Rc<State>,
    address: SocketAddr,
    task: task::JoinHandle<()>,
}

impl Worker {
    /// Listens on a free loopback port; answers every request with `usual` unless
    /// [`Worker::script`] says otherwise.
    ///
    /// # Errors
    ///
    /// Returns an error if there is no free port.
    pub async fn bind(usual: Behaviour) -> io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let address = listener.local_addr()?;
        let state = Rc::new(State::default());
        *state.usual.borrow_mut() = Some(usual);
        let shared = state.clone();
        let task = task::spawn_local(async move {
            let mut connections = task::JoinSet::new();
            while let Ok((stream, _)) = listener.accept().await {
                let state = shared.clone();
                connections.spawn_local(async move { drop(serve(&state, stream).await) });
            }
        });
        Ok(Self {
            state,
            address,
            task,
        })
    }

    /// Returns the address for routers.
    #[must_use]
    pub const fn address(&self) -> SocketAddr {
        self.address
    }

    /// Answers all further requests that are not scripted in this way.
    pub fn set_usual(&self, behaviour: Behaviour) {
        *self.state.usual.borrow_mut() = Some(behaviour);
    }

    /// Answers the next requests in this way.
    pub fn script(&self, behaviours: &[Behaviour]) {
        self.state.script.borrow_mut().extend(behaviours);
    }

    /// Forgets what [`Worker::script`] said and was not used.
    pub fn clear_script(&self) {
        self.state.script.borrow_mut().clear();
    }

    /// Returns the requests that arrived so far.
    #[must_use]
    pub fn arrivals(&self) -> Vec<Arrival> {
        self.state.arrivals.borrow().clone()
    }

    /// Returns the identifiers of the requests whose connection was closed by the router while
    /// they were unanswered.
    #[must_use]
    pub fn left(&self) -> Vec<String> {
        self.state.left.borrow().clone()
    }
}

impl Drop for Worker {
    fn drop(&mut self) {
        self.task.abort();
    }
}

async fn request(connection: &mut Connection) -> io::Result<Option<(head::Request, Bytes)>> {
    let head = loop {
        if let Some(head) =
            head::Request::take(&mut connection.buffer, MAX_HEAD).map_err(io::Error::other)?
        {
            break head;
        }
        if connection.fill().await? == 0 {
            return Ok(None);
        }
    };
    let mut decoder = body::Decoder::new(head.length().map_err(io::Error::other)?);
    let mut body = BytesMut::new();
    while !decoder.is_done() {
        match decoder
            .take(&mut connection.buffer)
            .map_err(io::Error::other)?
        {
            Some(data) => body.extend_from_slice(&data),
            None if decoder.is_done() => {}
            None if connection.fill().await? == 0 => return Ok(None),
            None => {}
        }
    }
    Ok(Some((head, body.freeze())))
}

/// Returns when the router closes the connection.
async fn closed(connection: &mut Connection) {
    while connection.fill().await.is_ok_and(|read| read > 0) {}
}

fn reset(connection: &Connection) {
    let socket = tsw_http::connection::reset_on_close(&connection.stream);
    socket.unwrap_or_else(|error| log::warn!("cannot reset a connection: {error}"));
}

async fn serve(state: &State, stream: TcpStream) -> io::Result<()> {
    let mut connection = Connection::new(stream)?;
    while let Some((head, body)) = request(&mut connection).await? {
        let scripted = state.script.borrow_mut().pop_front();
        let behaviour = scripted
            .or(*state.usual.borrow())
            .expect("set at the start");
        let arrival = Arrival {
            head,
            body,
            behaviour,
        };
        state.arrivals.borrow_mut().push(arrival.clone());
        let id = arrival.head.fields.text("Attempt-Id").unwrap_or_default();
        if !answer(state, &mut connection, &arrival, id, behaviour).await? {
            return Ok(());
        }
    }
    Ok(())
}

fn plain(id: &str, length: Option<usize>, body: &str) -> String {
    let length = length.map_or(String::new(), |length| {
        format!("Content-Length: {length}\r\n")
    });
    format!("HTTP/1.1 200 OK\r\nAttempt-Id: {id}\r\nServer-Stamp: of-{id}\r\n{length}\r\n{body}")
}

fn not_run(fields: &str) -> String {
    format!(
        "HTTP/1.1 503 Service Unavailable\r\nNot-Executed: 1\r\n{fields}Content-Length: 0\r\n\r\n"
    )
}

async fn answer(
    state: &State,
    connection: &mut Connection,
    arrival: &Arrival,
    id: &str,
    behaviour: Behaviour,
) -> io::Result<bool> {
    let body = format!("answer to {id}");
    let whole = plain(id, Some(body.len()), &body);
    let (text, keep) = match behaviour {
        Behaviour::Plain => (whole, true),
        Behaviour::Unframed => (plain(id, None, &body), false),
        Behaviour::UnframedReset => (plain(id, None, &body), false),
        Behaviour::Truncated => (plain(id, Some(body.len() + 9), &body), false),
        Behaviour::Extra => (format!("{whole}{}", plain("other", Some(5), "wrong")), true),
        Behaviour::Foreign => (format!("{}{whole}", plain("other", Some(5), "wrong")), true),
        Behaviour::NotRun => (not_run(&format!("Attempt-Id: {id}\r\n")), true),
        Behaviour::NamelessNotRun => (format!("{}{whole}", not_run("")), true),
        Behaviour::NamelessFailure => {
            let failure = "HTTP/1.1 500 Internal Server Error\r\nContent-Length: 4\r\n\r\nfail";
            (format!("{failure}{whole}"), true)
        }
        Behaviour::Failure => {
            let text = format!(
                "HTTP/1.1 500 Internal Server Error\r\nAttempt-Id: {id}\r\nServer-Stamp: of-{id}\r\nContent-Length: 4\r\n\r\nfail"
            );
            (text, true)
        }
        Behaviour::ResetOn(body, events) if arrival.body != body.as_bytes() => {
            let behaviour = Behaviour::Stream(events);
            return stream(state, connection, arrival, id, (behaviour, events)).await;
        }
        Behaviour::Reset | Behaviour::ResetOn(..) => {
            reset(connection);
            return Ok(false);
        }
        Behaviour::Silent => {
            closed(connection).await;
            state.left.borrow_mut().push(id.to_owned());
            return Ok(false);
        }
        Behaviour::Endless(endless) => {
            let (begin, repeated) = endless.bytes(id);
            connection.stream.write_all(begin.as_bytes()).await?;
            loop {
                connection.stream.write_all(repeated.as_bytes()).await?;
            }
        }
        Behaviour::Stream(events)
        | Behaviour::Cut(events)
        | Behaviour::Stall(events)
        | Behaviour::Trickle(events)
        | Behaviour::Comments(events)
        | Behaviour::Slow(events, _) => {
            return stream(state, connection, arrival, id, (behaviour, events)).await;
        }
    };
    connection.stream.write_all(text.as_bytes()).await?;
    if behaviour == Behaviour::UnframedReset {
        // The router must have read the body before the reset destroys what is on its way.
        actix_rt::time::sleep(Duration::from_millis(50)).await;
        reset(connection);
    }
    Ok(keep)
}

async fn stream(
    state: &State,
    connection: &mut Connection,
    arrival: &Arrival,
    id: &str,
    (behaviour, events): (Behaviour, u64),
) -> io::Result<bool> {
    let last = arrival.head.fields.text("Last-Event-Id");
    let first = last
        .and_then(|last| last.parse().ok())
        .map_or(0, |last: u64| last + 1);
    let head = format!(
        "HTTP/1.1 200 OK\r\nAttempt-Id: {id}\r\nServer-Stamp: of-{id}\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
    );
    connection.stream.write_all(head.as_bytes()).await?;
    for number in first..events {
        let event = format!("id: {number}\ndata: piece {number}\n\n");
        if let Behaviour::Slow(_, pause) = behaviour {
            actix_rt::time::sleep(pause).await;
        }
        let chunk = format!("{:x}\r\n{event}\r\n", event.len());
        connection.stream.write_all(chunk.as_bytes()).await?;
    }
    match behaviour {
        Behaviour::Cut(_) => {
            let part = format!("id: {events}\nda");
            let chunk = format!("{:x}\r\n{part}\r\n", part.len());
            connection.stream.write_all(chunk.as_bytes()).await?;
            actix_rt::time::sleep(Duration::from_millis(50)).await;
            reset(connection);
            Ok(false)
        }
        Behaviour::Trickle(_) | Behaviour::Comments(_) => {
            let chunk = if matches!(behaviour, Behaviour::Trickle(_)) {
                "1\r\nx\r\n"
            } else {
                "4\r\n: \n\n\r\n"
            };
            while connection.stream.write_all(chunk.as_bytes()).await.is_ok() {
                actix_rt::time::sleep(TRICKLE).await;
            }
            state.left.borrow_mut().push(id.to_owned());
            Ok(false)
        }
        Behaviour::Stall(_) => {
            closed(connection).await;
            state.left.borrow_mut().push(id.to_owned());
            Ok(false)
        }
        _ => {
            connection.stream.write_all(b"0\r\n\r\n").await?;
            Ok(true)
        }
    }
}
