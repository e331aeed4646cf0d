//! Configuration service, host list and weight store behind one listener.
//!
//! Paths of the ordinary listener: `/v1/values/KEY`, `/v1/hosts`, `/v1/weights/MODEL`, each also
//! under the prefix of its service (`/config`, `/hosts`, `/weights`).
//!
//! Control calls, with `SERVICE` one of `config`, `hosts` and `weights`:
//!
//! - `POST /control/SERVICE/mode` `{"mode":"answer"|"hang"|"error"|"close","for_ms":N}`: stop
//!   answering, or answer with status 503; without `for_ms` until the next call.
//! - `GET /control/SERVICE/stats`: counters.
//! - `POST /control/config/put?key=KEY&revision=N`: store the body as a value.
//! - `POST /control/config/stale` `{"key","revision"}`: serve an old value; without `revision` the
//!   newest again.
//! - `POST /control/config/back` `{"key","revision"}`: make an old value the current one.
//! - `POST /control/config/rate` `{"per_second":N}`, same for `weights`.
//! - `POST /control/hosts/put` `{"hosts":[..],"revision":N}`: replace the list.
//! - `POST /control/hosts/state` `{"host","state"}`: change one entry; state `gone` removes it.
//! - `POST /control/hosts/lag` `{"lag_ms":N}`: time before a change shows.
//! - `POST /control/hosts/routes` `{"routes":[..]}`: see [`hosts::Route`].

use std::{
    cell::{Cell, RefCell},
    net::SocketAddr,
    rc::Rc,
    time::Duration,
};

use actix_http::StatusCode;
use actix_rt::time::Instant;
use serde::{Deserialize, Serialize};

use crate::http;

pub mod hosts;
pub mod rate;
pub mod values;
pub mod weights;

/// Settings of the platform.
#[derive(Clone, Debug)]
pub struct Options {
    /// Address for routers.
    pub listen: SocketAddr,
    /// Address for tests.
    pub control: SocketAddr,
    /// Reads of the configuration service per second.
    pub config_rate: u32,
    /// Time before a change of the host list shows, in milliseconds.
    pub host_lag_ms: u64,
    /// Reads of the weight store per second.
    pub weight_rate: u32,
    /// Size of a model in the weight store, in bytes.
    pub weight_bytes: usize,
}

impl Default for Options {
    fn default() -> Self {
        let any = SocketAddr::from(([127, 0, 0, 1], 0));
        Self {
            listen: any,
            control: any,
            config_rate: 2_000,
            host_lag_ms: 500,
            weight_rate: 10,
            weight_bytes: 65_536,
        }
    }
}

/// How a service answers.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum Mode {
    /// As usual.
    #[default]
    Answer,
    /// Not at all; the connection stays open.
    Hang,
    /// With status 503.
    Error,
    /// By closing all connections, and refusing new ones, of all three services, until any of them
    /// gets another mode.
    Close,
}

/// Control call that changes the mode.
#[derive(Clone, Copy, Debug, Deserialize, Serialize)]
pub struct Change {
    /// The new mode.
    pub mode: Mode,
    /// Time after which the service answers again, in milliseconds; forever when absent.
    #[serde(default)]
    pub for_ms: Option<u64>,
}

/// The current mode of a service.
#[derive(Debug, Default)]
struct Switch {
    mode: Cell<Mode>,
    until: Cell<Option<Instant>>,
}

impl Switch {
    fn set(&self, change: Change) {
        self.mode.set(change.mode);
        let until = change.for_ms.map(Duration::from_millis);
        self.until.set(until.map(|after| Instant::now() + after));
    }

    fn mode(&self) -> Mode {
        match self.until.get() {
            Some(until) if Instant::now() >= until => Mode::Answer,
            _ => self.mode.get(),
        }
    }

    /// Returns at once when the service answers; otherwise returns the refusal, or never.
    async fn pass(&self) -> Option<http::Reply> {
        match self.mode() {
            Mode::Answer => None,
            Mode::Error => Some(http::fault(
                StatusCode::SERVICE_UNAVAILABLE,
                &"out of service",
            )),
            Mode::Hang | Mode::Close => std::future::pending().await,
        }
    }
}

#[derive(Default)]
struct Switches {
    config: Switch,
    hosts: Switch,
    weights: Switch,
}

struct State {
    switches: Switches,
    values: values::Store,
    hosts: RefCell<hosts::Book>,
    weights: weights::Store,
    outage: Rc<http::Outage>,
}

/// The three services with their listeners.
pub struct Platform {
    address: SocketAddr,
    control: http::Server,
}

impl Platform {
    /// Starts the services inside the current `actix_rt` system.
    ///
    /// # Errors
    ///
    /// Returns why an address cannot be listened on.
    ///
    /// ```
    /// use tsw_fake::platform;
    ///
    /// actix_rt::System::new().block_on(async {
    ///     let platform = platform::Platform::bind(platform::Options::default()).await?;
    ///     assert_ne!(platform.address(), platform.control());
    ///     Ok::<(), tsw_fake::http::Error>(())
    /// })?;
    /// # Ok::<(), tsw_fake::http::Error>(())
    /// ```
    pub async fn bind(options: Options) -> Result<Self, http::Error> {
        let state = Rc::new(State {
            switches: Switches::default(),
            values: values::Store::new(options.config_rate),
            hosts: RefCell::new(hosts::Book::new(Duration::from_millis(options.host_lag_ms))),
            weights: weights::Store::new(options.weight_rate, options.weight_bytes),
            outage: Rc::default(),
        });
        let handler = serve(Rc::clone(&state));
        let server = http::Server::bind(options.listen, Rc::clone(&handler)).await?;
        let control = http::Server::bind(options.control, command(Rc::clone(&state))).await?;
        let address = server.address();
        actix_rt::spawn(Rc::clone(&state.outage).supervise(server, handler));
        Ok(Self { address, control })
    }

    /// Returns the address for routers.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns the address for tests.
    #[must_use]
    pub fn control(&self) -> SocketAddr {
        self.control.address()
    }
}

fn serve(state: Rc<State>) -> http::Handler {
    Rc::new(move |call| {
        let state = Rc::clone(&state);
        Box::pin(async move { route(&state, call).await })
    })
}

async fn route(state: &State, call: http::Call) -> http::Reply {
    let path = call.path.clone();
    let path = ["/config/", "/hosts/", "/weights/"]
        .iter()
        .find_map(|prefix| path.strip_prefix(prefix).map(|rest| format!("/{rest}")))
        .unwrap_or(path);
    if let Some(key) = path.strip_prefix("/v1/values/") {
        if let Some(refused) = state.switches.config.pass().await {
            return refused;
        }
        let reply = state.values.read(key, &call).await;
        // The service may have stopped answering while a watch was pending.
        return state.switches.config.pass().await.unwrap_or(reply);
    }
    if path == "/v1/hosts" {
        let refused = state.switches.hosts.pass().await;
        return refused.unwrap_or_else(|| state.hosts.borrow_mut().read(&call));
    }
    if let Some(model) = path.strip_prefix("/v1/weights/") {
        let refused = state.switches.weights.pass().await;
        return refused.unwrap_or_else(|| state.weights.read(model));
    }
    http::missing(&call)
}

fn command(state: Rc<State>) -> http::Handler {
    Rc::new(move |call| {
        let state = Rc::clone(&state);
        Box::pin(async move { control(&state, &call).unwrap_or_else(|reply| reply) })
    })
}

fn control(state: &State, call: &http::Call) -> Result<http::Reply, http::Reply> {
    let path = call.path.strip_prefix("/control/").unwrap_or_default();
    let (service, verb) = path.split_once('/').unwrap_or((path, ""));
    let switch = match service {
        "config" => &state.switches.config,
        "hosts" => &state.switches.hosts,
        "weights" => &state.switches.weights,
        _ => return Err(http::missing(call)),
    };
    if verb == "mode" {
        let change: Change = call.json()?;
        if change.mode == Mode::Close {
            state.outage.begin(change.for_ms.map(Duration::from_millis));
        } else {
            state.outage.end();
            switch.set(change);
        }
        return Ok(http::done());
    }
    match service {
        "config" => state.values.control(verb, call),
        "hosts" => state.hosts.borrow_mut().control(verb, call),
        _ => state.weights.control(verb, call),
    }
}
