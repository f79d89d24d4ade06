//! Sends and receives the load datagrams.

use std::collections::BTreeSet;
use std::rc::Rc;
use std::time::Duration;

use tokio::time::{Instant, sleep_until};

use super::{LoadMember, SharedLoad};
use crate::core::load::{AggregatorRank, LoadMessage, LoadSummary, TotalsSize, encode_summary};
use crate::gateway::members::LoadListener;
use crate::util::pause::{ClockMark, MAX_TIMER_DELAY};

/// Members that become ready are not counted as changes of membership, so the aggregators are chosen
/// again at this interval.
const ROLES_INTERVAL: Duration = Duration::from_millis(500);
/// Time in which the datagrams that were queued during a pause are read.
const QUEUE_DRAIN_TIME: Duration = Duration::from_millis(20);

impl SharedLoad {
    pub(crate) async fn run(self: Rc<Self>) {
        loop {
            match self.step(Instant::now()) {
                Some(due) => tokio::select! {
                    () = sleep_until(due) => {}
                    () = self.wake.notified() => {}
                },
                None => self.wake.notified().await,
            }
        }
    }

    /// Does what is due, and returns when something is due next.
    fn step(&self, now: Instant) -> Option<Instant> {
        self.check_pause(now);
        self.next_run.set(None);
        if !self.is_in_use() {
            let due = self.suspend(now);
            self.next_run.set(due);
            return due;
        }
        let is_idle = self.reporter.borrow().is_idle();
        if is_idle && self.round_due(now).is_none() {
            return None;
        }
        self.refresh_roles(now);
        if self.reporter.borrow().due(now).is_some_and(|due| due <= now) {
            self.send_report(now);
        }
        let round_due = self.round_due(now);
        if round_due.is_some_and(|due| due <= now) {
            self.send_round(now);
            self.apply_failures(now);
        }
        self.log_state(now);
        let report_due = self.reporter.borrow().due(now);
        let due = report_due.into_iter().chain(self.round_due(now)).min();
        self.next_run.set(due);
        due
    }

    /// Makes the reporter start anew once load is shared again. Returns when to check that: attempts
    /// that began before may still be in flight, without further changes.
    fn suspend(&self, now: Instant) -> Option<Instant> {
        let mut view = self.view.borrow_mut();
        view.set_failing(&[]);
        self.aggregator.borrow_mut().reset();
        let mut reporter = self.reporter.borrow_mut();
        reporter.skip_report(&view, now);
        reporter.change_aggregator(now);
        (!reporter.is_idle()).then(|| now + ROLES_INTERVAL)
    }

    fn round_due(&self, now: Instant) -> Option<Instant> {
        let roles = self.roles.borrow();
        let reporter = self.reporter.borrow();
        let replaces_first = reporter.uses_second(now) && roles.is_me(roles.second.as_ref());
        let replies_to_me = roles.is_me(roles.first.as_ref()) || replaces_first;
        self.aggregator.borrow().due(replies_to_me, reporter.is_idle(), now)
    }

    fn refresh_roles(&self, now: Instant) {
        if now.saturating_duration_since(self.roles_read_at.get()) < ROLES_INTERVAL {
            return;
        }
        self.roles_read_at.set(now);
        let roles = self.peers.load_roles();
        let former = self.roles.replace(roles);
        if former.first != self.roles.borrow().first {
            self.reporter.borrow_mut().change_aggregator(now);
            self.logged_fresh.set(false);
        }
    }

    fn send_report(&self, now: Instant) {
        self.collect_failures(now);
        let roles = self.roles.borrow();
        let mut reporter = self.reporter.borrow_mut();
        let view = self.view.borrow();
        if roles.is_me(roles.first.as_ref()) {
            reporter.skip_report(&view, now);
            return;
        }
        let second = roles.second.as_ref().filter(|_| reporter.uses_second(now));
        let report = reporter.report(&view, &roles.me.instance, roles.incarnation, now);
        let datagram = LoadMessage::Report(report).encode();
        for member in roles.first.iter().chain(second) {
            if !roles.is_me(Some(member)) {
                self.send(&member.address, "report", &datagram);
            }
        }
    }

    fn send_round(&self, now: Instant) {
        let roles = self.roles.borrow();
        let mut view = self.view.borrow_mut();
        let round = self.aggregator.borrow_mut().round(&view, &roles.me, now);
        if let Some(TotalsSize { is_oversized, upstreams, bytes }) = round.size_change {
            let event = if is_oversized { "load_oversized" } else { "load_complete" };
            log::info!("event={event} upstreams={upstreams} bytes={bytes}");
        }
        for (address, acknowledged) in &round.recipients {
            let datagram = encode_summary(*acknowledged, &round.encoded_body);
            self.send(address, "summary", &datagram);
        }
        let other_zones: BTreeSet<_> =
            roles.other_zones.iter().chain(&round.zone_senders).collect();
        for address in other_zones {
            self.send(address, "zone", &round.zone_datagram);
        }
        let is_first = roles.is_me(roles.first.as_ref());
        if !is_first && !roles.is_me(roles.second.as_ref()) {
            return;
        }
        let rank = if is_first { AggregatorRank::First } else { AggregatorRank::Second };
        if self.reporter.borrow().apply_own_round(rank, &round.body, &mut view, now) {
            self.reporters.set(round.body.reporters);
        }
    }

    fn send(&self, to: &str, kind: &'static str, datagram: &[u8]) {
        self.meter.record(kind, "sent", datagram.len());
        self.peers.send_load(to, datagram);
    }

    fn receive_summary(&self, from: &str, summary: &LoadSummary, now: Instant) {
        let roles = self.roles.borrow();
        let is_from = |member: &Option<LoadMember>| {
            member.as_ref().is_some_and(|member| *member.address == *from)
        };
        let rank = if is_from(&roles.first) {
            AggregatorRank::First
        } else if is_from(&roles.second) {
            AggregatorRank::Second
        } else {
            return;
        };
        let LoadSummary { acknowledged, body } = summary;
        let mut view = self.view.borrow_mut();
        let mut reporter = self.reporter.borrow_mut();
        if reporter.receive((from, rank), *acknowledged, body, &mut view, now) {
            self.reporters.set(body.reporters);
        }
    }

    /// After a pause of the process all reports are outdated, and so are those that were queued.
    fn check_pause(&self, now: Instant) {
        let wall = (self.wall_clock)();
        let late = self.next_run.get().is_some_and(|due| now > due + MAX_TIMER_DELAY);
        let paused = late || self.last_run.get().is_paused_since(now, wall);
        self.last_run.set(ClockMark::new(now, wall));
        if paused {
            log::info!("event=load_reset cause=pause");
            self.next_run.set(None);
            self.aggregator.borrow_mut().reset();
            self.view.borrow_mut().clear_others();
            self.discard_until.set(now + QUEUE_DRAIN_TIME);
        }
    }

    /// An idle instance gets no summaries, which is not logged as a change.
    fn log_state(&self, now: Instant) {
        let view = self.view.borrow();
        let is_fresh = view.is_fresh(now);
        let is_idle = view.own_counts().next().is_none();
        let is_expected = is_fresh || self.reporter.borrow().expects_totals(now);
        if is_fresh == self.logged_fresh.get() || is_idle || !is_expected {
            return;
        }
        self.logged_fresh.set(is_fresh);
        let roles = self.roles.borrow();
        let aggregator = roles.first.as_ref().map_or("none", |first| &first.instance);
        let state = if is_fresh { "fresh" } else { "stale" };
        let age = view.age(now).map_or(-1, |age| age.as_millis() as i64);
        log::info!("event=load_source aggregator={aggregator} state={state} age_ms={age}");
    }
}

impl LoadListener for SharedLoad {
    fn receive(&self, from: &str, size: usize, message: LoadMessage) {
        if !self.is_in_use() {
            return;
        }
        let now = Instant::now();
        self.check_pause(now);
        self.meter.record(message.kind(), "received", size);
        if now < self.discard_until.get() {
            return;
        }
        self.aggregator.borrow_mut().limit_senders(self.peers.member_count());
        match message {
            LoadMessage::Report(report) => {
                self.aggregator.borrow_mut().receive_report(from, report, now);
                let next_run = self.next_run.get();
                let due = self.round_due(now);
                if due.is_some_and(|due| next_run.is_none_or(|next| due < next)) {
                    self.wake.notify_one();
                }
            }
            LoadMessage::Summary(summary) => {
                self.receive_summary(from, &summary, now);
                self.apply_failures(now);
            }
            LoadMessage::Zone(load) => {
                self.aggregator.borrow_mut().receive_zone(from, load, now);
            }
        }
    }
}

#[cfg(test)]
#[path = "task_tests.rs"]
mod tests;
