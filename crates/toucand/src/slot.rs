//! RAII guards for waiting requests and granted slots.

use std::{net::SocketAddr, rc::Rc};

use tokio::sync::oneshot;
use tsw_base::{name, time::Span};
use tsw_grant::message::{Request, State};

use crate::{
    refusal::Refusal,
    router::Router,
    scheduling::{Granted, SlotResult},
};

/// A waiting request. Dropping it withdraws the request.
pub struct Wait {
    router: Rc<Router>,
    request: Request,
    answer: oneshot::Receiver<SlotResult>,
    resolved: bool,
}

impl Wait {
    /// Creates the guard of a waiting request.
    #[must_use]
    pub const fn new(
        router: Rc<Router>,
        request: Request,
        answer: oneshot::Receiver<SlotResult>,
    ) -> Self {
        Self {
            router,
            request,
            answer,
            resolved: false,
        }
    }

    /// Waits for a slot. Cancel-safe: it may be called again after it was cancelled.
    ///
    /// # Errors
    ///
    /// Returns why no slot was granted.
    pub async fn slot(&mut self) -> Result<Slot, Refusal> {
        let answer = (&mut self.answer).await;
        self.resolved = true;
        match answer {
            Ok(Ok(granted)) => Ok(Slot {
                router: self.router.clone(),
                granted,
                state: State::Unused,
            }),
            Ok(Err(refusal)) => Err(refusal),
            Err(_) => Err(Refusal::Draining),
        }
    }
}

impl Drop for Wait {
    fn drop(&mut self) {
        if self.resolved {
            return;
        }
        self.answer.close();
        match self.answer.try_recv() {
            // The grant arrived but was never used.
            Ok(Ok(granted)) => drop(Slot {
                router: self.router.clone(),
                granted,
                state: State::Unused,
            }),
            Ok(Err(_)) => {}
            Err(_) => self.router.withdraw(self.request),
        }
    }
}

/// A granted slot. Dropping it releases the slot.
pub struct Slot {
    router: Rc<Router>,
    granted: Granted,
    state: State,
}

impl Slot {
    /// Returns the upstream.
    #[must_use]
    pub const fn upstream(&self) -> &name::Upstream {
        &self.granted.upstream
    }

    /// Returns the grant.
    #[must_use]
    pub const fn granted(&self) -> &Granted {
        &self.granted
    }

    /// Returns the address of the upstream.
    #[must_use]
    pub const fn address(&self) -> SocketAddr {
        self.granted.address
    }

    /// Reports that the request is being sent to the upstream. Before this call, dropping the slot
    /// returns the grant as unused; afterwards, it reports a failure unless the request finished.
    pub fn start(&mut self) {
        self.state = State::Failed;
        self.router.report(&self.granted, State::Started);
    }

    /// Releases the slot after a complete response, with the token latency of a stream.
    pub fn finish(mut self, latency: Option<Span>) {
        self.state = State::Finished {
            token_latency: latency,
        };
    }

    /// Releases the slot of a request that was not sent because the upstream accepted no
    /// connection.
    pub fn unreachable(mut self) {
        self.state = State::Unreachable;
    }
}

impl Drop for Slot {
    fn drop(&mut self) {
        self.router.report(&self.granted, self.state);
    }
}
