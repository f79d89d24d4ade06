//! Learns the losses that others know, at the start of the instance, after a pause and after a cut.

use std::cell::{Cell, RefCell};
use std::collections::BTreeSet;
use std::rc::Rc;
use std::time::Duration;

use rand::seq::SliceRandom;
use tokio::sync::{Mutex, Notify};
use tokio::time::{Instant, sleep, timeout_at};

use super::{LossExchange, LossMember, new_members};
use crate::core::repeats::{LossMessage, ReportedWork};
use crate::util::pause::TickWatch;
use crate::util::supervise::spawn_supervised;

/// Interval at which members are looked at.
const TICK_INTERVAL: Duration = Duration::from_millis(100);
/// Bounds the time spent on keepers while many members change.
const FOLLOW_COST_FACTOR: u32 = 20;
/// Members that are asked; each knows what was lost repeatedly.
const ASKED_MEMBERS: usize = 3;
/// Questions and replies are datagrams, which may be lost.
const MAX_QUESTIONS: usize = 4;
/// An instance that gets no reply goes on with what it knows.
const REPLY_TIMEOUT: Duration = Duration::from_millis(70);
/// Leaves time to join the members and to read the store.
const START_TIMEOUT: Duration = Duration::from_secs(1);
const LEDGER_RETRY_INTERVAL: Duration = Duration::from_millis(250);
/// Keeps a reply within one packet.
const MAX_WORK_IN_MESSAGE: usize = 8;
/// Bounds the replies to one question.
const MAX_WORK_IN_REPLY: usize = 256;

#[derive(Default)]
pub(super) struct RecoveryState {
    /// Set while requests may rely on what this instance knows.
    is_caught_up: Cell<bool>,
    caught_up: Notify,
    /// Held while members are asked, as replies do not name their question.
    asking: Mutex<()>,
    /// Members that have been asked and have not replied.
    awaited: RefCell<BTreeSet<Box<str>>>,
    replied: Notify,
    pub(super) ticks: Cell<TickWatch>,
    members: RefCell<Vec<LossMember>>,
    next_follow: Cell<Option<Instant>>,
}

impl RecoveryState {
    pub(super) fn missed_messages(&self) -> bool {
        self.ticks.get().is_overdue()
    }

    fn record_tick(&self) {
        let mut ticks = self.ticks.get();
        ticks.record(TICK_INTERVAL);
        self.ticks.set(ticks);
    }

    fn set_caught_up(&self) {
        self.is_caught_up.set(true);
        self.caught_up.notify_waiters();
    }
}

/// Lets requests rely on what this instance knows from its drop on, which follows a panic too: they
/// would wait until their deadlines otherwise.
struct CatchUpGuard(Rc<LossExchange>);

impl Drop for CatchUpGuard {
    fn drop(&mut self) {
        self.0.recovery.set_caught_up();
    }
}

impl LossExchange {
    /// Waits until this instance knows what the others do, for a bounded time.
    pub(crate) async fn await_caught_up(self: &Rc<Self>) {
        self.notice_pause();
        loop {
            let caught_up = self.recovery.caught_up.notified();
            if self.recovery.is_caught_up.get() {
                return;
            }
            caught_up.await;
        }
    }

    /// After a pause, by which messages may have been missed, requests wait until others have told what
    /// they know.
    fn notice_pause(self: &Rc<Self>) {
        if !self.recovery.is_caught_up.get() || !self.recovery.missed_messages() {
            return;
        }
        self.recovery.record_tick();
        self.recovery.is_caught_up.set(false);
        log::info!("event=losses_unsure cause=pause");
        let catch_up = CatchUpGuard(self.clone());
        actix_rt::spawn(async move { catch_up.0.ask_members().await });
    }

    pub(crate) fn start(self: &Rc<Self>) {
        let exchange = self.clone();
        spawn_supervised("losses", move || exchange.clone().run());
        let exchange = self.clone();
        spawn_supervised("losses_ledger", move || exchange.clone().write_ledger());
        let exchange = self.clone();
        spawn_supervised("losses_recovery", move || exchange.clone().recover());
    }

    /// Recovers what was known before the start.
    async fn recover(self: Rc<Self>) {
        let catch_up = CatchUpGuard(self.clone());
        let deadline = Instant::now() + START_TIMEOUT;
        let _ = timeout_at(deadline, self.read_ledger_until_known()).await;
        drop(catch_up);
        self.read_ledger_until_known().await;
    }

    /// Keeps up with the members.
    async fn run(self: Rc<Self>) {
        loop {
            self.notice_pause();
            self.recovery.record_tick();
            self.follow_changes();
            sleep(TICK_INTERVAL).await;
        }
    }

    async fn read_ledger_until_known(&self) {
        while !self.ledger.is_read() {
            match self.ledger.read().await {
                Ok(stored) => {
                    let works = stored.len();
                    let lost = stored.iter().filter_map(|work| self.accept(work)).max();
                    log::info!(
                        "event=losses_recovered source=store works={works} most={}",
                        lost.unwrap_or_default()
                    );
                }
                Err(error) => {
                    log::info!("event=losses_unread error=\"{error}\"");
                    sleep(LEDGER_RETRY_INTERVAL).await;
                }
            }
        }
    }

    fn follow_changes(self: &Rc<Self>) {
        let (changes, now) = (self.peers.member_changes(), Instant::now());
        let is_due = self.recovery.next_follow.get().is_none_or(|next| now >= next);
        if is_due && self.seen_changes.replace(changes) != changes {
            self.follow_members();
            let next = Instant::now() + FOLLOW_COST_FACTOR * now.elapsed();
            self.recovery.next_follow.set(Some(next));
        }
    }

    fn follow_members(self: &Rc<Self>) {
        let members = self.peers.loss_members().others;
        let known = self.recovery.members.replace(members.clone());
        let appeared = new_members(&members, &known).len();
        // Where most are new, it is this instance that was away.
        if appeared > 0 && appeared * 2 >= members.len() {
            let exchange = self.clone();
            actix_rt::spawn(async move { exchange.ask_members().await });
        }
        self.hand_over();
    }

    /// Asks some members for what they know, until one of them has replied.
    async fn ask_members(&self) {
        let _guard = self.recovery.asking.lock().await;
        let asked = self.choose_members();
        for _ in 0..MAX_QUESTIONS {
            self.recovery.awaited.borrow_mut().extend(asked.iter().cloned());
            self.send_to(&asked, Some(LossMessage::Wanted));
            let deadline = Instant::now() + REPLY_TIMEOUT;
            loop {
                let replied = self.recovery.replied.notified();
                let is_awaited = asked.iter().any(|address| self.is_awaited(address));
                if !is_awaited || timeout_at(deadline, replied).await.is_err() {
                    break;
                }
            }
            let missing = asked.iter().filter(|address| self.is_awaited(address)).count();
            let mut awaited = self.recovery.awaited.borrow_mut();
            asked.iter().for_each(|address| {
                awaited.remove(address);
            });
            if missing < asked.len() {
                return;
            }
        }
    }

    fn choose_members(&self) -> Vec<Box<str>> {
        let mut members = self.peers.loss_members().others;
        members.shuffle(&mut rand::rng());
        members.sort_by_key(|member| !member.is_ready);
        members.truncate(ASKED_MEMBERS);
        members.into_iter().map(|member| member.address).collect()
    }

    fn is_awaited(&self, address: &str) -> bool {
        self.recovery.awaited.borrow().contains(address)
    }

    pub(super) fn reply_with_known(&self, to: &str) {
        let now = Instant::now();
        let table = self.table.borrow();
        let counted = table.counted(now);
        let known = counted.into_iter().take(MAX_WORK_IN_REPLY);
        let mut work: Vec<_> = known
            .map(|fingerprint| ReportedWork::of(fingerprint, table.attempts(fingerprint), now))
            .collect();
        drop(table);
        loop {
            let rest = work.split_off(work.len().min(MAX_WORK_IN_MESSAGE));
            let is_last = rest.is_empty();
            self.send_to(&[to.into()], Some(LossMessage::Known { work, is_last }));
            if is_last {
                return;
            }
            work = rest;
        }
    }

    pub(super) fn accept_known(&self, from: &str, work: &[ReportedWork], is_last: bool) {
        let lost = work.iter().filter_map(|work| self.accept(work)).max();
        if let Some(lost) = lost {
            log::info!("event=losses_recovered source={from} works={} most={lost}", work.len());
        }
        if is_last {
            self.recovery.awaited.borrow_mut().remove(from);
            self.recovery.replied.notify_waiters();
        }
    }
}
