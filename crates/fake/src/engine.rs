//! Model engines with continuous batching.
//!
//! A request joins the batch at the next step. Once its prompt has been processed (prefill), each
//! step produces one token for it. Beyond the batch limit, requests wait inside the engine in order
//! of arrival; there are no priorities. The text of a token depends only on the prompt and on the
//! index of the token, so a stream that is resumed at another engine continues with the same
//! tokens.
//!
//! Calls: `POST /v1/generate` `{"request_id","prompt","max_tokens","resume_from"}`,
//! `DELETE /v1/generate/ID`, `GET /v1/load`, `GET /v1/cache-events?after=N`, `POST /v1/orders`,
//! `GET|PUT /v1/kv/ID`. The last line of a stream is `{"end":true,"tokens":N}`, where N includes
//! the tokens before `resume_from`. `#tokens=N` in the prompt overrides `max_tokens`; `#crash`
//! crashes each engine that starts to execute the request.
//!
//! Control calls, for one engine with `?name=NAME`, otherwise for all engines of the process:
//!
//! - `POST /control/slow` `{"factor":10,"for_ms":5000}`: slow down; without `for_ms` until the
//!   next call.
//! - `POST /control/crash` `{"down_ms":3000,"exit":false}`: drop all streams and caches and refuse
//!   connections for a time, or exit the process. Without a body, the flags of the program apply.
//! - `POST /control/leave` `{"leaving":true}`: mark the engine as leaving: the history then
//!   records the time since this call for each start, and requests that arrive more than 3 s later
//!   are counted as late.
//! - `POST /control/load` `{"lag_ms":N}`: set the lag of load reports.
//! - `GET /control/stats`: counters by engine name.

use std::{net::SocketAddr, rc::Rc, time::Duration};

use indexmap::IndexMap;

use crate::{history, http};

mod batch;
pub mod cache;
mod control;
mod report;
mod serve;
mod state;
pub mod stats;
pub mod timing;
mod weights;

pub use batch::{response_tokens, token};
pub use state::{Crash, Engine};

/// Exit code of a process that simulates a crash.
pub const CRASH_EXIT_CODE: i32 = 70;

/// Whether engines check the fencing tokens of orders.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum Fencing {
    /// An order with an old token is refused with status 409.
    Checked,
    /// An order is carried out whatever its token.
    #[default]
    Ignored,
}

/// The text is not a [`Fencing`].
#[derive(Clone, Debug, Eq, PartialEq, thiserror::Error)]
#[error("{0:?} is not a way to handle fencing; use checked or ignored")]
pub struct InvalidFencing(String);

impl std::str::FromStr for Fencing {
    type Err = InvalidFencing;

    fn from_str(text: &str) -> Result<Self, InvalidFencing> {
        match text {
            "checked" => Ok(Self::Checked),
            "ignored" => Ok(Self::Ignored),
            _ => Err(InvalidFencing(text.to_owned())),
        }
    }
}

/// Settings of an engine.
#[derive(Clone, Debug)]
pub struct Options {
    /// Duration of a step.
    pub timing: timing::Timing,
    /// Maximum number of requests in the batch.
    pub batch_limit: usize,
    /// Maximum number of prompt tokens processed in one step, for all requests together.
    pub prefill_chunk: u64,
    /// Capacity of the prefix cache in blocks.
    pub cache_blocks: usize,
    /// Lag of load reports.
    pub load_lag: Duration,
    /// Lag of cache events.
    pub event_lag: Duration,
    /// Every event whose number is a multiple of this one is lost; 0 loses none.
    pub event_gap: u64,
    /// Version of the software, which is stated in each response.
    pub version: Option<String>,
    /// Whether fencing tokens are checked.
    pub fencing: Fencing,
    /// Base URL of the weight store; without it, models load immediately.
    pub weights: Option<String>,
    /// What a crash does if the control call does not specify it.
    pub crash: Crash,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            timing: timing::Timing::default(),
            batch_limit: 16,
            prefill_chunk: 512,
            cache_blocks: 4_096,
            load_lag: Duration::from_millis(500),
            event_lag: Duration::from_millis(1_000),
            event_gap: 10,
            version: None,
            fencing: Fencing::Ignored,
            weights: None,
            crash: Crash {
                exit: false,
                down_ms: 2_000,
            },
        }
    }
}

/// Several engines of one process, with one control listener.
pub struct Fleet {
    engines: Rc<IndexMap<String, Engine>>,
    addresses: Vec<(String, SocketAddr)>,
    control: http::Server,
}

impl Fleet {
    /// Starts engines inside the current `actix_rt` system.
    ///
    /// # Errors
    ///
    /// Returns an error if an address cannot be bound.
    ///
    /// ```
    /// use tsw_fake::{engine, history};
    ///
    /// let any = "127.0.0.1:0".parse()?;
    /// actix_rt::System::new().block_on(async {
    ///     let names = [("engine".to_owned(), any)];
    ///     let writer = history::Writer::default();
    ///     let fleet = engine::Fleet::bind(&names, any, engine::Options::default(), writer).await?;
    ///     assert_eq!(fleet.addresses().len(), 1);
    ///     Ok::<(), tsw_fake::http::Error>(())
    /// })?;
    /// # Ok::<(), Box<dyn std::error::Error>>(())
    /// ```
    pub async fn bind(
        names: &[(String, SocketAddr)],
        control: SocketAddr,
        options: Options,
        history: history::Writer,
    ) -> Result<Self, http::Error> {
        let mut engines = IndexMap::new();
        let mut addresses = Vec::new();
        for (name, address) in names {
            let engine = Engine::new(name.clone(), options.clone(), history.clone());
            let handler = serve::handler(engine.clone());
            let server = http::Server::bind(*address, Rc::clone(&handler)).await?;
            addresses.push((name.clone(), server.address()));
            actix_rt::spawn(engine.outage().supervise(server, handler));
            actix_rt::spawn(engine.clone().run_steps());
            engines.insert(name.clone(), engine);
        }
        let engines = Rc::new(engines);
        let handler = control::handler(Rc::clone(&engines));
        let control = http::Server::bind(control, handler).await?;
        Ok(Self {
            engines,
            addresses,
            control,
        })
    }

    /// Returns the name and the address of each engine.
    #[must_use]
    pub fn addresses(&self) -> &[(String, SocketAddr)] {
        &self.addresses
    }

    /// Returns the address for control calls.
    #[must_use]
    pub fn control(&self) -> SocketAddr {
        self.control.address()
    }

    /// Returns an engine by name.
    #[must_use]
    pub fn engine(&self, name: &str) -> Option<&Engine> {
        self.engines.get(name)
    }
}
