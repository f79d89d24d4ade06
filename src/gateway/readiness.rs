//! Readiness of this instance as it is advertised to callers.

use std::cell::Cell;
use std::time::Duration;

use super::{Gateway, GatewayMechanism};

/// How long store calls must go through peers before callers are sent elsewhere. Longer than a
/// single lost answer, shorter than the TTL of an address list.
const WITHDRAWAL_DELAY: Duration = Duration::from_millis(300);

#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
enum ReadinessState {
    #[default]
    Unannounced,
    Ready,
    Withdrawn,
}

#[derive(Debug, Default)]
pub(crate) struct AdvertisedReadiness {
    state: Cell<ReadinessState>,
}

impl AdvertisedReadiness {
    /// Stays true after a withdrawal.
    pub(crate) fn is_announced(&self) -> bool {
        self.state.get() != ReadinessState::Unannounced
    }
}

impl Gateway {
    /// Advertises the instance once it is ready, and withdraws it while it reaches the store only
    /// through peers.
    ///
    /// Relayed store calls are slower and fail when the relaying peers are cut off as well. During
    /// an outage of the whole store all instances are equal, and none withdraws.
    pub(crate) fn update_readiness(&self) {
        let withdraws = self.settings.uses(GatewayMechanism::OfferWithdrawal);
        let relayed = self.store.relayed_for().filter(|_| withdraws);
        match self.readiness.state.get() {
            _ if self.is_draining() => {}
            ReadinessState::Unannounced if self.is_ready() => {
                log::info!("event=ready");
                self.advertise();
            }
            ReadinessState::Ready if relayed.is_some_and(|since| since >= WITHDRAWAL_DELAY) => {
                if self.members.try_mark_unready() {
                    self.readiness.state.set(ReadinessState::Withdrawn);
                    log::info!("event=offer_withdrawn cause=store_by_peers_only");
                }
            }
            ReadinessState::Withdrawn if relayed.is_none() => {
                log::info!("event=offer_renewed");
                self.advertise();
            }
            ReadinessState::Unannounced | ReadinessState::Ready | ReadinessState::Withdrawn => {}
        }
    }

    fn advertise(&self) {
        self.readiness.state.set(ReadinessState::Ready);
        self.members.mark_ready(&self.settings.caller_address);
    }
}
