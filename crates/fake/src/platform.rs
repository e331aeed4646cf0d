//! Configuration service, host list and weight store on one listener.
//!
//! Paths for routers: `/v1/values/KEY`, `/v1/hosts`, `/v1/weights/MODEL`, each of them also under
//! the prefix of its service (`/config`, `/hosts`, `/weights`).
//!
//! Control calls, with `SERVICE` one of `config`, `hosts` and `weights`:
//!
//! - `POST /control/SERVICE/mode` `{"mode":"answer"|"hang"|"error"|"close","for_ms":N}`: change how
//!   the service responds, see [`Mode`]; without `for_ms` until the next call.
//! - `GET /control/SERVICE/stats`: counters.
//! - `POST /control/config/put?key=KEY&revision=N`: store the body as the value of a key.
//! - `POST /control/config/stale` `{"key","revision"}`: serve an old revision of a value;
//!   without `revision`, serve the current one again.
//! - `POST /control/config/back` `{"key","revision"}`: make an old revision the current one.
//! - `POST /control/config/rate` `{"per_second":N}`: set the rate limit, also for `weights`.
//! - `POST /control/hosts/put` `{"hosts":[..],"revision":N}`: replace the list.
//! - `POST /control/hosts/state` `{"host","state"}`: change one entry; state `gone` removes it.
//! - `POST /control/hosts/lag` `{"lag_ms":N}`: delay until a change becomes visible.
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
    /// Address for control calls.
    pub control: SocketAddr,
    /// Reads of the configuration service per second.
    pub config_rate: u32,
    /// Delay until a change of the host list becomes visible, in milliseconds.
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

/// How a service responds to calls.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum Mode {
    /// Normally.
    #[default]
    Answer,
    /// Never; the connection stays open.
    Hang,
    /// With status 503.
    Error,
    /// The listener that the three services share is closed with all its connections, until
    /// `for_ms` has passed or any service gets another mode.
    Close,
}

/// Body of the control call that changes the mode of a service.
#[derive(Clone, Copy, Debug, Deserialize, Serialize)]
pub struct ModeChange {
    /// The new mode.
    pub mode: Mode,
    /// Time after which the service responds normally again, in milliseconds; never if absent.
    #[serde(default)]
    pub for_ms: Option<u64>,
}

/// The current mode of a service.
#[derive(Debug, Default)]
struct ServiceState {
    mode: Cell<Mode>,
    until: Cell<Option<Instant>>,
}

impl ServiceState {
    fn set(&self, change: ModeChange) {
        self.mode.set(change.mode);
        let duration = change.for_ms.map(Duration::from_millis);
        self.until
            .set(duration.map(|duration| Instant::now() + duration));
    }

    fn mode(&self) -> Mode {
        match self.until.get() {
            Some(until) if Instant::now() >= until => Mode::Answer,
            _ => self.mode.get(),
        }
    }

    /// Returns nothing if the service responds normally, or an error response. Never returns if the
    /// service does not respond.
    async fn error_or_hang(&self) -> Option<http::HttpResponse> {
        match self.mode() {
            Mode::Answer => None,
            Mode::Error => Some(http::error_response(
                StatusCode::SERVICE_UNAVAILABLE,
                &"out of service",
            )),
            Mode::Hang | Mode::Close => std::future::pending().await,
        }
    }
}

#[derive(Default)]
struct ServiceStates {
    config: ServiceState,
    hosts: ServiceState,
    weights: ServiceState,
}

struct State {
    services: ServiceStates,
    values: values::Store,
    hosts: RefCell<hosts::HostList>,
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
    /// Returns an error if an address cannot be bound.
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
            services: ServiceStates::default(),
            values: values::Store::new(options.config_rate),
            hosts: RefCell::new(hosts::HostList::new(Duration::from_millis(
                options.host_lag_ms,
            ))),
            weights: weights::Store::new(options.weight_rate, options.weight_bytes),
            outage: Rc::default(),
        });
        let handler = router_handler(Rc::clone(&state));
        let server = http::Server::bind(options.listen, Rc::clone(&handler)).await?;
        let control =
            http::Server::bind(options.control, control_handler(Rc::clone(&state))).await?;
        let address = server.address();
        actix_rt::spawn(Rc::clone(&state.outage).supervise(server, handler));
        Ok(Self { address, control })
    }

    /// Returns the address for routers.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns the address for control calls.
    #[must_use]
    pub fn control(&self) -> SocketAddr {
        self.control.address()
    }
}

fn router_handler(state: Rc<State>) -> http::Handler {
    Rc::new(move |call| {
        let state = Rc::clone(&state);
        Box::pin(async move { route(&state, call).await })
    })
}

async fn route(state: &State, call: http::Call) -> http::HttpResponse {
    let path = call.path.clone();
    let path = ["/config/", "/hosts/", "/weights/"]
        .iter()
        .find_map(|prefix| path.strip_prefix(prefix).map(|rest| format!("/{rest}")))
        .unwrap_or(path);
    if let Some(key) = path.strip_prefix("/v1/values/") {
        if let Some(error) = state.services.config.error_or_hang().await {
            return error;
        }
        let response = state.values.read(key, &call).await;
        // The mode may have changed while a watch was pending.
        return state
            .services
            .config
            .error_or_hang()
            .await
            .unwrap_or(response);
    }
    if path == "/v1/hosts" {
        let error = state.services.hosts.error_or_hang().await;
        return error.unwrap_or_else(|| state.hosts.borrow_mut().read(&call));
    }
    if let Some(model) = path.strip_prefix("/v1/weights/") {
        let error = state.services.weights.error_or_hang().await;
        return error.unwrap_or_else(|| state.weights.read(model));
    }
    http::not_found(&call)
}

fn control_handler(state: Rc<State>) -> http::Handler {
    Rc::new(move |call| {
        let state = Rc::clone(&state);
        Box::pin(async move { handle_control(&state, &call).unwrap_or_else(|response| response) })
    })
}

fn handle_control(
    state: &State,
    call: &http::Call,
) -> Result<http::HttpResponse, http::HttpResponse> {
    let path = call.path.strip_prefix("/control/").unwrap_or_default();
    let (service, action) = path.split_once('/').unwrap_or((path, ""));
    let service_state = match service {
        "config" => &state.services.config,
        "hosts" => &state.services.hosts,
        "weights" => &state.services.weights,
        _ => return Err(http::not_found(call)),
    };
    if action == "mode" {
        let change: ModeChange = call.json()?;
        if change.mode == Mode::Close {
            state.outage.begin(change.for_ms.map(Duration::from_millis));
        } else {
            state.outage.end();
            service_state.set(change);
        }
        return Ok(http::ok());
    }
    match service {
        "config" => state.values.control(action, call),
        "hosts" => state.hosts.borrow_mut().control(action, call),
        _ => state.weights.control(action, call),
    }
}
