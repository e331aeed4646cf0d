//! Outgoing messages and tasks of controllers.

use std::collections::VecDeque;

use tsw_base::{host, name};
use tsw_grant::message as grant;
use tsw_link::Link;
use tsw_wire::message;

use crate::task;

/// Messages and tasks that result from a decision.
///
/// Messages to peers are queued at once. Messages from this router to itself are delivered after
/// the decision.
pub struct Outbox {
    me: host::Id,
    link: Option<Link>,
    local: VecDeque<message::Message>,
    tasks: Vec<task::Task>,
}

impl Outbox {
    /// Creates an empty outbox for the router `me`.
    #[must_use]
    pub const fn new(me: host::Id) -> Self {
        Self {
            me,
            link: None,
            local: VecDeque::new(),
            tasks: Vec::new(),
        }
    }

    /// Returns the identity of this router.
    #[must_use]
    pub const fn me(&self) -> &host::Id {
        &self.me
    }

    /// Sets the link used to send messages to peers.
    pub fn connect(&mut self, link: Link) {
        self.link = Some(link);
    }

    /// Returns the link to peers, once it is set.
    #[must_use]
    pub const fn link(&self) -> Option<&Link> {
        self.link.as_ref()
    }

    /// Sends a message to a router, which may be this one.
    pub fn send(&mut self, to: &name::Host, message: message::Message) {
        if *to == self.me.host {
            self.local.push_back(message);
        } else if let Some(link) = &self.link {
            if can_be_batched(&message) {
                link.send_deferred(to, message);
            } else {
                link.send(to, message);
            }
        }
    }

    /// Adds a task to start after the decision.
    pub fn start(&mut self, task: task::Task) {
        self.tasks.push(task);
    }

    /// Removes the next message from this router to itself.
    pub fn next_local(&mut self) -> Option<message::Message> {
        self.local.pop_front()
    }

    /// Removes and returns the tasks to start.
    pub fn take_tasks(&mut self) -> Vec<task::Task> {
        std::mem::take(&mut self.tasks)
    }
}

/// Returns whether a message can be delayed and batched with others: a report that a grant is in
/// use frees no slot, and an audit chain head is due only once a second.
fn can_be_batched(message: &message::Message) -> bool {
    match message {
        message::Message::Release(release) => release.reports.iter().all(|report| {
            matches!(
                report.state,
                grant::State::Started | grant::State::Running { .. }
            )
        }),
        message::Message::Head(_) => true,
        _ => false,
    }
}
