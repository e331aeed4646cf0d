//! Header conventions used with upstreams and clients.

use bytes::Bytes;
use tsw_base::time::Span;
use tsw_flow::{
    pool::{Choice, Load},
    rate::Rate,
};
use tsw_http::{field::Fields, head};

use crate::request::Request;

/// What the header fields of a response state besides its status.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ResponseInfo {
    /// The upstream did not run the request and never will.
    pub not_run: bool,
    /// Whether the response belongs to this request, by the request identifier that it repeats;
    /// `None` if it repeats none.
    pub matches_request: Option<bool>,
    /// The upstream that sent it takes no further request.
    pub leaving: bool,
    /// The pause that the upstream asks for.
    pub pause: Option<Pause>,
    /// The request rate that the upstream takes from all routers together.
    pub rate: Option<StatedRate>,
    /// The load that the upstream states.
    pub load: Option<Load>,
}

/// A request rate that an upstream states in a response.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum StatedRate {
    /// It takes this rate.
    Usable(Rate),
    /// What it states cannot be used, or it states different rates, the lowest of which is given.
    Unusable(Option<Rate>),
}

/// A pause that an upstream asks for in a response.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Pause {
    /// It takes no request for this time.
    For(Span),
    /// It asks for more than the maximum, and gets this time.
    Shortened(Span),
    /// What it asks for cannot be used.
    Unusable,
}

/// The header conventions of one kind of upstream and client.
pub trait Protocol {
    /// Builds the head of the request to the chosen upstream, which stops its work after `left_ms`
    /// milliseconds. `after` is the identifier of the event after which a stream resumes.
    fn request_head(
        &self,
        request: &Request,
        choice: &Choice,
        left_ms: u64,
        after: Option<&Bytes>,
    ) -> head::Request;

    /// Reads the head of a response to a request.
    fn response_info(&self, request: &Request, head: &head::Response) -> ResponseInfo;

    /// Returns whether an upstream states in the head of a response that it leaves.
    fn states_leaving(&self, head: &head::Response) -> bool;

    /// Builds the head of the question to an upstream for the start of its run.
    fn run_question(&self, choice: &Choice) -> head::Request;

    /// Reads the start of the run, in milliseconds since 1970, from the answer to that question.
    fn run_start(&self, answer: &[u8]) -> Option<u64>;

    /// Builds the head of the question to an upstream for the prompt parts that it keeps.
    fn parts_question(&self, choice: &Choice) -> head::Request;

    /// Reads the identifiers of the parts from the answer to that question.
    fn kept_parts(&self, answer: &[u8]) -> Option<Vec<u64>>;

    /// Returns the header fields of a response that the router generates itself.
    fn local_response_fields(&self, id: Option<&str>, retry_after_s: Option<f64>) -> Fields;
}
