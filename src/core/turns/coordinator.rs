//! Which instance of a zone coordinates a program.

use std::time::Duration;

use tokio::time::Instant;

use crate::core::members::{leaders, preferred_member};

/// Instances for each coordinator where they are busy: enough turns meet at it that most records travel
/// with another turn's reservation.
const BUSY_SPAN: usize = 4;
/// Instances for each coordinator where they are not.
const QUIET_SPAN: usize = 12;
/// Turns a second of an instance below which it counts as quiet, and above which it no longer does. The
/// hysteresis keeps bursts from moving programs between coordinators.
const QUIET_BELOW: f64 = 4.5;
const BUSY_ABOVE: f64 = 12.0;
/// Time over which turns are counted, fading.
const RATE_FADE: Duration = Duration::from_secs(5);

/// How many instances share a coordinator, by the turns that this one gets. Callers choose instances
/// evenly, so all come to the same; where they do not for a while, two coordinators have a program,
/// which does no harm.
#[derive(Debug, Clone, Copy, Default)]
pub struct CoordinatorSpan {
    rate: f64,
    at: Option<Instant>,
    busy: bool,
}

impl CoordinatorSpan {
    /// Counts a turn.
    pub fn note_turn(&mut self, now: Instant) {
        self.rate = self.rate_at(now) + 1.0 / RATE_FADE.as_secs_f64();
        self.at = Some(now);
        self.busy = match self.busy {
            true => self.rate >= QUIET_BELOW,
            false => self.rate > BUSY_ABOVE,
        };
    }

    /// Turns a second of late.
    fn rate_at(&self, now: Instant) -> f64 {
        let age = self.at.map_or(Duration::ZERO, |at| now.saturating_duration_since(at));
        self.rate * (-age.as_secs_f64() / RATE_FADE.as_secs_f64()).exp()
    }

    pub fn instances(&self) -> usize {
        if self.busy { BUSY_SPAN } else { QUIET_SPAN }
    }
}

/// The member of a zone that coordinates a program, out of those that serve callers, one of `span`.
///
/// It is a hint: all instances that agree on the members name the same one, and those that do not do
/// no harm, since the store judges each write. When the members change, only programs of the changed
/// coordinators move.
pub fn coordinator<'a>(
    program: &str,
    span: usize,
    members: impl IntoIterator<Item = &'a str>,
) -> Option<&'a str> {
    preferred_member(program, coordinators(span, members))
}

/// The members of a zone that coordinate programs, one of `span`.
pub fn coordinators<'a>(span: usize, members: impl IntoIterator<Item = &'a str>) -> Vec<&'a str> {
    leaders("turns", span, members)
}
