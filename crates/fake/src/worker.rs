//! An upstream of the users' platform whose responses are scripted by a test.
//!
//! It writes raw bytes instead of using an HTTP server, because many behaviours violate HTTP.
//!
//! The events of a stream name the version of its software if it has one. Like real upstreams, it
//! resumes a stream after `Last-Event-Id` whichever version began it.

mod behaviour;
mod refusal;
mod request;
mod response;
mod stream;

use std::{
    cell::{Cell, RefCell},
    collections::VecDeque,
    io,
    net::SocketAddr,
    rc::Rc,
    time::{Duration, Instant},
};

use bytes::Bytes;
use tokio::{
    net::{TcpListener, TcpStream},
    sync::Notify,
    task, time,
};
use tsw_http::{connection::Connection, head};

pub use behaviour::{Behaviour, Endless, Report};
use refusal::Refusals;

/// A request that the upstream received.
#[derive(Clone, Debug)]
pub struct Arrival {
    /// Head of the request.
    pub head: head::Request,
    /// Body of the request.
    pub body: Bytes,
    /// How the upstream responds to it.
    pub behaviour: Behaviour,
    /// Time at which it had arrived completely.
    pub time: Instant,
}

/// Time for which the upstream accepts no connection after a crash.
pub const CRASH_DOWNTIME: Duration = Duration::from_millis(600);

#[derive(Default)]
struct State {
    script: RefCell<VecDeque<Behaviour>>,
    /// Behaviour for requests that are not scripted.
    default: RefCell<Option<Behaviour>>,
    /// Start of its run, which its report states.
    born: Cell<Option<u64>>,
    /// How it gives its report.
    report: Cell<Report>,
    /// Number of questions for its report.
    questions: Cell<u64>,
    /// Whether it states the prompt parts that it keeps.
    states_parts: Cell<bool>,
    /// Number of requests that arrived before its latest crash, the prompts of which it has lost.
    lost_prompts: Cell<usize>,
    /// Version of the software, which the events of its streams name.
    version: RefCell<Option<String>>,
    /// Header lines added to the head of each response.
    fields: RefCell<String>,
    arrivals: RefCell<Vec<Arrival>>,
    abandoned: RefCell<Vec<String>>,
    crashes: Cell<u64>,
    /// Time for which it accepts no connection after its latest crash.
    downtime: Cell<Duration>,
    crashed: Notify,
    /// Whether it neither reads nor writes, as a process that is paused.
    is_frozen: Cell<bool>,
    thawed: Notify,
}

impl State {
    /// Waits until the upstream is not frozen.
    async fn wait_for_thaw(&self) {
        while self.is_frozen.get() {
            self.thawed.notified().await;
        }
    }

    fn set_frozen(&self, is_frozen: bool) {
        self.is_frozen.set(is_frozen);
        self.thawed.notify_waiters();
    }

    /// Adds the header lines of the upstream to the first head of a response.
    fn with_fields(&self, text: &str) -> String {
        text.replacen("\r\n", &format!("\r\n{}", self.fields.borrow()), 1)
    }

    /// Closes all connections and accepts none for a time.
    fn crash(&self, downtime: Duration) {
        self.set_frozen(false);
        self.crashes.set(self.crashes.get() + 1);
        self.lost_prompts.set(self.arrivals.borrow().len());
        self.downtime.set(downtime);
        self.crashed.notify_one();
    }

    /// Accepts connections until the upstream crashes, which closes all of them.
    async fn run(self: &Rc<Self>, listener: TcpListener) {
        let mut connections = task::JoinSet::new();
        loop {
            tokio::select! {
                accepted = listener.accept() => {
                    let Ok((stream, _)) = accepted else { return };
                    let state = self.clone();
                    connections.spawn_local(async move { drop(serve(&state, stream).await) });
                }
                () = self.crashed.notified() => break,
            }
        }
        // A router that sees a connection end must not be able to open another one.
        drop(listener);
        connections.shutdown().await;
    }

    /// Listens again on the address of the upstream.
    async fn restart(address: SocketAddr) -> TcpListener {
        loop {
            match TcpListener::bind(address).await {
                Ok(listener) => return listener,
                Err(error) => {
                    log::warn!("cannot listen on {address}: {error}; retrying");
                    time::sleep(Duration::from_millis(20)).await;
                }
            }
        }
    }
}

/// An upstream of the users' platform.
pub struct Worker {
    state: Rc<State>,
    address: SocketAddr,
    task: task::JoinHandle<()>,
}

impl Worker {
    /// Listens on a free loopback port; responds to every request with `default` unless
    /// [`Worker::script`] says otherwise.
    ///
    /// # Errors
    ///
    /// Returns an error if there is no free port.
    pub async fn bind(default: Behaviour) -> io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let address = listener.local_addr()?;
        let state = Rc::new(State::default());
        *state.default.borrow_mut() = Some(default);
        let shared = state.clone();
        let task = task::spawn_local(async move {
            let mut listener = listener;
            loop {
                shared.run(listener).await;
                time::sleep(shared.downtime.get()).await;
                listener = State::restart(address).await;
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

    /// Sets the behaviour for all further requests that are not scripted.
    pub fn set_default(&self, behaviour: Behaviour) {
        *self.state.default.borrow_mut() = Some(behaviour);
    }

    /// Sets header lines, each with its line end, that all further responses carry.
    pub fn set_fields(&self, fields: &str) {
        fields.clone_into(&mut self.state.fields.borrow_mut());
    }

    /// Returns the version of the software.
    #[must_use]
    pub fn version(&self) -> Option<String> {
        self.state.version.borrow().clone()
    }

    /// Changes the version of the software, which all further streams name in the data of their
    /// events; without one, as at first, the data of event 7 is `piece 7`.
    ///
    /// ```
    /// # actix_rt::System::new().block_on(async {
    /// use tsw_fake::worker::{Behaviour, Worker};
    /// let worker = Worker::bind(Behaviour::Stream(9)).await?;
    /// worker.set_version(Some("v1.2")); // The data of event 7 is `v1.2 piece 7`.
    /// assert_eq!(worker.version().as_deref(), Some("v1.2"));
    /// # Ok::<(), std::io::Error>(())
    /// # }).unwrap();
    /// ```
    pub fn set_version(&self, version: Option<&str>) {
        *self.state.version.borrow_mut() = version.map(str::to_owned);
    }

    /// Sets the start of the run that the report of the upstream states, in milliseconds since 1970; without
    /// one, as at first, the report states none.
    pub fn set_born(&self, born: Option<u64>) {
        self.state.born.set(born);
    }

    /// Sets how the upstream gives its report.
    pub fn set_report(&self, report: Report) {
        self.state.report.set(report);
    }

    /// Sets whether the upstream states the prompt parts that it keeps: those of all requests since its latest crash. At first it has no
    /// such list.
    pub fn set_states_parts(&self, states_parts: bool) {
        self.state.states_parts.set(states_parts);
    }

    /// Returns how often the upstream was asked for its report.
    #[must_use]
    pub fn questions(&self) -> u64 {
        self.state.questions.get()
    }

    /// Crashes: closes all connections, and accepts none for [`CRASH_DOWNTIME`].
    pub fn crash(&self) {
        self.crash_for(CRASH_DOWNTIME);
    }

    /// Crashes like [`Worker::crash`], and accepts no connection for this time.
    pub fn crash_for(&self, downtime: Duration) {
        self.state.crash(downtime);
    }

    /// Freezes the upstream or lets it go on. A frozen one accepts connections, and neither responds to
    /// requests nor sends the next events of streams. It is not frozen any more after a crash.
    pub fn set_frozen(&self, is_frozen: bool) {
        self.state.set_frozen(is_frozen);
    }

    /// Returns whether the upstream is frozen.
    #[must_use]
    pub fn is_frozen(&self) -> bool {
        self.state.is_frozen.get()
    }

    /// Adds the behaviours for the next requests, one for each request.
    pub fn script(&self, behaviours: &[Behaviour]) {
        self.state.script.borrow_mut().extend(behaviours);
    }

    /// Removes the scripted behaviours that have not been used.
    pub fn clear_script(&self) {
        self.state.script.borrow_mut().clear();
    }

    /// Returns the requests received so far.
    #[must_use]
    pub fn arrivals(&self) -> Vec<Arrival> {
        self.state.arrivals.borrow().clone()
    }

    /// Returns the number of crashes.
    #[must_use]
    pub fn crashes(&self) -> u64 {
        self.state.crashes.get()
    }

    /// Returns the identifiers of the requests whose connection the router closed before the
    /// response was complete.
    #[must_use]
    pub fn abandoned(&self) -> Vec<String> {
        self.state.abandoned.borrow().clone()
    }
}

impl Drop for Worker {
    fn drop(&mut self) {
        self.task.abort();
    }
}

async fn serve(state: &State, stream: TcpStream) -> io::Result<()> {
    let mut connection = Connection::new(stream)?;
    let mut refusals = Refusals::default();
    while let Some(head) = request::read_head(&mut connection).await? {
        state.wait_for_thaw().await;
        if head.target == "/api/report" {
            state.questions.set(state.questions.get() + 1);
            if !response::report(state, &mut connection).await? {
                return Ok(());
            }
            continue;
        }
        if head.target == "/api/kv-list" {
            response::kept_parts(state, &mut connection).await?;
            continue;
        }
        let scripted = state.script.borrow_mut().pop_front();
        let behaviour = scripted
            .or(*state.default.borrow())
            .expect("set at the start");
        if behaviour == Behaviour::EarlyRepeatedNotRun {
            refusals.repeat(&mut connection, 1).await?;
        }
        let Some(body) = request::read_body(&mut connection, &head).await? else {
            return Ok(());
        };
        let arrival = Arrival {
            head,
            body,
            behaviour,
            time: Instant::now(),
        };
        state.arrivals.borrow_mut().push(arrival.clone());
        let id = arrival.head.fields.text("Attempt-Id").unwrap_or_default();
        refusals.record(behaviour, id);
        if let Behaviour::RepeatedNotRun(times) = behaviour {
            refusals.repeat(&mut connection, times).await?;
        }
        if !response::respond(state, &mut connection, &arrival, id, behaviour).await? {
            return Ok(());
        }
    }
    Ok(())
}
