//! Learns by route how long each turn of a program may wait.
//!
//! Turns are divided by first turns, which holds only while programs start at the rate at which their
//! turns arrive. The caller leaves out times at which an instance refuses programs: fewer first turns
//! would lower its setpoint, and that would refuse still more.

use std::collections::HashMap;
use std::time::Duration;

/// Share of a turn's part of the allowed time that it may wait. The allowed time is a multiple, of at
/// least 1.5, of the time that the program takes on idle engines.
const WAIT_SHARE: f64 = 1.0 / 3.0;
const MIN_SETPOINT: Duration = Duration::from_millis(30);
/// Divides the route's objective to give the setpoint while nothing is learned.
const PRIOR_DIVISOR: u32 = 5;
/// First turns that weigh as much as the prior: fewer programs give no reliable mean of the turns per
/// program, as their turns may still follow.
const PRIOR_WEIGHT: f64 = 16.0;
/// Callers set the allowed time without an upper bound, and one of hours would dominate the mean. As
/// a turn takes much less than its timeout, programs seldom need more than a few times that.
const MAX_ALLOWED_TIMEOUTS: u32 = 4;
/// Kept share of the counts at each first turn, so that the last few hundred programs count.
const KEPT_SHARE: f64 = 1.0 - 1.0 / 256.0;
/// Routes come from the configuration, so only removed ones exceed this.
const MAX_ROUTES: usize = 1_024;

#[derive(Debug, Default)]
struct RouteTurns {
    turns: f64,
    first_turns: f64,
    /// Those of them with an allowed time, and the sum of these times in seconds.
    timed: f64,
    allowed: f64,
}

impl RouteTurns {
    fn record_first(&mut self, allowed: Option<Duration>) {
        for sum in [&mut self.turns, &mut self.first_turns, &mut self.timed, &mut self.allowed] {
            *sum *= KEPT_SHARE;
        }
        self.first_turns += 1.0;
        if let Some(allowed) = allowed {
            self.timed += 1.0;
            self.allowed += allowed.as_secs_f64();
        }
    }
}

#[derive(Debug, Default)]
pub(super) struct LearnedSetpoints {
    routes: HashMap<Box<str>, RouteTurns>,
}

impl LearnedSetpoints {
    /// `allowed` is the time until the program should finish, `timeout` that of a turn.
    pub(super) fn record_turn(
        &mut self,
        route: &str,
        is_first: bool,
        allowed: Option<Duration>,
        timeout: Duration,
    ) {
        if !self.routes.contains_key(route) {
            if self.routes.len() >= MAX_ROUTES {
                self.routes.clear();
            }
            self.routes.insert(route.into(), RouteTurns::default());
        }
        let Some(known) = self.routes.get_mut(route) else { return };
        if is_first {
            let max_allowed = timeout.saturating_mul(MAX_ALLOWED_TIMEOUTS);
            known.record_first(allowed.map(|allowed| allowed.min(max_allowed)));
        }
        // Earlier turns belong to programs whose first turn was not counted.
        if known.first_turns > 0.0 {
            known.turns += 1.0;
        }
    }

    pub(super) fn setpoint(&self, route: &str, objective: Duration) -> Duration {
        let bounded = |setpoint: Duration| setpoint.min(objective).max(MIN_SETPOINT);
        let prior = bounded(objective / PRIOR_DIVISOR);
        let Some(known) = self.routes.get(route).filter(|known| known.timed > 0.0) else {
            return prior;
        };
        let turns_per_program = (known.turns / known.first_turns).max(1.0);
        let learned = WAIT_SHARE * known.allowed / known.timed / turns_per_program;
        // Bounded first: the quotient is far too high before the first programs' later turns.
        let learned = bounded(Duration::from_secs_f64(learned));
        let weight = known.timed / (known.timed + PRIOR_WEIGHT);
        learned.mul_f64(weight) + prior.mul_f64(1.0 - weight)
    }
}
