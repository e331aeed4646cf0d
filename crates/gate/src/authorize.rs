//! Checks the head of a request against the active table and selects its route, team and service.

use std::rc::Rc;

use bytes::Bytes;
use tsw_base::time::{Span, Timestamp};
use tsw_flow::{origin::Key, prompt::Prompt};
use tsw_http::head;
use tsw_platform::client_request;
use tsw_relay::{
    local_response::{LocalResponse, Refusal},
    request::Request,
};
use tsw_route::{
    table::{Route, Table, Team},
    Name,
};

/// Retry delay told to clients of a router that has no configuration yet. It obtains one from a
/// peer or the store within a few round trips.
const STARTUP_RETRY_AFTER: Span = Span::from_millis(300);

/// A request that passed the checks; its body has not been read yet.
#[derive(Debug)]
pub struct Allowed {
    id: Name,
    route: Rc<Route>,
    service: Name,
    team: Option<Rc<Team>>,
    prompt: Option<Prompt>,
    resume_after: Option<Bytes>,
    resumes: Option<Name>,
    deadline_ms: Option<u64>,
}

/// A request that failed the checks and is answered by the router itself.
#[derive(Clone, Debug, PartialEq)]
pub struct Denied {
    /// Identifier of the request, if the client sent one.
    pub id: Option<String>,
    /// The response.
    pub response: LocalResponse,
}

/// Checks a request against the active table.
///
/// The identifier of a stream selects among the weighted services of its route, so that all routers
/// select the same one for it.
///
/// # Errors
///
/// Returns the response to a request that fails a check.
pub fn check(head: &head::Request, table: Option<&Rc<Table>>) -> Result<Allowed, Denied> {
    let parsed = client_request::parse(head);
    let deny = |response| {
        let id = parsed.id.clone();
        Err(Denied { id, response })
    };
    let Some(table) = table else {
        return deny(LocalResponse::NotRun(
            Refusal::Starting,
            STARTUP_RETRY_AFTER,
        ));
    };
    let path = std::str::from_utf8(head.path()).ok();
    let path = path.filter(|path| path.starts_with('/'));
    let (Some(id), Some(host), Some(path)) = (&parsed.id, &parsed.host, path) else {
        return deny(LocalResponse::Malformed);
    };
    let Some(route) = table.route(host, path) else {
        return deny(LocalResponse::RouteNotFound);
    };
    let team = parsed.key.as_deref().and_then(|key| table.team(key));
    if table.has_teams && !route.public && team.is_none() {
        return deny(LocalResponse::Unauthorized);
    }
    let team_name = team.map_or("-", |team| &team.name);
    let draw = Key::new(team_name, parsed.resumes.as_ref().unwrap_or(id));
    let Some(service) = route.service(draw.0) else {
        return deny(LocalResponse::NotRun(
            Refusal::NoUpstream,
            STARTUP_RETRY_AFTER,
        ));
    };
    Ok(Allowed {
        id: id.as_str().into(),
        service: service.clone(),
        route: route.clone(),
        team: team.cloned(),
        prompt: parsed.prompt,
        resume_after: parsed.resume_after,
        resumes: parsed.resumes.map(Into::into),
        deadline_ms: parsed.deadline_ms,
    })
}

impl Allowed {
    /// Returns the name of the team, or `-` without one.
    #[must_use]
    pub fn team_name(&self) -> Name {
        self.team
            .as_ref()
            .map_or_else(|| "-".into(), |team| team.name.clone())
    }

    /// Builds the request once its body has arrived.
    #[must_use]
    pub fn into_request(self, head: head::Request, body: Bytes, arrived: Timestamp) -> Request {
        let mut fields = head.fields;
        client_request::remove_reserved(&mut fields);
        let timeout = match self.deadline_ms {
            Some(ms) => Span::from_millis(ms),
            None => {
                Span::from_micros(u64::try_from(self.route.timeout.as_micros()).unwrap_or(u64::MAX))
            }
        };
        let team_priority = self.team.as_ref().and_then(|team| team.priority);
        Request {
            id: self.id,
            method: head.method,
            target: head.target,
            fields,
            body,
            priority: team_priority.unwrap_or(self.route.priority),
            service: self.service,
            team: self.team.map(|team| team.name.clone()),
            prompt: self.prompt.filter(|_| self.route.kind.is_stream()),
            route: self.route,
            resume_after: self.resume_after,
            resumes: self.resumes,
            origin: None,
            is_verified: false,
            arrived,
            deadline: arrived + timeout,
        }
    }
}
