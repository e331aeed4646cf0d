//! The injection of faults and planned operations.

use std::{
    rc::Rc,
    time::{Duration, Instant},
};

use eyre::Result;
use futures_util::future;
use rustix::process::Signal;
use tokio::time;
use tsw_fake::{
    store::Mode,
    worker::{Behaviour, Report},
};
use tsw_load::relay::Link;

use super::{
    peers::PeerRelay,
    upstream::{Upstream, LINK_DELAY},
    Fleet, GRACE_S,
};
use crate::{
    fault::Fault,
    history::{Disturbance, Stated, Statement, StoreDisturbance},
};

/// Time for which a replaced upstream is listed as draining.
const DRAIN_TIME: Duration = Duration::from_millis(2_500);
/// Time between the removal of a replaced upstream from the list and its end. Some upstreams remain
/// until the end of the run.
const REMOVED_TIME: Duration = Duration::from_secs(1);
/// One in this many upstreams leaves without announcing it, where some do.
const SILENT_UPSTREAMS: usize = 2;
/// Time that an upstream takes to say which run it is, while that is delayed.
const REPORT_DELAY: Duration = Duration::from_millis(700);
/// Interval at which an upstream tries to write its departure.
const WRITE_RETRY: Duration = Duration::from_millis(200);
/// Time for which a lost upstream is down; longer than any run.
const LOST_TIME: Duration = Duration::from_secs(3_600);
/// Time between the return of the store from a copy and the operator's repeated write.
const REWRITE_DELAY: Duration = Duration::from_millis(500);
/// Time for which a slow router is paused, and for which it runs between two pauses.
const SLOW_PAUSE: Duration = Duration::from_millis(82);
const SLOW_SLICE: Duration = Duration::from_millis(18);
/// Delay of a slow store in each direction.
const SLOW_STORE_DELAY: Duration = Duration::from_millis(120);
/// Time after a restart within which a router serves again.
const ROUTER_START: Duration = Duration::from_secs(2);

impl Fleet {
    /// Injects a fault and returns when it has ended.
    ///
    /// # Errors
    ///
    /// Returns an error if the fault cannot be injected.
    pub async fn inject(self: Rc<Self>, fault: Fault, duration: Duration) -> Result<()> {
        let start = Instant::now();
        match fault {
            Fault::Kill(router) => self.kill(router, duration).await?,
            Fault::KillGroup(first, count) => {
                let group = (first..first + count).map(|router| router % self.routers.len());
                let kills = group.map(|router| self.kill(router, duration));
                future::try_join_all(kills).await?;
            }
            Fault::Pause(router) => {
                self.signal(router, Signal::STOP)?;
                time::sleep(duration).await;
                self.signal(router, Signal::CONT)?;
                self.record_router_disturbance(router, start, false);
            }
            Fault::Slow(router) => {
                while start.elapsed() < duration {
                    self.signal(router, Signal::STOP)?;
                    time::sleep(SLOW_PAUSE).await;
                    self.signal(router, Signal::CONT)?;
                    time::sleep(SLOW_SLICE).await;
                }
                self.record_router_disturbance(router, start, false);
            }
            Fault::Terminate(router) => self.terminate(router).await?,
            Fault::Reload(router) => {
                self.signal(router, Signal::HUP)?;
                self.record_router_disturbance(router, start, true);
            }
            Fault::DelayUpstream(number, delay) => {
                let upstream = self.current_upstream(number);
                upstream.inbound.set_delay(delay);
                upstream.outbound.set_delay(delay);
                time::sleep(duration).await;
                upstream.inbound.set_delay(LINK_DELAY);
                upstream.outbound.set_delay(LINK_DELAY);
                self.record_upstream_fault(&upstream, start);
            }
            Fault::BlockToUpstream(number) => {
                let upstream = self.current_upstream(number);
                block(&upstream.inbound, duration).await;
                self.record_upstream_fault(&upstream, start);
            }
            Fault::BlockFromUpstream(number) => {
                let upstream = self.current_upstream(number);
                block(&upstream.outbound, duration).await;
                self.record_upstream_fault(&upstream, start);
            }
            Fault::ResetUpstream(number) => {
                let upstream = self.current_upstream(number);
                upstream.inbound.reset();
                self.record_upstream_fault(&upstream, start);
            }
            Fault::ChangeBehaviour(number, behaviour) => {
                let upstream = self.current_upstream(number);
                upstream.worker.set_default(behaviour);
                time::sleep(duration).await;
                let usual = self.settings.plan.behaviour(
                    self.settings.seed,
                    upstream.number,
                    upstream.service,
                );
                upstream.worker.set_default(usual);
                self.record_upstream_fault(&upstream, start);
            }
            Fault::StateRate(number, per_10_s) => {
                let stated = Stated::Rate(f64::from(per_10_s) / 10.0);
                self.state(number, stated, duration).await;
            }
            Fault::StateLeaving(number) => self.state(number, Stated::Leaving, duration).await,
            Fault::StatePause(number, length) => {
                let upstream = Rc::downgrade(&self.current_upstream(number));
                let set_default = |behaviour| {
                    if let Some(upstream) = upstream.upgrade() {
                        upstream.worker.set_default(behaviour);
                    }
                };
                set_default(Behaviour::NotRun);
                self.state(number, Stated::Pause(length), duration).await;
                set_default(self.settings.plan.behaviour(
                    self.settings.seed,
                    number,
                    self.settings.plan.service(number),
                ));
            }
            Fault::ReplaceUpstream(number) => {
                let version = self.current_upstream(number).version.get();
                self.replace_upstream(number, version).await?;
            }
            Fault::Release(number, version) => self.replace_upstream(number, version).await?,
            Fault::CrashUpstream(number) => {
                let upstream = self.current_upstream(number);
                let version = upstream.version.get();
                self.crash_upstream(&upstream, version, duration).await;
                self.record_upstream_fault(&upstream, start);
            }
            Fault::ReturnUpstream(number, version) => {
                let upstream = self.current_upstream(number);
                self.crash_upstream(&upstream, version, duration).await;
                self.record_upstream_fault(&upstream, start);
            }
            Fault::LoseUpstream(number, version) => {
                self.lose_upstream(number, version, duration).await?;
            }
            Fault::DelayReport(number) => {
                let upstream = self.current_upstream(number);
                upstream.worker.set_report(Report::Late(REPORT_DELAY));
                time::sleep(duration).await;
                upstream.worker.set_report(Report::Given);
            }
            Fault::FreezeUpstream(number) => {
                let upstream = self.current_upstream(number);
                upstream.worker.set_frozen(true);
                time::sleep(duration).await;
                upstream.worker.set_frozen(false);
                self.record_upstream_fault(&upstream, start);
            }
            Fault::StoreBusy => self.change_store_mode(Mode::Busy, duration).await,
            Fault::StoreSilent => self.change_store_mode(Mode::Silent, duration).await,
            Fault::StoreSlow => {
                let links = self.routers.iter().map(|router| &router.store_link);
                links
                    .clone()
                    .for_each(|link| link.set_delay(SLOW_STORE_DELAY));
                time::sleep(duration).await;
                links.for_each(|link| link.set_delay(Duration::ZERO));
                self.record_store_disturbance(None, start);
            }
            Fault::RestoreStore(mode, age) => self.restore_store(mode, age, duration).await,
            Fault::BlockStore(router) => {
                block(&self.routers[router].store_link, duration).await;
                self.record_store_disturbance(Some(router), start);
            }
            Fault::CutRouters => {
                let relays = self
                    .routers
                    .iter()
                    .filter_map(|router| router.peer_relay.as_ref());
                let cuts: Vec<_> = relays.map(PeerRelay::cut_both).collect();
                time::sleep(duration).await;
                drop(cuts);
                let routers = 0..self.routers.len();
                routers.for_each(|router| self.record_router_disturbance(router, start, false));
            }
            Fault::CutRouter(router) => {
                let relay = self.routers[router].peer_relay.as_ref();
                let cut = relay.map(PeerRelay::cut_inbound);
                time::sleep(duration).await;
                drop(cut);
                self.record_router_disturbance(router, start, false);
            }
            Fault::PreferRouter(router) => {
                self.preferred_routers.borrow_mut().push(router);
                time::sleep(duration).await;
                let mut preferred = self.preferred_routers.borrow_mut();
                if let Some(index) = preferred.iter().position(|other| *other == router) {
                    preferred.swap_remove(index);
                }
            }
            Fault::CompactStore => self.store.compact(),
            Fault::PublishConfiguration => self.publish_configuration(),
        }
        Ok(())
    }

    /// Lets an upstream state something in all its responses for a time.
    async fn state(&self, number: usize, stated: Stated, duration: Duration) {
        // An upstream that is replaced meanwhile ends when it is dropped.
        let upstream = Rc::downgrade(&self.current_upstream(number));
        let change = |change: fn(&mut Vec<Stated>, Stated)| {
            let upstream = upstream.upgrade()?;
            change(&mut upstream.statements.borrow_mut(), stated);
            upstream.update_fields();
            Some(upstream.number)
        };
        let start = Instant::now();
        let Some(upstream) = change(Vec::push) else {
            return;
        };
        time::sleep(duration).await;
        change(|statements, stated| statements.retain(|other| *other != stated));
        self.history.borrow_mut().statements.push(Statement {
            upstream,
            stated,
            start,
            end: Instant::now(),
        });
    }

    /// Returns the upstream that has this index now; a replacement takes the index of the old one.
    fn current_upstream(&self, number: usize) -> Rc<Upstream> {
        self.upstreams.borrow()[number].clone()
    }

    async fn change_store_mode(&self, mode: Mode, duration: Duration) {
        let start = Instant::now();
        self.store.set_mode(mode);
        time::sleep(duration).await;
        self.store.set_mode(Mode::Up);
        self.record_store_disturbance(None, start);
    }

    /// Lets the store return from a copy. Upstreams write their entries again with their next
    /// heartbeats, and the operator writes the newest configuration again.
    async fn restore_store(&self, mode: Mode, age: Duration, duration: Duration) {
        let start = Instant::now();
        self.store.set_mode(mode);
        time::sleep(duration).await;
        self.store.restore(age);
        self.store.set_mode(Mode::Up);
        self.record_store_disturbance(None, start);
        time::sleep(REWRITE_DELAY).await;
        self.write_configuration();
    }

    /// Records that the store, or the link between it and one router, was disturbed until now.
    fn record_store_disturbance(&self, router: Option<usize>, start: Instant) {
        let disturbances = &mut self.history.borrow_mut().store_disturbances;
        disturbances.push(StoreDisturbance {
            router,
            start,
            end: Instant::now(),
        });
    }

    fn record_upstream_fault(&self, upstream: &Upstream, start: Instant) {
        let mut history = self.history.borrow_mut();
        let disturbances = history
            .upstream_disturbances
            .entry(upstream.number)
            .or_default();
        disturbances.push(Disturbance {
            start,
            end: Instant::now(),
            planned: false,
        });
    }

    fn record_router_disturbance(&self, router: usize, start: Instant, planned: bool) {
        self.history.borrow_mut().router_disturbances[router].push(Disturbance {
            start,
            end: Instant::now() + ROUTER_START,
            planned,
        });
    }

    /// Sends a signal to a router if it is running.
    fn signal(&self, router: usize, signal: Signal) -> Result<()> {
        match &*self.routers[router].process.borrow() {
            Some(process) => Ok(process.signal(signal)?),
            None => Ok(()),
        }
    }

    async fn kill(&self, router: usize, duration: Duration) -> Result<()> {
        let start = Instant::now();
        let process = self.routers[router].process.take();
        let Some(mut process) = process else {
            return Ok(());
        };
        process.kill().await?;
        time::sleep(duration).await;
        self.start_router(router)?;
        self.record_router_disturbance(router, start, false);
        Ok(())
    }

    async fn terminate(&self, router: usize) -> Result<()> {
        let start = Instant::now();
        let process = self.routers[router].process.take();
        let Some(mut process) = process else {
            return Ok(());
        };
        process.terminate()?;
        // Resumes a process that another fault has paused, which would delay its stop.
        process.signal(Signal::CONT)?;
        let limit = Duration::from_secs(GRACE_S) + ROUTER_START;
        let ended = process.wait(limit).await;
        if !ended.is_some_and(|status| status.success()) {
            let text = format!(
                "{}: planned stop ended with {ended:?}",
                self.routers[router].name
            );
            self.failed_exits.borrow_mut().push(text);
        }
        self.start_router(router)?;
        self.record_router_disturbance(router, start, true);
        Ok(())
    }

    /// Waits until the store accepts writes.
    async fn wait_for_store(&self) {
        while !self.store.is_up() {
            time::sleep(WRITE_RETRY).await;
        }
    }

    /// Lets an upstream end without a word. Another one of this version takes its place after a time.
    async fn lose_upstream(&self, number: usize, version: u32, duration: Duration) -> Result<()> {
        let old = self.current_upstream(number);
        let start = Instant::now();
        old.worker.crash_for(LOST_TIME);
        self.end_run(&old);
        old.next_heartbeat.set(start + LOST_TIME);
        time::sleep(duration).await;
        let new = self.start_upstream(old.service, version).await?;
        self.record_upstream_fault(&old, start);
        // A concurrent fault may have replaced this upstream already.
        if Rc::ptr_eq(&old, &self.current_upstream(number)) {
            self.upstreams.borrow_mut()[number] = new;
            self.retired.borrow_mut().push(old);
        }
        Ok(())
    }

    async fn replace_upstream(&self, number: usize, version: u32) -> Result<()> {
        let old = self.current_upstream(number);
        let new = self.start_upstream(old.service, version).await?;
        // A concurrent fault may have replaced this upstream already.
        if !Rc::ptr_eq(&old, &self.current_upstream(number)) {
            return Ok(());
        }
        self.upstreams.borrow_mut()[number] = new;
        self.end_run(&old);
        let has_platform_writes = self.settings.plan.has_platform_writes();
        let is_silent = has_platform_writes && old.number.is_multiple_of(SILENT_UPSTREAMS);
        if !is_silent {
            if has_platform_writes {
                self.wait_for_store().await;
            }
            old.state.set("draining");
            self.write_entry(&old);
            self.draining.borrow_mut().push(old.clone());
            time::sleep(DRAIN_TIME).await;
        }
        if has_platform_writes {
            self.wait_for_store().await;
        }
        let is_other = |upstream: &Rc<Upstream>| !Rc::ptr_eq(upstream, &old);
        self.draining.borrow_mut().retain(is_other);
        self.store.remove_entry(&old.id);
        self.record_departure(&old);
        if is_silent {
            time::sleep(DRAIN_TIME).await;
        }
        if (old.number / 2).is_multiple_of(2) {
            self.retired.borrow_mut().push(old);
            return Ok(());
        }
        time::sleep(REMOVED_TIME).await;
        if has_platform_writes {
            // Its end breaks off long streams.
            self.record_upstream_fault(&old, Instant::now());
        }
        self.record_arrivals(&old);
        Ok(())
    }
}

async fn block(link: &Link, duration: Duration) {
    link.set_cut(true);
    time::sleep(duration).await;
    link.set_cut(false);
}
