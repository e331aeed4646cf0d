//! Controller of the placement of models on engines.

use indexmap::IndexMap;
use tsw_base::name;
use tsw_board::WriteToken;
use tsw_config::service;
use tsw_place::{plan, Dispatch};

use crate::{task, turn::Turn};

/// Writes the placement section of the blackboard.
#[derive(Debug)]
pub struct Controller {
    token: WriteToken<Dispatch>,
}

impl Controller {
    /// Creates the controller with the write token of its section.
    #[must_use]
    pub const fn new(token: WriteToken<Dispatch>) -> Self {
        Self { token }
    }

    /// Computes the desired orders from the bundle and the host list. `is_home` returns whether this
    /// router is the home of an engine.
    pub fn update(
        &self,
        turn: &mut Turn<'_>,
        is_home: impl Fn(&name::Upstream) -> bool,
        is_leaving: impl Fn(&name::Upstream, &tsw_board::hosts::Upstream) -> bool,
    ) {
        let Some(bundle) = turn.board.configuration.bundle().cloned() else {
            return;
        };
        let engines: Vec<plan::Engine> = turn
            .board
            .hosts
            .upstreams
            .iter()
            .filter(|(_, upstream)| {
                let service = bundle.services.get(&upstream.service);
                service.is_some_and(|s| s.kind == service::Kind::Model && !s.models.is_empty())
            })
            .map(|(name, upstream)| plan::Engine {
                upstream: name.clone(),
                domain: upstream.domain.clone(),
                service: upstream.service.clone(),
                leaving: is_leaving(name, upstream),
            })
            .collect();
        let fencing = |name: &name::Upstream| {
            let service = &turn.board.hosts.upstreams.get(name)?.service;
            Some(bundle.services.get(service)?.fencing)
        };
        let orders: IndexMap<_, _> = plan::orders(&bundle, &engines)
            .into_iter()
            .filter(|(name, _)| is_home(name))
            .filter_map(|(name, order)| {
                let fencing = fencing(&name)?;
                Some((name, (order, fencing)))
            })
            .collect();
        let event = tsw_place::Event::Desired {
            orders,
            total_engines: engines.len(),
        };
        self.handle(turn, event);
    }

    /// Passes an event to the order dispatch and starts the resulting tasks.
    pub fn handle(&self, turn: &mut Turn<'_>, event: tsw_place::Event) {
        for command in turn
            .board
            .placement
            .write(&self.token)
            .handle(turn.now, event)
        {
            turn.out.start(task::Task::Order {
                upstream: command.upstream,
                order: command.order,
            });
        }
    }
}
