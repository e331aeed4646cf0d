//! From the head of a request to its life.

use std::rc::Rc;

use bytes::Bytes;
use tsw_base::time::{Span, Tick};
use tsw_flow::prompt::Prompt;
use tsw_http::head;
use tsw_platform::front;
use tsw_relay::{
    local_response::{LocalResponse, Refusal},
    request::Request,
};
use tsw_route::{
    table::{Route, Table, Team},
    Name,
};

/// Time after which a client may come back to a router that knows no configuration yet. It learns
/// one from a peer or the store within a few round trips.
const STARTING: Span = Span::from_millis(300);

/// A request that is allowed; its body is still to be read.
#[derive(Debug)]
pub struct Allowed {
    id: Name,
    route: Rc<Route>,
    service: Name,
    team: Option<Rc<Team>>,
    prompt: Option<Prompt>,
    resume_after: Option<Bytes>,
    deadline_ms: Option<u64>,
}

/// A request that is answered by the router itself.
#[derive(Clone, Debug, PartialEq)]
pub struct Denied {
    /// Identifier of the request, if it has one.
    pub id: Option<String>,
    /// The answer.
    pub own: LocalResponse,
}

/// Checks a request against the table in force. `draw` chooses among the services of a route.
///
/// # Errors
///
/// Returns the answer to a request that is not allowed.
pub fn check(
    head: &head::Request,
    table: Option<&Rc<Table>>,
    draw: u64,
) -> Result<Allowed, Denied> {
    let stated = front::read(head);
    let deny = |own| {
        let id = stated.id.clone();
        Err(Denied { id, own })
    };
    let Some(table) = table else {
        return deny(LocalResponse::NotRun(Refusal::Starting, STARTING));
    };
    let path = std::str::from_utf8(head.path()).ok();
    let path = path.filter(|path| path.starts_with('/'));
    let (Some(id), Some(host), Some(path)) = (&stated.id, &stated.host, path) else {
        return deny(LocalResponse::Malformed);
    };
    let Some(route) = table.route(host, path) else {
        return deny(LocalResponse::RouteNotFound);
    };
    let team = stated.key.as_deref().and_then(|key| table.team(key));
    if table.has_teams && !route.public && team.is_none() {
        return deny(LocalResponse::Unauthorized);
    }
    let Some(service) = route.service(draw) else {
        return deny(LocalResponse::NotRun(Refusal::NoUpstream, STARTING));
    };
    Ok(Allowed {
        id: id.as_str().into(),
        service: service.clone(),
        route: route.clone(),
        team: team.cloned(),
        prompt: stated.prompt,
        resume_after: stated.resume_after,
        deadline_ms: stated.deadline_ms,
    })
}

impl Allowed {
    /// Makes the request, once its body has arrived.
    #[must_use]
    pub fn request(self, head: head::Request, body: Bytes, arrived: Tick) -> Request {
        let mut fields = head.fields;
        front::strip(&mut fields);
        let wait = match self.deadline_ms {
            Some(ms) => Span::from_millis(ms),
            None => {
                Span::from_micros(u64::try_from(self.route.timeout.as_micros()).unwrap_or(u64::MAX))
            }
        };
        let rank = self.team.as_ref().and_then(|team| team.priority);
        Request {
            id: self.id,
            method: head.method,
            target: head.target,
            fields,
            body,
            priority: rank.unwrap_or(self.route.priority),
            service: self.service,
            team: self.team.map(|team| team.name.clone()),
            prompt: self.prompt.filter(|_| self.route.kind.is_stream()),
            route: self.route,
            resume_after: self.resume_after,
            arrived,
            deadline: arrived + wait,
        }
    }
}
