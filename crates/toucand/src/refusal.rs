//! Reasons for refusing a request.

use actix_http::StatusCode;
use tsw_base::time;

/// Why a request is refused. It was not sent to an upstream and never will be.
#[derive(Clone, Debug, Eq, PartialEq, thiserror::Error)]
pub enum Refusal {
    /// The bearer token is absent or belongs to no team.
    #[error("the header authorization holds no bearer token of a team")]
    Credential,
    /// The path does not exist in the interface.
    #[error("there is no such path")]
    Path,
    /// The method is not allowed for the path or the service.
    #[error("the method does not suit the path")]
    Method,
    /// The service does not exist.
    #[error("there is no service of that name")]
    Service,
    /// The team has no share of the service.
    #[error("the team has no share of the service")]
    Share,
    /// A header is malformed.
    #[error("the header {0} is malformed")]
    Header(&'static str),
    /// The body is too large.
    #[error("the body exceeds {limit} bytes")]
    BodyTooLarge {
        /// The limit in bytes.
        limit: usize,
    },
    /// The connection ended before the whole body arrived.
    #[error("the body is not complete")]
    BodyTruncated,
    /// The body did not arrive in time.
    #[error("the body did not arrive in time")]
    BodyTimeout,
    /// The body is not valid for the service.
    #[error("the body is not valid: {0}")]
    Body(String),
    /// The deadline is 0 or has passed.
    #[error("the deadline has passed")]
    Deadline,
    /// Equal requests, or others with the same lines in their prompts, crash upstreams.
    #[error("an equal request, or one with the same lines, crashed several upstreams")]
    Poison,
    /// The queue of the team is full.
    #[error("the queue of the team is full")]
    QueueFull {
        /// Suggested delay before a retry.
        after: time::Span,
    },
    /// The expected wait for a slot exceeds the deadline.
    #[error("the expected wait exceeds the deadline")]
    WaitTooLong {
        /// The expected wait.
        after: time::Span,
    },
    /// The router is starting and not ready yet.
    #[error("the router is starting")]
    Starting,
    /// The router is draining before it stops.
    #[error("the router is stopping")]
    Draining,
    /// A non-idempotent call has no key.
    #[error("the service needs the header toucan-key: a permit, a dot and a suffix")]
    KeyMissing,
    /// The key is malformed, forged, or was issued for another team or service.
    #[error("the key is not valid: {0}")]
    Key(String),
    /// The key was used for another request.
    #[error("the key was used for another request")]
    KeyConflict,
    /// The key is sealed, or its witnesses do not accept it.
    #[error("the call cannot run under this key: {0}")]
    Sealed(String),
    /// No upstream could be reached.
    #[error("no upstream could be reached")]
    Unreachable,
    /// The table of non-idempotent calls is full.
    #[error("the table of keys is full")]
    KeyTableFull,
}

impl Refusal {
    /// Returns the machine-readable code.
    #[must_use]
    pub const fn code(&self) -> &'static str {
        match self {
            Self::Credential => "credential",
            Self::Path => "path",
            Self::Method => "method",
            Self::Service => "service",
            Self::Share => "share",
            Self::Header(_) => "header",
            Self::BodyTooLarge { .. } => "body-large",
            Self::BodyTruncated => "body-truncated",
            Self::BodyTimeout => "body-slow",
            Self::Body(_) => "body",
            Self::Deadline => "deadline",
            Self::Poison => "poison",
            Self::QueueFull { .. } => "queue-full",
            Self::WaitTooLong { .. } => "too-late",
            Self::Starting => "starting",
            Self::Draining => "draining",
            Self::KeyMissing => "key-missing",
            Self::Key(_) => "key",
            Self::KeyConflict => "key-conflict",
            Self::Sealed(_) => "sealed",
            Self::Unreachable => "unreachable",
            Self::KeyTableFull => "keys-full",
        }
    }

    /// Returns the HTTP status.
    #[must_use]
    pub const fn status(&self) -> StatusCode {
        match self {
            Self::Credential => StatusCode::UNAUTHORIZED,
            Self::Share => StatusCode::FORBIDDEN,
            Self::Path | Self::Method | Self::Service => StatusCode::NOT_FOUND,
            Self::Header(_) | Self::BodyTruncated | Self::BodyTimeout => StatusCode::BAD_REQUEST,
            Self::BodyTooLarge { .. } => StatusCode::PAYLOAD_TOO_LARGE,
            Self::Body(_) | Self::KeyMissing | Self::Key(_) | Self::Poison => {
                StatusCode::UNPROCESSABLE_ENTITY
            }
            Self::KeyConflict => StatusCode::CONFLICT,
            Self::QueueFull { .. } | Self::WaitTooLong { .. } => StatusCode::TOO_MANY_REQUESTS,
            Self::Deadline
            | Self::Starting
            | Self::Draining
            | Self::Sealed(_)
            | Self::Unreachable
            | Self::KeyTableFull => StatusCode::SERVICE_UNAVAILABLE,
        }
    }

    /// Returns the suggested delay before a retry; `None` if a retry cannot succeed.
    #[must_use]
    pub const fn retry_after(&self) -> Option<time::Span> {
        match self {
            Self::QueueFull { after } | Self::WaitTooLong { after } => Some(*after),
            Self::Starting | Self::Unreachable | Self::KeyTableFull => {
                Some(time::Span::from_millis(200))
            }
            Self::Draining | Self::Sealed(_) | Self::Deadline => Some(time::Span::ZERO),
            _ => None,
        }
    }
}
