//! Whether callers are sent to this instance.

use std::cell::Cell;
use std::time::Duration;

use super::{Gateway, GatewayMechanism};

/// How long store calls go by peers before callers are sent elsewhere: longer than a single lost
/// answer, shorter than callers keep a list of addresses.
const WITHDRAW_AFTER: Duration = Duration::from_millis(300);

/// What callers have been told of this instance.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
enum OfferState {
    /// Not ready yet.
    #[default]
    Silent,
    Offered,
    /// Better served elsewhere.
    Withdrawn,
}

/// The offer of this instance to callers.
#[derive(Debug, Default)]
pub(crate) struct CallerOffer {
    state: Cell<OfferState>,
}

impl CallerOffer {
    /// Whether callers were told of this instance, however long ago.
    pub(crate) fn is_announced(&self) -> bool {
        self.state.get() != OfferState::Silent
    }
}

impl Gateway {
    /// Offers the instance to callers once it is ready, and takes the offer back while only its peers
    /// reach the store.
    ///
    /// A turn that goes by a peer is slower, and is refused when the peers asked are cut off as well;
    /// whoever can choose is better served where the store answers. While the whole store is away,
    /// all instances are alike, and none withdraws.
    pub(crate) fn update_offer(&self) {
        let withdraws = self.settings.uses(GatewayMechanism::OfferWithdrawal);
        let relayed = self.store.relayed().filter(|_| withdraws);
        match self.offer.state.get() {
            _ if self.is_draining() => {}
            OfferState::Silent if self.is_ready() => {
                log::info!("event=ready");
                self.make_offer();
            }
            OfferState::Offered if relayed.is_some_and(|since| since >= WITHDRAW_AFTER) => {
                if self.members.try_mark_unready() {
                    self.offer.state.set(OfferState::Withdrawn);
                    log::info!("event=offer_withdrawn cause=store_by_peers_only");
                }
            }
            OfferState::Withdrawn if relayed.is_none() => {
                log::info!("event=offer_renewed");
                self.make_offer();
            }
            OfferState::Silent | OfferState::Offered | OfferState::Withdrawn => {}
        }
    }

    fn make_offer(&self) {
        self.offer.state.set(OfferState::Offered);
        self.members.mark_ready(&self.settings.caller_address);
    }
}
