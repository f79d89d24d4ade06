//! Chooses the instance of a zone that coordinates the turns of a program.

use std::collections::BTreeSet;
use std::time::Duration;

use tokio::time::Instant;

use crate::core::decay::DecayingSum;
use crate::core::ids::InstanceId;
use crate::core::members::{leaders, preferred_member};

/// Low, so that enough turns meet at a coordinator for most records to travel with another turn's
/// reservation.
const BUSY_INSTANCES_PER_COORDINATOR: usize = 4;
const QUIET_INSTANCES_PER_COORDINATOR: usize = 12;
/// An instance above the high mark is busy until it falls below the low one. The hysteresis keeps
/// bursts from moving programs between coordinators.
const LOW_TURNS_PER_SECOND: f64 = 4.5;
const HIGH_TURNS_PER_SECOND: f64 = 12.0;
const RATE_DECAY: Duration = Duration::from_secs(5);

/// How many instances share a coordinator, by the turn rate of this one.
///
/// Callers choose instances evenly, so instances agree on it. While they do not, a program has two
/// coordinators, which is harmless.
#[derive(Debug, Clone, Copy, Default)]
pub struct CoordinatorSpan {
    turns: DecayingSum,
    is_busy: bool,
}

impl CoordinatorSpan {
    pub fn record_turn(&mut self, now: Instant) {
        self.turns.add(1.0, now, RATE_DECAY);
        let rate = self.turns.value_at(now, RATE_DECAY) / RATE_DECAY.as_secs_f64();
        self.is_busy = match self.is_busy {
            true => rate >= LOW_TURNS_PER_SECOND,
            false => rate > HIGH_TURNS_PER_SECOND,
        };
    }

    pub fn instances(&self) -> usize {
        if self.is_busy { BUSY_INSTANCES_PER_COORDINATOR } else { QUIET_INSTANCES_PER_COORDINATOR }
    }
}

/// Chooses a program's coordinator among the members that serve callers, one of each `span`.
///
/// The result is a hint: instances that disagree on the members do no harm, since the store checks
/// each write. When the members change, only programs of the changed coordinators move.
pub fn coordinator<'a>(
    program: &str,
    span: usize,
    members: impl IntoIterator<Item = &'a str>,
) -> Option<&'a str> {
    preferred_member(program, coordinators(span, members))
}

/// Whether a change of the coordinators moves programs to `instance`.
pub fn gains_programs(
    instance: &str,
    before: &BTreeSet<InstanceId>,
    after: &BTreeSet<InstanceId>,
) -> bool {
    after.contains(instance) && (!before.contains(instance) || !before.is_subset(after))
}

pub fn coordinators<'a>(span: usize, members: impl IntoIterator<Item = &'a str>) -> Vec<&'a str> {
    leaders("turns", span, members)
}
