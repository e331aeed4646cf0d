//! Final responses that this crate makes itself.

use std::sync::Arc;

use crate::message::{End, Response};

impl Response {
    /// The key was not run and never will be.
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

    /// The key may have been run.
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

    /// Returns this response, or "unknown" in its place when its body is longer than `bytes`.
    #[must_use]
    pub(crate) fn kept(self, bytes: usize) -> Self {
        if self.body.len() > bytes {
            Self::unknown("response-not-kept")
        } else {
            self
        }
    }
}
