//! Shares with the other instances under which requests upstreams were lost.
//!
//! Each fingerprint has two keepers among the members, to whom all losses are reported. All instances
//! are told only if a second upstream is lost under the same request, by the keepers and, ahead of a
//! caller that comes back at once, by the instance that lost it. So a failure that takes many requests
//! at once costs one report each.

mod decision;
#[cfg(test)]
mod exchange_tests;

use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;

use tokio::time::{Instant, sleep};

use super::feed::UpstreamListener;
use super::members::LossListener;
use super::metrics::LossMeter;
use crate::core::load::LoadKey;
use crate::core::repeats::{
    LossMessage, LossTable, ReportedLosses, RequestFingerprint, UpstreamLoss,
};
use crate::core::routing::ServiceName;

/// A datagram may be lost, so each is sent twice.
const RESEND_DELAY: Duration = Duration::from_millis(100);
/// Losses from which all instances are told.
const MIN_SHARED_LOSSES: usize = 2;

/// The members that count the losses of a fingerprint.
pub(crate) struct LossKeepers {
    pub(crate) is_me: bool,
    /// Addresses of those that are other members.
    pub(crate) others: Vec<Box<str>>,
}

pub(crate) trait LossPeers {
    fn loss_keepers(&self, key: &str) -> LossKeepers;
    /// Addresses of all other members.
    fn loss_recipients(&self) -> Vec<Box<str>>;
    /// The datagram may be lost.
    fn send_loss(&self, to: &str, datagram: &[u8]);
}

pub(crate) struct LossExchange {
    table: RefCell<LossTable>,
    peers: Rc<dyn LossPeers>,
    meter: LossMeter,
}

#[derive(Debug, Clone, Copy)]
enum LossAudience {
    Keepers,
    All,
}

impl LossExchange {
    pub(crate) fn new(peers: Rc<dyn LossPeers>, meter: LossMeter) -> Self {
        Self { table: RefCell::default(), peers, meter }
    }

    /// Upstreams that were lost one after the other under the fingerprint, as far as is known here.
    pub(crate) fn count(&self, fingerprint: RequestFingerprint) -> usize {
        self.table.borrow().count(fingerprint, Instant::now())
    }

    /// Time since the last loss under the fingerprint; 0 without any.
    pub(crate) fn age(&self, fingerprint: RequestFingerprint) -> Duration {
        self.table.borrow().age(fingerprint, Instant::now()).unwrap_or_default()
    }

    pub(crate) fn record_count(&self) -> usize {
        self.table.borrow().len()
    }

    pub(crate) fn prune(&self) {
        self.table.borrow_mut().prune(Instant::now());
    }

    /// Counts an upstream that this instance lost. Returns the number of losses.
    pub(crate) fn record(
        self: &Rc<Self>,
        fingerprint: RequestFingerprint,
        service: &str,
        loss: UpstreamLoss,
    ) -> usize {
        let raised = self.table.borrow_mut().record(fingerprint, loss, Instant::now());
        if let Some(count) = raised {
            self.meter.record_loss(service, count);
        }
        self.send(fingerprint, LossAudience::Keepers);
        self.share_repeated(fingerprint, raised);
        self.count(fingerprint)
    }

    /// An attempt was given up without an answer. Counts if its upstream turns out to have ended.
    pub(crate) fn watch(
        &self,
        fingerprint: RequestFingerprint,
        service: ServiceName,
        loss: UpstreamLoss,
    ) {
        self.table.borrow_mut().watch(fingerprint, service, loss, Instant::now());
    }

    pub(crate) fn record_answered(self: &Rc<Self>, fingerprint: RequestFingerprint) {
        let cleared = self.table.borrow_mut().clear(fingerprint);
        if cleared == 0 {
            return;
        }
        let keepers = self.peers.loss_keepers(&fingerprint.to_string());
        self.send_twice(keepers.others, move || Some(LossMessage::Answered(fingerprint)));
        if keepers.is_me {
            self.share_cleared(fingerprint, cleared);
        }
    }

    /// Tells all instances of losses that have become more.
    fn share_repeated(self: &Rc<Self>, fingerprint: RequestFingerprint, raised: Option<usize>) {
        if raised.is_some_and(|count| count >= MIN_SHARED_LOSSES) {
            self.send(fingerprint, LossAudience::All);
        }
    }

    fn share_cleared(self: &Rc<Self>, fingerprint: RequestFingerprint, cleared: usize) {
        if cleared >= MIN_SHARED_LOSSES {
            let all = self.peers.loss_recipients();
            self.send_twice(all, move || Some(LossMessage::Cleared(fingerprint)));
        }
    }

    /// Sends what is known of the fingerprint.
    fn send(self: &Rc<Self>, fingerprint: RequestFingerprint, audience: LossAudience) {
        let to = match audience {
            LossAudience::Keepers => self.peers.loss_keepers(&fingerprint.to_string()).others,
            LossAudience::All => self.peers.loss_recipients(),
        };
        let exchange = self.clone();
        self.send_twice(to, move || {
            let table = exchange.table.borrow();
            let losses = table.losses(fingerprint);
            // Answered meanwhile.
            if losses.is_empty() {
                return None;
            }
            let reported = ReportedLosses::of(fingerprint, losses, Instant::now());
            Some(match audience {
                LossAudience::Keepers => LossMessage::Lost(reported),
                LossAudience::All => LossMessage::Repeated(reported),
            })
        });
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

    /// Takes over losses that another instance reports. Returns their number if it has become more.
    fn accept(&self, reported: &ReportedLosses) -> Option<usize> {
        let now = Instant::now();
        let mut table = self.table.borrow_mut();
        let losses = reported.losses.iter().filter_map(|loss| loss.received(now));
        losses.filter_map(|loss| table.record(reported.fingerprint, loss, now)).max()
    }
}

impl LossListener for LossExchange {
    fn receive(self: Rc<Self>, from: &str, message: LossMessage) {
        match message {
            LossMessage::Lost(reported) => {
                // The sender may know too few losses to tell all, or be cut off from some of them.
                let raised = self.accept(&reported);
                self.share_repeated(reported.fingerprint, raised);
            }
            LossMessage::Repeated(reported) => {
                if let Some(lost) = self.accept(&reported) {
                    let fingerprint = reported.fingerprint;
                    log::info!(
                        "event=losses_learned fingerprint={fingerprint} lost={lost} from={from}"
                    );
                }
            }
            LossMessage::Answered(fingerprint) => {
                let cleared = self.table.borrow_mut().clear(fingerprint);
                self.share_cleared(fingerprint, cleared);
            }
            LossMessage::Cleared(fingerprint) => {
                self.table.borrow_mut().clear(fingerprint);
            }
        }
    }
}

impl UpstreamListener for LossExchange {
    fn upstreams_ended(self: Rc<Self>, ended: &[LoadKey]) {
        let found = self.table.borrow_mut().take_ended(ended, Instant::now());
        for (fingerprint, service, loss) in found {
            let lost = self.record(fingerprint, &service, loss);
            log::info!(
                "event=upstream_lost service={service} fingerprint={fingerprint} lost={lost} \
                 cause=\"ended after the attempt was given up\" age_ms={}",
                loss.lost_at.elapsed().as_millis()
            );
        }
    }
}
