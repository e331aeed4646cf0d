//! How upstreams are spoken to.

use bytes::Bytes;
use tsw_flow::pool::Choice;
use tsw_http::{field::Fields, head};

use crate::request::Request;

/// What the head of a response says, beside its status.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Report {
    /// The upstream did not run the request and never will.
    pub not_run: bool,
    /// Identifier of the request that the response answers: `None` if it names none.
    pub own: Option<bool>,
}

/// The headers that a kind of upstream and client uses.
pub trait Dialect {
    /// Makes the head of the request to a chosen upstream that stops its work after `left_ms`
    /// milliseconds. `after` names the event after which a stream continues.
    fn request(
        &self,
        request: &Request,
        choice: &Choice,
        left_ms: u64,
        after: Option<&Bytes>,
    ) -> head::Request;

    /// Reads the head of a response to a request.
    fn report(&self, request: &Request, head: &head::Response) -> Report;

    /// Returns the fields of an answer of the router itself.
    fn answer(&self, id: Option<&str>, retry_after_s: Option<f64>) -> Fields;
}
