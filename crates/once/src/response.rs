//! Final responses that this crate generates.

use std::sync::Arc;

use crate::message::{End, Response};

impl Response {
    /// Creates the response for a key that was not run and never will be.
    ///
    /// ```
    /// use tsw_once::{End, Response};
    ///
    /// assert_eq!(Response::not_run("expired").end, End::NotRun);
    /// ```
    #[must_use]
    pub fn not_run(code: &str) -> Self {
        Self::empty(End::NotRun, 503, code)
    }

    /// Creates the response for a key that may have been run.
    #[must_use]
    pub fn unknown(code: &str) -> Self {
        Self::empty(End::Unknown, 504, code)
    }

    fn empty(end: End, status: u16, code: &str) -> Self {
        Self {
            end,
            status,
            code: Arc::from(code),
            content_type: Arc::from(""),
            body: Arc::from([]),
        }
    }

    /// Returns this response, or an "unknown" response if its body is longer than `max_bytes`.
    #[must_use]
    pub(crate) fn replace_if_longer_than(self, max_bytes: usize) -> Self {
        if self.body.len() > max_bytes {
            Self::unknown("response-not-kept")
        } else {
            self
        }
    }
}
