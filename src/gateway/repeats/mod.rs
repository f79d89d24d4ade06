//! Shares with the other instances under which work upstreams were lost.
//!
//! Each work has keepers among the members, to whom all attempts without proof are reported. All
//! instances are told only if a second upstream is lost under the same work, by two of the keepers
//! and, ahead of a caller that comes back at once, by the instance that lost it. So a failure that
//! takes many requests at once costs one report each. Losses are stored too, for instances that start
//! when nobody is left who knows them.

mod decision;
#[cfg(test)]
mod exchange_tests;
mod ledger;
#[cfg(test)]
mod ledger_tests;
mod recovery;
#[cfg(test)]
mod test_network;
mod work;
#[cfg(test)]
mod work_model_tests;

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;

use tokio::time::{Instant, sleep};

use self::ledger::LedgerState;
pub(crate) use self::ledger::{LossLedger, StoreLedger};
use self::recovery::RecoveryState;
pub(crate) use self::work::{WorkAttempt, WorkTarget};
use super::feed::UpstreamListener;
use super::members::LossListener;
use super::metrics::LossMeter;
use crate::core::ids::InstanceId;
use crate::core::load::LoadKey;
use crate::core::members::preferred_members;
use crate::core::repeats::{
    AttemptState, LossMessage, LossTable, ProvenWork, ReportedWork, RequestFingerprint,
    UnprovenAttempt, WorkStanding,
};
use crate::core::routing::ServiceName;

/// A datagram may be lost, so each report of a loss is sent twice.
const RESEND_DELAY: Duration = Duration::from_millis(100);
/// Losses from which all instances are told.
const MIN_SHARED_LOSSES: usize = 2;
/// Members that count the losses of a work; the count outlives any one of them.
const LOSS_KEEPERS: usize = 2;
/// Up to this number of members, all of them are keepers.
const MAX_FULL_SHARING: usize = 16;

/// Another member.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct LossMember {
    pub(crate) instance: InstanceId,
    /// Differs after a restart, by which the member has lost what it knew.
    pub(crate) incarnation: u64,
    pub(crate) address: Box<str>,
    pub(crate) is_ready: bool,
}

impl LossMember {
    /// False for a member that has restarted.
    fn is_same_run(&self, other: &Self) -> bool {
        self.address == other.address && self.incarnation == other.incarnation
    }
}

/// Members of the first list that the second lacks, or that have restarted since.
fn new_members(members: &[LossMember], known: &[LossMember]) -> Vec<LossMember> {
    let is_known = |member: &LossMember| known.iter().any(|known| known.is_same_run(member));
    members.iter().filter(|member| !is_known(member)).cloned().collect()
}

#[derive(Debug, Clone)]
pub(crate) struct LossMembers {
    pub(crate) me: InstanceId,
    pub(crate) am_ready: bool,
    pub(crate) others: Vec<LossMember>,
}

pub(crate) trait LossPeers {
    /// Members that are not dead.
    fn loss_members(&self) -> LossMembers;
    /// Number of changes of the members so far.
    fn member_changes(&self) -> u64;
    /// The datagram may be lost.
    fn send_loss(&self, to: &str, datagram: &[u8]);
}

/// The members that count the losses of a work.
struct LossKeepers {
    /// This instance tells all others of repeated losses.
    announces: bool,
    others: Vec<LossMember>,
}

impl LossMembers {
    fn is_small(&self) -> bool {
        self.others.len() < MAX_FULL_SHARING
    }

    fn keepers(&self, fingerprint: RequestFingerprint) -> LossKeepers {
        let ready = self.others.iter().filter(|member| member.is_ready);
        let names = ready.map(|member| &*member.instance).chain(self.am_ready.then_some(&*self.me));
        let preferred = preferred_members(&fingerprint.to_string(), LOSS_KEEPERS, names);
        let is_small = self.is_small();
        let is_keeper = |member: &&LossMember| is_small || preferred.contains(&&*member.instance);
        LossKeepers {
            announces: preferred.contains(&&*self.me),
            others: self.others.iter().filter(is_keeper).cloned().collect(),
        }
    }

    fn addresses(&self) -> Vec<Box<str>> {
        addresses(&self.others)
    }
}

fn addresses(members: &[LossMember]) -> Vec<Box<str>> {
    members.iter().map(|member| member.address.clone()).collect()
}

pub(crate) struct LossExchange {
    table: RefCell<LossTable>,
    peers: Rc<dyn LossPeers>,
    meter: LossMeter,
    /// Keepers that were told of a work, with their incarnations.
    told: RefCell<HashMap<RequestFingerprint, Vec<LossMember>>>,
    recovery: RecoveryState,
    ledger: LedgerState,
    /// Of the members, as of the last time that their keepers were looked at.
    seen_changes: Cell<u64>,
}

#[derive(Debug, Clone, Copy)]
enum LossAudience {
    Keepers,
    All,
}

impl LossExchange {
    pub(crate) fn new(
        peers: Rc<dyn LossPeers>,
        ledger: Rc<dyn LossLedger>,
        meter: LossMeter,
    ) -> Self {
        Self {
            table: RefCell::default(),
            peers,
            meter,
            told: RefCell::default(),
            recovery: RecoveryState::default(),
            ledger: LedgerState::new(ledger),
            seen_changes: Cell::new(0),
        }
    }

    pub(crate) fn standing(&self, fingerprint: RequestFingerprint) -> WorkStanding {
        self.table.borrow().standing(fingerprint, Instant::now())
    }

    /// Upstreams that were lost one after the other under the work, as far as is known here.
    pub(crate) fn count(&self, fingerprint: RequestFingerprint) -> usize {
        self.standing(fingerprint).lost
    }

    /// Time since the last attempt without proof; 0 without any.
    pub(crate) fn age(&self, fingerprint: RequestFingerprint) -> Duration {
        self.table.borrow().age(fingerprint, Instant::now()).unwrap_or_default()
    }

    pub(crate) fn record_count(&self) -> usize {
        self.table.borrow().len()
    }

    /// Records an attempt of this instance. Returns the number of losses.
    pub(crate) fn record(
        self: &Rc<Self>,
        fingerprint: RequestFingerprint,
        service: &str,
        attempt: UnprovenAttempt,
    ) -> usize {
        let raised = self.table.borrow_mut().record(fingerprint, attempt, Instant::now());
        if let Some(count) = raised {
            self.meter.record_loss(service, count);
        }
        let lost = self.count(fingerprint);
        // Impatient callers of a large deployment leave many suspicions behind, of which few matter.
        let is_small = self.peers.loss_members().is_small();
        let is_repeated = lost > 0 || is_small || attempt.state != AttemptState::Suspected;
        self.send(fingerprint, LossAudience::Keepers, is_repeated);
        self.share_repeated(fingerprint, raised);
        if lost > 0 {
            self.ledger.touch(fingerprint);
        }
        lost
    }

    /// Keeps an attempt that counts as a loss if its upstream turns out to have ended.
    pub(crate) fn watch(
        &self,
        fingerprint: RequestFingerprint,
        service: ServiceName,
        attempt: UnprovenAttempt,
    ) {
        self.table.borrow_mut().watch(fingerprint, service, attempt, Instant::now());
    }

    /// Records that the work ended well.
    pub(crate) fn record_proof(self: &Rc<Self>, fingerprint: RequestFingerprint) {
        let now = Instant::now();
        let settled = self.settle(fingerprint, now);
        if settled == 0 {
            return;
        }
        let keepers = self.peers.loss_members().keepers(fingerprint);
        let message =
            move || Some(LossMessage::Answered(ProvenWork::of(fingerprint, now, Instant::now())));
        self.send_twice(addresses(&keepers.others), message);
        if keepers.announces {
            self.share_cleared(fingerprint, now, settled);
        }
    }

    /// Returns the number of attempts that the proof settles.
    fn settle(&self, fingerprint: RequestFingerprint, proven_at: Instant) -> usize {
        let settled = self.table.borrow_mut().prove(fingerprint, proven_at);
        if settled > 0 {
            self.ledger.touch_written(fingerprint);
        }
        settled
    }

    /// Tells all instances of losses that have become more.
    fn share_repeated(self: &Rc<Self>, fingerprint: RequestFingerprint, raised: Option<usize>) {
        if raised.is_some_and(|count| count >= MIN_SHARED_LOSSES) {
            self.send(fingerprint, LossAudience::All, true);
        }
    }

    /// Stores repeated losses also where they did not occur: the instance that lost the upstream may end
    /// before it can write them.
    fn store_repeated(&self, fingerprint: RequestFingerprint, raised: Option<usize>) {
        let is_stored = raised.is_none() && self.ledger.is_written(fingerprint);
        if !is_stored && self.count(fingerprint) >= MIN_SHARED_LOSSES {
            self.ledger.touch(fingerprint);
        }
    }

    fn share_cleared(
        self: &Rc<Self>,
        fingerprint: RequestFingerprint,
        proven_at: Instant,
        settled: usize,
    ) {
        if settled >= MIN_SHARED_LOSSES {
            let message = move || {
                Some(LossMessage::Cleared(ProvenWork::of(fingerprint, proven_at, Instant::now())))
            };
            self.send_twice(self.peers.loss_members().addresses(), message);
        }
    }

    /// Sends what is known of the work.
    fn send(
        self: &Rc<Self>,
        fingerprint: RequestFingerprint,
        audience: LossAudience,
        is_repeated: bool,
    ) {
        let members = self.peers.loss_members();
        let to = match audience {
            LossAudience::Keepers => {
                let keepers = members.keepers(fingerprint).others;
                let to = addresses(&keepers);
                self.told.borrow_mut().insert(fingerprint, keepers);
                to
            }
            LossAudience::All => members.addresses(),
        };
        let exchange = self.clone();
        let message = move || exchange.report(fingerprint, audience);
        match is_repeated {
            false => self.send_to(&to, message()),
            true => self.send_twice(to, message),
        }
    }

    /// `None` if the work was proven meanwhile.
    fn report(
        &self,
        fingerprint: RequestFingerprint,
        audience: LossAudience,
    ) -> Option<LossMessage> {
        let table = self.table.borrow();
        let attempts = table.attempts(fingerprint);
        if attempts.is_empty() {
            return None;
        }
        let reported = ReportedWork::of(fingerprint, attempts, Instant::now());
        Some(match audience {
            LossAudience::Keepers => LossMessage::Unproven(reported),
            LossAudience::All => LossMessage::Repeated(reported),
        })
    }

    /// `message` is made anew for the second time, as it tells ages.
    fn send_twice(
        self: &Rc<Self>,
        to: Vec<Box<str>>,
        message: impl Fn() -> Option<LossMessage> + 'static,
    ) {
        if to.is_empty() {
            return;
        }
        self.send_to(&to, message());
        let exchange = self.clone();
        actix_rt::spawn(async move {
            sleep(RESEND_DELAY).await;
            exchange.send_to(&to, message());
        });
    }

    fn send_to(&self, to: &[Box<str>], message: Option<LossMessage>) {
        let Some(message) = message else { return };
        let datagram = message.encode();
        to.iter().for_each(|address| self.peers.send_loss(address, &datagram));
    }

    /// Takes over attempts that another instance reports. Returns the number of losses if it has become
    /// more.
    fn accept(&self, reported: &ReportedWork) -> Option<usize> {
        let now = Instant::now();
        let mut table = self.table.borrow_mut();
        let attempts = reported.attempts.iter().filter_map(|attempt| attempt.received(now));
        attempts.filter_map(|attempt| table.record(reported.fingerprint, attempt, now)).max()
    }

    /// Forgets what has expired.
    pub(crate) fn prune(&self) {
        let mut table = self.table.borrow_mut();
        table.prune(Instant::now());
        self.told.borrow_mut().retain(|fingerprint, _| table.contains(*fingerprint));
        self.ledger.touch_expired(|fingerprint| table.contains(fingerprint));
    }

    /// Tells keepers that were none when the losses were reported, or that have restarted since.
    fn hand_over(self: &Rc<Self>) {
        let members = self.peers.loss_members();
        let counted = self.table.borrow().counted(Instant::now());
        for fingerprint in counted {
            if self.count(fingerprint) == 0 {
                continue;
            }
            let keepers = members.keepers(fingerprint).others;
            let told = self.told.borrow_mut().insert(fingerprint, keepers.clone());
            let new = new_members(&keepers, &told.unwrap_or_default());
            let exchange = self.clone();
            let message = move || exchange.report(fingerprint, LossAudience::Keepers);
            self.send_twice(addresses(&new), message);
        }
    }
}

impl LossListener for LossExchange {
    fn receive(self: Rc<Self>, from: &str, message: LossMessage) {
        match message {
            LossMessage::Unproven(reported) => {
                // The sender may know too few losses to tell all, or be cut off from some of them.
                let raised = self.accept(&reported);
                let fingerprint = reported.fingerprint;
                if self.peers.loss_members().keepers(fingerprint).announces {
                    self.share_repeated(fingerprint, raised);
                    self.store_repeated(fingerprint, raised);
                }
            }
            LossMessage::Repeated(reported) => {
                if let Some(lost) = self.accept(&reported) {
                    let fingerprint = reported.fingerprint;
                    log::info!(
                        "event=losses_learned fingerprint={fingerprint} lost={lost} from={from}"
                    );
                }
            }
            LossMessage::Answered(proven) => {
                let Some(proven_at) = proven.proven_at(Instant::now()) else { return };
                let settled = self.settle(proven.fingerprint, proven_at);
                if self.peers.loss_members().keepers(proven.fingerprint).announces {
                    self.share_cleared(proven.fingerprint, proven_at, settled);
                }
            }
            LossMessage::Cleared(proven) => {
                if let Some(proven_at) = proven.proven_at(Instant::now()) {
                    self.settle(proven.fingerprint, proven_at);
                }
            }
            LossMessage::Wanted => self.reply_with_known(from),
            LossMessage::Known { work, is_last } => self.accept_known(from, &work, is_last),
        }
    }
}

impl UpstreamListener for LossExchange {
    fn upstreams_ended(self: Rc<Self>, ended: &[LoadKey]) {
        let found = self.table.borrow_mut().take_ended(ended, Instant::now());
        self.table.borrow_mut().confirm_ended(ended);
        for (fingerprint, service, attempt) in found {
            let attempt = UnprovenAttempt { state: AttemptState::Lost, ..attempt };
            let lost = self.record(fingerprint, &service, attempt);
            log::info!(
                "event=upstream_lost service={service} fingerprint={fingerprint} \
                 attempt={:016x} lost={lost} cause=\"ended after the attempt\" age_ms={}",
                attempt.key,
                attempt.ended_at.elapsed().as_millis()
            );
        }
    }
}
