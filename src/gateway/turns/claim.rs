//! What a turn needs before it may run: its chain, and its tokens set aside.

use std::rc::Rc;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use tokio::time::Instant;

use super::{ChainError, ReserveError, TurnChain, TurnManager, TurnReservation};
use crate::core::ids::Tokens;
use crate::core::turns::{BranchName, PrefixHolder, ProgramName, TurnId, TurnScope};
use crate::node::platform::StoreError;

/// Times a turn is claimed before what it continues from counts as gone.
pub(super) const MAX_CLAIM_ATTEMPTS: usize = 3;

/// What a turn asks for.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub(crate) struct TurnClaim {
    pub(crate) program: ProgramName,
    pub(crate) turn: TurnId,
    pub(crate) previous: Option<TurnId>,
    /// Most tokens it generates.
    pub(crate) most: Tokens,
    /// Tokens of the whole program.
    pub(crate) budget: Tokens,
    /// How long the program's turns are kept from now on.
    pub(crate) retention: Duration,
    #[serde(default)]
    pub(crate) scope: TurnScope,
    /// The line of turns that it belongs to.
    #[serde(default)]
    pub(crate) line: Option<BranchName>,
    /// Whether the program is turned away unless it has had turns before.
    #[serde(default)]
    pub(crate) only_known: bool,
}

/// For whom a turn is claimed, which decides who takes back a reservation that may stand unseen.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum ClaimSource {
    /// This instance, which coordinates the program.
    Coordinator,
    /// This instance, instead of a coordinator that has not heard of the claim, or where there is none.
    Proxy,
    /// This instance, after a coordinator whose reservation may take effect unseen.
    Takeover,
    /// A peer, which may claim the turn another way and run it under this very reservation: taken back
    /// here, the running turn's tokens would be counted nowhere.
    Peer,
}

/// A turn that may run.
pub(crate) struct ClaimedTurn {
    pub(crate) chain: TurnChain,
    /// The engine that ran the turn before, where the history is not kept.
    pub(crate) holder: Option<PrefixHolder>,
    pub(crate) reservation: TurnReservation,
}

/// Why a turn may not run.
#[derive(Debug, Clone, PartialEq)]
pub(crate) enum ClaimError {
    /// What it continues from does not exist: the store was asked just now.
    NoSuchTurn,
    /// The program is new, and new ones are turned away.
    NotAdmitted,
    /// The budget does not hold its most tokens on top of these.
    Exhausted { committed: Tokens },
    /// The store did not do its part; nothing of the claim stands.
    Store(StoreError),
    /// The same, but the reservation may stand. It is being taken back, so the turn must not be claimed
    /// again: it would run under a reservation that vanishes, its tokens counted nowhere.
    Indeterminate(StoreError),
}

impl TurnReservation {
    /// What a store that did not do its part means for the claim.
    fn failure(&self, error: StoreError) -> ClaimError {
        if self.settled { ClaimError::Store(error) } else { ClaimError::Indeterminate(error) }
    }
}

impl TurnManager {
    /// Reads what a turn continues from and sets its tokens aside, anew if the program has expired
    /// since it was seen here.
    pub(super) async fn claim_here(
        self: &Rc<Self>,
        claim: &TurnClaim,
        deadline: Instant,
        source: ClaimSource,
    ) -> Result<ClaimedTurn, ClaimError> {
        if claim.scope == TurnScope::Tokens {
            return self.claim_tokens(claim, deadline, source).await;
        }
        let mut reservation = self.reservation(&claim.program, &claim.turn);
        // Dropped unsettled, it takes back what a coordinator may have set aside unseen.
        reservation.settled = source != ClaimSource::Takeover;
        for _ in 0..MAX_CLAIM_ATTEMPTS {
            let chain = match &claim.previous {
                Some(previous) => self.chain(&claim.program, previous).await,
                None => Ok(TurnChain::default()),
            };
            let chain = chain.map_err(|error| match error {
                ChainError::NoSuchTurn => ClaimError::NoSuchTurn,
                ChainError::Store(error) => reservation.failure(error),
            })?;
            match self.reserve_with_origins(claim, &chain, deadline, source, &mut reservation).await
            {
                Ok(()) => return Ok(ClaimedTurn { chain, holder: None, reservation }),
                Err(ReserveError::Expired) => {}
                Err(ReserveError::Exhausted { committed }) => {
                    return Err(ClaimError::Exhausted { committed });
                }
                Err(ReserveError::Store(error)) => return Err(reservation.failure(error)),
            }
        }
        Err(ClaimError::NoSuchTurn)
    }

    async fn reserve_with_origins(
        self: &Rc<Self>,
        claim: &TurnClaim,
        chain: &TurnChain,
        deadline: Instant,
        source: ClaimSource,
        reservation: &mut TurnReservation,
    ) -> Result<(), ReserveError> {
        for origin in chain.origins() {
            self.extend_retention(&origin, claim.retention, deadline).await?;
        }
        self.reserve(claim, deadline, source, reservation).await
    }
}
