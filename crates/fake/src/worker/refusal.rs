//! Responses that say that a request was not run.

use std::{io, time::Duration};

use tokio::{io::AsyncWriteExt as _, time};
use tsw_http::connection::Connection;

use super::Behaviour;

/// Pause after a repeated refusal, in which the upstream runs the request.
const RUN_TIME: Duration = Duration::from_millis(100);

pub(super) fn response(fields: &str) -> String {
    format!(
        "HTTP/1.1 503 Service Unavailable\r\nNot-Executed: 1\r\n{fields}Content-Length: 0\r\n\r\n"
    )
}

/// The latest refusal on a connection.
#[derive(Debug, Default)]
pub(super) struct Refusals(Option<String>);

impl Refusals {
    /// Records how the upstream responds to a request.
    pub(super) fn record(&mut self, behaviour: Behaviour, id: &str) {
        if behaviour == Behaviour::NotRun {
            self.0 = Some(response(&format!("Attempt-Id: {id}\r\n")));
        }
    }

    /// Writes the latest refusal again, and runs the request that arrived.
    pub(super) async fn repeat(&self, connection: &mut Connection, times: usize) -> io::Result<()> {
        let text = self.0.as_deref().unwrap_or_default().repeat(times);
        connection.stream.write_all(text.as_bytes()).await?;
        time::sleep(RUN_TIME).await;
        Ok(())
    }
}
