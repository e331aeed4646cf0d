//! Which waiting request gets the next free slot.

use tsw_base::time;
use tsw_share::accounts;

use super::{backlog, Command, Home, Run, LEAD_US, LONG_AGING, URGENT_BURST};
use crate::message::{Class, Grant, Id};

/// What an urgent grant before the order of teams costs, in hundredths.
const URGENT_COST: u32 = 100;

/// A request and the team and class that it belongs to.
struct Choice {
    key: accounts::TeamKey,
    class: Class,
    next: backlog::Next,
}

impl Home {
    /// Grants slots until none is free or no request waits.
    pub(super) fn fill(&mut self, now: time::Tick) -> Vec<Command> {
        let mut commands = Vec::new();
        loop {
            self.fill_solo(now, &mut commands);
            let Some(upstream) = self.slots.best(self.tuning.ahead) else {
                return commands;
            };
            let choice = self.urgent_choice(now).or_else(|| self.choice(now));
            match choice.and_then(|choice| self.grant(now, &choice, upstream)) {
                Some(command) => commands.push(command),
                None => return commands,
            }
        }
    }

    /// Returns the next request of a class, if one waits.
    fn next(&mut self, key: accounts::TeamKey, class: Class, now: time::Tick) -> Option<Choice> {
        let ttl = self.tuning.grant_ttl.as_micros();
        let since = time::Tick::from_micros(now.as_micros().saturating_sub(ttl));
        let backlog = &mut self.work(key).backlogs[class.index()];
        let before = backlog.oldest();
        let next = backlog.next(since);
        if backlog.oldest() != before {
            self.list(key);
        }
        Some(Choice {
            key,
            class,
            next: next?,
        })
    }

    /// Returns the oldest urgent request if it may go before the order of teams.
    fn urgent_choice(&mut self, now: time::Tick) -> Option<Choice> {
        if self.allowance < URGENT_COST {
            return None;
        }
        let (_, key) = *self.urgent.first()?;
        let eligible = self.book.share_ppm(key) > 0 && self.book.lead_us(key) <= LEAD_US;
        let choice = self.next(key, Class::Urgent, now).filter(|_| eligible)?;
        self.allowance -= URGENT_COST;
        Some(choice)
    }

    /// Returns the best request of the most deserving team that has one.
    fn choice(&mut self, now: time::Tick) -> Option<Choice> {
        loop {
            let (key, class) = self
                .book
                .by_priority()
                .find_map(|key| Some((key, self.class(key)?)))?;
            if let Some(choice) = self.next(key, class, now) {
                return Some(choice);
            }
        }
    }

    /// Returns the class that a team's next request comes from. A long request counts as younger by
    /// [`LONG_AGING`], so that short ones go first until it has waited that much longer.
    fn class(&self, key: accounts::TeamKey) -> Option<Class> {
        let backlogs = &self.work.get(key.index())?.backlogs;
        let oldest = |class: Class| backlogs[class.index()].oldest();
        if oldest(Class::Urgent).is_some() {
            return Some(Class::Urgent);
        }
        match (oldest(Class::Short), oldest(Class::Long)) {
            (Some(short), Some(long)) if long + LONG_AGING < short => Some(Class::Long),
            (Some(_), _) => Some(Class::Short),
            (None, Some(_)) => Some(Class::Long),
            (None, None) => None,
        }
    }

    /// Serves requests that must run alone. One upstream at a time is emptied for them, so that
    /// they neither starve nor take much capacity.
    fn fill_solo(&mut self, now: time::Tick, commands: &mut Vec<Command>) {
        while let Some(choice) = self.solo_choice(now) {
            let Some(index) = self.reserved.or_else(|| self.slots.least_used()) else {
                return;
            };
            let upstream = self.slots.get(index).filter(|upstream| upstream.limit > 0);
            let Some(empty) = upstream.map(|upstream| upstream.runs.is_empty()) else {
                return self.reserve(None);
            };
            if !empty {
                return self.reserve(Some(index));
            }
            self.reserve(None);
            match self.grant(now, &choice, index) {
                Some(command) => commands.push(command),
                None => return,
            }
        }
        if self.solo.is_empty() {
            self.reserve(None);
        }
    }

    /// Returns the oldest solo request. A team that is too far ahead of the others waits, unless an
    /// upstream is being emptied already.
    fn solo_choice(&mut self, now: time::Tick) -> Option<Choice> {
        let (_, key) = *self.solo.first()?;
        let fair = self.reserved.is_some() || self.book.lead_us(key) <= LEAD_US;
        let eligible = fair && self.book.share_ppm(key) > 0;
        self.next(key, Class::Solo, now).filter(|_| eligible)
    }

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

    fn grant(&mut self, now: time::Tick, choice: &Choice, upstream: u32) -> Option<Command> {
        let (key, class) = (choice.key, choice.class);
        let to = self.routers.get(&choice.next.entry)?.id.clone();
        let place = self.slots.get(upstream)?;
        let free = (place.runs.len() as u32) < place.limit;
        let width = match class {
            Class::Solo => place.limit.max(1),
            _ => 1,
        };
        let name = place.name.clone();
        self.last_number += 1;
        let id = Id {
            home: self.me,
            number: self.last_number,
        };
        let charged = self.expect(key, class);
        self.book.charge(key, charged * u64::from(width));
        let run = Run {
            entry: choice.next.entry,
            key,
            class,
            cost: 0,
            upstream,
            width,
            start: free.then_some(now),
            charged,
            adopted: false,
            confirmed: false,
            orphan: None,
        };
        self.open(id, run);
        if class == Class::Solo {
            self.slots.update(upstream, |upstream| upstream.solo = true);
        }
        self.unconfirmed.push_back((now, id));
        self.work(key).backlogs[class.index()].granted(choice.next.entry, id.number);
        self.list(key);
        if class != Class::Urgent {
            let most = URGENT_BURST * URGENT_COST;
            self.allowance = (self.allowance + self.tuning.urgent_percent).min(most);
        }
        Some(Command::Grant {
            to,
            grant: Grant {
                service: self.service.clone(),
                id,
                upstream: name,
                team: self.book.team(key).clone(),
                class,
                seq: choice.next.seq,
            },
        })
    }
}
