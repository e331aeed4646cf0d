//! Selection of the waiting request that gets the next free slot.

use tsw_base::time;
use tsw_share::accounts;

use super::{backlog, ActiveGrant, Command, Home, LONG_AGE_PENALTY, MAX_LEAD_US, URGENT_BURST};
use crate::message::{Class, Grant, Id};

/// Budget used by one urgent grant that bypasses the fair order of teams, in hundredths of a grant.
const URGENT_COST: u32 = 100;

/// A waiting request that may be granted, with its team and class.
struct Candidate {
    key: accounts::TeamKey,
    class: Class,
    next: backlog::Next,
}

impl Home {
    /// Issues grants until no slot is free or no request is waiting.
    pub(super) fn grant_free_slots(&mut self, now: time::Timestamp) -> Vec<Command> {
        let mut commands = Vec::new();
        loop {
            self.grant_solo(now, &mut commands);
            let Some(upstream) = self.slots.best(self.options.grants_ahead) else {
                return commands;
            };
            let candidate = self
                .urgent_candidate(now)
                .or_else(|| self.fair_candidate(now));
            match candidate.and_then(|candidate| self.grant(now, &candidate, upstream)) {
                Some(command) => commands.push(command),
                None => return commands,
            }
        }
    }

    /// Returns the next waiting request of a team and class. Drops demand older than the grant's
    /// time to live.
    fn next_request(
        &mut self,
        key: accounts::TeamKey,
        class: Class,
        now: time::Timestamp,
    ) -> Option<Candidate> {
        let ttl = self.options.grant_ttl.as_micros();
        let since = time::Timestamp::from_micros(now.as_micros().saturating_sub(ttl));
        let backlog = &mut self.team_state(key).backlogs[class.index()];
        let before = backlog.oldest();
        let next = backlog.next(since);
        if backlog.oldest() != before {
            self.update_order(key);
        }
        Some(Candidate {
            key,
            class,
            next: next?,
        })
    }

    /// Returns the oldest urgent request if it may bypass the fair order of teams.
    fn urgent_candidate(&mut self, now: time::Timestamp) -> Option<Candidate> {
        if self.urgent_budget < URGENT_COST {
            return None;
        }
        let (_, key) = *self.urgent.first()?;
        let eligible =
            self.accounts.share_ppm(key) > 0 && self.accounts.lead_us(key) <= MAX_LEAD_US;
        let candidate = self
            .next_request(key, Class::Urgent, now)
            .filter(|_| eligible)?;
        self.urgent_budget -= URGENT_COST;
        Some(candidate)
    }

    /// Returns the next request of the first team in the fair order that has one.
    fn fair_candidate(&mut self, now: time::Timestamp) -> Option<Candidate> {
        loop {
            let (key, class) = self
                .accounts
                .by_priority()
                .find_map(|key| Some((key, self.next_class(key)?)))?;
            if let Some(candidate) = self.next_request(key, class, now) {
                return Some(candidate);
            }
        }
    }

    /// Returns the class of a team's next request. Short requests go before a long one until the
    /// long one has waited longer by [`LONG_AGE_PENALTY`].
    fn next_class(&self, key: accounts::TeamKey) -> Option<Class> {
        let backlogs = &self.teams.get(key.index())?.backlogs;
        let oldest = |class: Class| backlogs[class.index()].oldest();
        if oldest(Class::Urgent).is_some() {
            return Some(Class::Urgent);
        }
        match (oldest(Class::Short), oldest(Class::Long)) {
            (Some(short), Some(long)) if long + LONG_AGE_PENALTY < short => Some(Class::Long),
            (Some(_), _) => Some(Class::Short),
            (None, Some(_)) => Some(Class::Long),
            (None, None) => None,
        }
    }

    /// Grants solo requests. At most one upstream at a time is drained for them, so that they
    /// neither starve nor take much capacity.
    fn grant_solo(&mut self, now: time::Timestamp, commands: &mut Vec<Command>) {
        while let Some(candidate) = self.solo_candidate(now) {
            let Some(index) = self.reserved.or_else(|| self.slots.least_used()) else {
                return;
            };
            let upstream = self.slots.get(index).filter(|upstream| upstream.limit > 0);
            let Some(empty) = upstream.map(|upstream| upstream.grants.is_empty()) else {
                return self.reserve(None);
            };
            if !empty {
                return self.reserve(Some(index));
            }
            self.reserve(None);
            match self.grant(now, &candidate, index) {
                Some(command) => commands.push(command),
                None => return,
            }
        }
        if self.solo.is_empty() {
            self.reserve(None);
        }
    }

    /// Returns the oldest solo request. A team whose lead exceeds [`MAX_LEAD_US`] must wait, unless
    /// an upstream is already being drained.
    fn solo_candidate(&mut self, now: time::Timestamp) -> Option<Candidate> {
        let (_, key) = *self.solo.first()?;
        let fair = self.reserved.is_some() || self.accounts.lead_us(key) <= MAX_LEAD_US;
        let eligible = fair && self.accounts.share_ppm(key) > 0;
        self.next_request(key, Class::Solo, now)
            .filter(|_| eligible)
    }

    /// Replaces the upstream that is being drained for a solo request.
    fn reserve(&mut self, upstream: Option<u32>) {
        if self.reserved == upstream {
            return;
        }
        if let Some(before) = self.reserved {
            self.slots
                .update(before, |upstream| upstream.reserved = false);
        }
        if let Some(after) = upstream {
            self.slots
                .update(after, |upstream| upstream.reserved = true);
        }
        self.reserved = upstream;
    }

    /// Issues a grant and charges the expected slot time to the team.
    fn grant(
        &mut self,
        now: time::Timestamp,
        candidate: &Candidate,
        upstream: u32,
    ) -> Option<Command> {
        let (key, class) = (candidate.key, candidate.class);
        let to = self.routers.get(&candidate.next.router_index)?.id.clone();
        let target = self.slots.get(upstream)?;
        let free = (target.grants.len() as u32) < target.limit;
        let slot_count = match class {
            Class::Solo => target.limit.max(1),
            _ => 1,
        };
        let name = target.name.clone();
        self.last_number += 1;
        let id = Id {
            home: self.incarnation,
            number: self.last_number,
        };
        let charged = self.expected_slot_time(key, class);
        self.accounts.charge(key, charged * u64::from(slot_count));
        let active = ActiveGrant {
            router_index: candidate.next.router_index,
            key,
            class,
            cost: 0,
            upstream,
            slot_count,
            start: free.then_some(now),
            charged,
            adopted: false,
            confirmed: false,
            orphaned_at: None,
        };
        self.insert_grant(id, active);
        if class == Class::Solo {
            self.slots.update(upstream, |upstream| upstream.solo = true);
        }
        self.unconfirmed.push_back((now, id));
        self.team_state(key).backlogs[class.index()]
            .record_grant(candidate.next.router_index, id.number);
        self.update_order(key);
        if class != Class::Urgent {
            let most = URGENT_BURST * URGENT_COST;
            self.urgent_budget = (self.urgent_budget + self.options.urgent_percent).min(most);
        }
        Some(Command::Grant {
            to,
            grant: Grant {
                service: self.service.clone(),
                id,
                upstream: name,
                team: self.accounts.team(key).clone(),
                class,
                seq: candidate.next.seq,
            },
        })
    }
}
