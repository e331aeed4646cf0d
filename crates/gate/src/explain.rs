//! Explains where a request would go now, without sending it.

use std::rc::Rc;

use bytes::Bytes;
use serde_json::{json, Value};
use tsw_base::time::Span;
use tsw_flow::{
    mix::Balance,
    pool::Candidate,
    prompt::{Part, Prompt},
};
use tsw_http::field::Fields;
use tsw_relay::{
    request::Request,
    reservation::{Decision, Plan},
};
use tsw_route::table::Table;

use crate::state::State;

/// Path of the endpoint.
pub const PATH: &str = "/plan";
/// Fields that describe the request.
const HOST: &str = "toucan-host";
const TARGET: &str = "toucan-path";
const TEAM: &str = "toucan-team";
/// Prompt tokens, and tokens to generate.
const TOKENS: &str = "toucan-tokens";
const OUTPUT: &str = "toucan-output";
/// Parts of the prompt as ID:TOKENS, separated by commas, with identifiers in hexadecimal digits.
const PARTS: &str = "toucan-parts";
/// Maximum number of tokens, so that sums cannot overflow.
const MAX_TOKENS: u64 = 1 << 32;

/// Why a request cannot be explained.
#[derive(Clone, Copy, Debug, Eq, PartialEq, thiserror::Error)]
enum Error {
    #[error("no configuration is known yet")]
    Starting,
    #[error("{0} is missing")]
    Missing(&'static str),
    #[error("{0} is no number of tokens up to 4294967296")]
    Tokens(&'static str),
    #[error("{PARTS} is no list of ID:TOKENS with hexadecimal identifiers")]
    Parts,
    #[error("no such route")]
    Route,
    #[error("no service of the route is known")]
    Service,
}

impl Error {
    const fn status(self) -> u16 {
        match self {
            Self::Starting | Self::Service => 503,
            Self::Missing(_) | Self::Tokens(_) | Self::Parts => 400,
            Self::Route => 404,
        }
    }
}

/// Returns the status and the body of the response.
pub(crate) fn respond(state: &State, fields: &Fields) -> (u16, Vec<u8>) {
    let explained = request(state, fields).and_then(|request| {
        let plan = state.router.plan(&request).ok_or(Error::Service)?;
        Ok(describe(state, &plan))
    });
    let (status, body) = match explained {
        Ok(body) => (200, body),
        Err(error) => (error.status(), json!({ "error": error.to_string() })),
    };
    (status, body.to_string().into_bytes())
}

fn tokens(text: &str, name: &'static str) -> Result<u64, Error> {
    let tokens = text.trim().parse().ok();
    let tokens = tokens.filter(|tokens| *tokens <= MAX_TOKENS);
    tokens.ok_or(Error::Tokens(name))
}

fn prompt(fields: &Fields) -> Result<Option<Prompt>, Error> {
    let Some(input) = fields.text(TOKENS) else {
        return Ok(None);
    };
    let parts = fields.text(PARTS).unwrap_or_default().split(',');
    let parts = parts.filter(|part| !part.trim().is_empty()).map(|part| {
        let (id, length) = part.trim().split_once(':').ok_or(Error::Parts)?;
        Ok(Part {
            id: u64::from_str_radix(id, 16).map_err(|_| Error::Parts)?,
            tokens: tokens(length, PARTS)?,
        })
    });
    Ok(Some(Prompt {
        tokens: tokens(input, TOKENS)?,
        expected_tokens: tokens(fields.text(OUTPUT).unwrap_or("0"), OUTPUT)?,
        parts: parts.collect::<Result<_, _>>()?,
    }))
}

/// Builds the request that the fields describe.
fn request(state: &State, fields: &Fields) -> Result<Request, Error> {
    let table: Rc<Table> = state.router.table().ok_or(Error::Starting)?;
    let host = fields.text(HOST).ok_or(Error::Missing(HOST))?;
    let target = fields.text(TARGET).ok_or(Error::Missing(TARGET))?;
    let prompt = prompt(fields)?;
    let route = table.route(host, target).ok_or(Error::Route)?;
    let service = route.service(0).ok_or(Error::Service)?;
    let arrived = state.router.now();
    let timeout = u64::try_from(route.timeout.as_micros()).unwrap_or(u64::MAX);
    Ok(Request {
        id: "plan".into(),
        method: Bytes::from_static(b"GET"),
        target: Bytes::copy_from_slice(target.as_bytes()),
        fields: Fields::default(),
        body: Bytes::new(),
        priority: route.priority,
        service: service.clone(),
        team: fields.text(TEAM).map(Into::into),
        prompt: prompt.filter(|_| route.kind.is_stream()),
        route: route.clone(),
        resume_after: None,
        resumes: None,
        origin: None,
        is_verified: false,
        arrived,
        deadline: arrived + Span::from_micros(timeout),
    })
}

fn describe(state: &State, plan: &Plan) -> Value {
    let now = state.router.now();
    let decision = match &plan.decision {
        Decision::Start(choice) => json!({ "do": "start", "upstream": *choice.id }),
        Decision::Wait(until) => json!({ "do": "wait", "ms": until.since(now).as_millis() }),
        Decision::Refuse(refusal) => json!({ "do": "refuse", "cause": refusal.name() }),
        Decision::Unavailable { pause, wait } => json!({
            "do": "refuse",
            "cause": if pause >= wait { "paused" } else { "limited" },
        }),
    };
    let balance = match plan.balance {
        Balance::Behind => "behind",
        Balance::Even => "even",
        Balance::Ahead => "ahead",
    };
    let candidates: Vec<Value> = plan.candidates.iter().map(candidate).collect();
    json!({
        "service": *plan.service,
        "decision": decision,
        "retry_after_ms": plan.retry_after.map(Span::as_millis),
        "team_served": plan.served,
        // JSON has no infinity: without a limit there is no share.
        "fair_share": plan.fair_share.is_finite().then_some(plan.fair_share),
        "share_wait_ms": plan.wait.as_millis(),
        "kind": balance,
        "candidates": candidates,
    })
}

fn candidate(candidate: &Candidate) -> Value {
    json!({
        "upstream": *candidate.id,
        "domain": *candidate.domain,
        "cost": candidate.cost,
        "excluded": candidate.excluded,
        "requests": candidate.requests,
        "slots": candidate.slots,
        "pending_tokens": candidate.pending_tokens,
        "uncached_tokens": candidate.uncached_tokens,
        "slowness": candidate.slowness,
    })
}
