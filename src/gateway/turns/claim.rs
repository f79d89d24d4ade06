//! Claims turns: loads a turn's chain and reserves its tokens before it runs.

use std::rc::Rc;
use std::time::Duration;

use futures_util::future::try_join_all;
use serde::{Deserialize, Serialize};
use tokio::time::{Instant, sleep};

use super::{ChainError, ReserveError, TurnChain, TurnManager, TurnReservation};
use crate::core::ids::Tokens;
use crate::core::turns::{BranchName, PrefixHolder, ProgramName, TurnId, TurnScope};
use crate::node::platform::StoreError;

/// A claim starts over when a program of its chain expires meanwhile.
pub(super) const MAX_CLAIM_ATTEMPTS: usize = 3;

/// Covers differences between the clocks of instances. A claim that is still older has expired for them all.
const TAKEOVER_RETENTION: Duration = Duration::from_secs(60);
/// Turns that have just ended may still hold tokens. Covers the delay and the write of a settlement.
pub(super) const SETTLEMENT_WAIT: Duration = Duration::from_millis(250);

/// Request to run a turn. Field names are part of the protocol between instances.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub(crate) struct TurnClaim {
    pub(crate) program: ProgramName,
    pub(crate) turn: TurnId,
    pub(crate) previous: Option<TurnId>,
    /// Maximum number of tokens that the turn may generate.
    pub(crate) most: Tokens,
    /// Maximum number of tokens of all turns of the program.
    pub(crate) budget: Tokens,
    /// Retention of the program's turns, counted from the claim.
    pub(crate) retention: Duration,
    #[serde(default)]
    pub(crate) scope: TurnScope,
    /// Branch of the program; sent as `line`.
    #[serde(default)]
    pub(crate) line: Option<BranchName>,
    /// Rejects the claim if the coordinator knows no earlier turn of the program.
    #[serde(default)]
    pub(crate) only_known: bool,
    /// When the claim becomes void, in milliseconds of the store's clock; a coordinator that was
    /// suspended may get it later. Absent if the sender does not know the clock, or is of a release that
    /// does not say.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub(crate) expires_ms: Option<u64>,
    /// The sender asks again if the known ledger does not cover the turn, so it need not be read yet.
    #[serde(default, skip_serializing_if = "is_false")]
    pub(crate) asks_again: bool,
    /// Lets the coordinator look for such a turn in the store too; set where load is shared.
    #[serde(default, skip_serializing_if = "is_false")]
    pub(crate) reads_store: bool,
}

pub(super) fn is_false(flag: &bool) -> bool {
    !flag
}

/// Decides which instance releases a reservation whose write may still be committed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum ClaimSource {
    Coordinator,
    /// There is no coordinator, or it has not received the claim.
    Proxy,
    /// The coordinator may have reserved, but did not reply.
    Takeover,
    /// On behalf of a peer, which may have taken the claim over and be running the turn under the same
    /// reservation. Releasing it here would leave the turn's tokens uncounted.
    Peer,
}

pub(crate) struct ClaimedTurn {
    pub(crate) chain: TurnChain,
    /// Engine of the previous turn, if the history is not stored.
    pub(crate) holder: Option<PrefixHolder>,
    pub(crate) reservation: TurnReservation,
    /// The program had a ledger before the claim; `None` if the coordinator is of a release that does
    /// not say so.
    pub(crate) had_ledger: Option<bool>,
}

#[derive(Debug, Clone, PartialEq)]
pub(crate) enum ClaimError {
    /// The previous turn does not exist, confirmed by a read of the store.
    NoSuchTurn,
    /// The program is new and the claim was for known programs only.
    NotAdmitted,
    Exhausted {
        committed: Tokens,
        /// The end of other turns does not help.
        permanent: bool,
    },
    /// The chain exceeds the memory that is left for chains.
    MemoryExhausted,
    /// A call of the store failed; nothing is reserved.
    Store(StoreError),
    /// A call of the store failed after the reservation may have been committed. It is being released,
    /// so the turn must not be claimed again: its tokens would not be counted.
    Indeterminate(StoreError),
}

impl TurnReservation {
    fn failure(&self, error: StoreError) -> ClaimError {
        if self.settled { ClaimError::Store(error) } else { ClaimError::Indeterminate(error) }
    }
}

impl TurnManager {
    pub(super) async fn claim_locally(
        self: &Rc<Self>,
        mut claim: TurnClaim,
        deadline: Instant,
        source: ClaimSource,
    ) -> Result<ClaimedTurn, ClaimError> {
        let is_coordinator = matches!(source, ClaimSource::Coordinator | ClaimSource::Peer);
        if claim.only_known && is_coordinator && !self.is_known(&claim, deadline).await {
            return Err(ClaimError::NotAdmitted);
        }
        let mut reservation = self.reservation(&claim.program, &claim.turn);
        reservation.scope = claim.scope;
        // If dropped unsettled, it releases what the coordinator may have reserved.
        reservation.settled = source != ClaimSource::Takeover;
        if source == ClaimSource::Takeover {
            reservation.taken_over_until = Some(self.taken_over_until(&claim));
        }
        // A peer asks again itself.
        let mut asks_again = source != ClaimSource::Peer;
        let previous = claim.previous.clone().filter(|_| claim.scope == TurnScope::History);
        for _ in 0..MAX_CLAIM_ATTEMPTS {
            let chain = match &previous {
                Some(previous) => self.chain(&claim, previous, deadline).await,
                None => Ok(TurnChain::default()),
            };
            let chain = chain.map_err(|error| match error {
                ChainError::NoSuchTurn => ClaimError::NoSuchTurn,
                ChainError::MemoryExhausted => ClaimError::MemoryExhausted,
                ChainError::Store(error) => reservation.failure(error),
            })?;
            match self
                .reserve_with_origins(&claim, &chain, deadline, source, &mut reservation)
                .await
            {
                Ok(had_ledger) => {
                    let had_ledger = Some(had_ledger);
                    let holder = self.prefix_holder(&claim);
                    return Ok(ClaimedTurn { chain, holder, reservation, had_ledger });
                }
                Err(ReserveError::Expired) => {}
                Err(ReserveError::Exhausted { permanent: false, .. })
                    if asks_again && Instant::now() + SETTLEMENT_WAIT < deadline =>
                {
                    (asks_again, claim.asks_again) = (false, false);
                    sleep(SETTLEMENT_WAIT).await;
                }
                Err(ReserveError::Exhausted { committed, permanent }) => {
                    return Err(ClaimError::Exhausted { committed, permanent });
                }
                Err(ReserveError::Void) => return Err(ClaimError::Store(StoreError::Unavailable)),
                Err(ReserveError::Store(error)) => return Err(reservation.failure(error)),
            }
        }
        // Neither reserved nor found absent.
        Err(reservation.failure(StoreError::Unavailable))
    }

    /// Whether the turn's claim by its coordinator is void, as its caller no longer waits for it.
    pub(super) fn is_expired(&self, claim: &TurnClaim) -> bool {
        let now = self.store.clock_millis();
        now.zip(claim.expires_ms).is_some_and(|(now, expires)| expires < now)
    }

    /// Until when the ledger has to say that a turn was taken over, in milliseconds of the store's clock.
    pub(super) fn taken_over_until(&self, claim: &TurnClaim) -> u64 {
        let now = self.store.now_millis();
        claim.expires_ms.unwrap_or(now).max(now) + TAKEOVER_RETENTION.as_millis() as u64
    }

    /// The engine that ran the branch's last turn, if the history is not stored.
    fn prefix_holder(&self, claim: &TurnClaim) -> Option<PrefixHolder> {
        match claim.scope {
            TurnScope::History => None,
            TurnScope::Tokens => self.holders.borrow().holder(&claim.program, claim.line.as_ref()),
        }
    }

    async fn reserve_with_origins(
        self: &Rc<Self>,
        claim: &TurnClaim,
        chain: &TurnChain,
        deadline: Instant,
        source: ClaimSource,
        reservation: &mut TurnReservation,
    ) -> Result<bool, ReserveError> {
        let origins = chain.origins(&claim.program);
        let extensions =
            origins.iter().map(|origin| self.extend_retention(origin, claim.retention, deadline));
        try_join_all(extensions).await?;
        let is_continued = chain.includes(&claim.program);
        self.reserve(claim, is_continued, deadline, source, reservation).await
    }
}
