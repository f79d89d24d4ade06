//! Admits programs by the expected wait at the engines of their service.

use std::collections::BTreeMap;
use std::time::Duration;

use tokio::time::Instant;
use xxhash_rust::xxh3::xxh3_64;

use super::level::admitted_fraction;
use super::priorities::PresentPriorities;
use super::returns::ReturnSchedule;
use super::setpoint::LearnedSetpoints;
use crate::core::load::ServicePressure;
use crate::core::routing::ServiceName;

/// Raises the threshold of a program that returns after its delay.
const RETURN_PRECEDENCE: f64 = 1.25;
/// Services come from the configuration, so only removed ones exceed this.
const MAX_SERVICES: usize = 1_024;

/// A turn that may be its program's first.
#[derive(Debug, Clone, Copy)]
pub struct ProgramRequest<'a> {
    pub service: &'a str,
    pub route: &'a str,
    /// Target latency of the route.
    pub objective: Duration,
    /// Hashed for the decision, so that retries of a program don't raise its chance.
    pub program: &'a str,
    /// 0 is the most urgent.
    pub priority: u8,
    /// Time until the caller stops waiting.
    pub time_left: Duration,
    pub pressure: ServicePressure,
    pub now: Instant,
}

#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ProgramDecision {
    pub is_admitted: bool,
    /// Fraction of new programs of this priority that is admitted.
    pub admitted_fraction: f64,
    /// Expected wait of the next turn.
    pub wait: Duration,
    pub setpoint: Duration,
}

/// A turn that starts, of a new or a known program.
#[derive(Debug, Clone, Copy)]
pub struct StartedTurn<'a> {
    pub service: &'a str,
    pub route: &'a str,
    pub program: &'a str,
    pub is_first: bool,
    /// Time until the program should finish.
    pub finish: Option<Duration>,
    /// Of a turn of the route.
    pub timeout: Duration,
    pub now: Instant,
}

/// Below this fraction, first turns are too few to learn the turns per program.
const MIN_LEARNING_FRACTION: f64 = 0.9;
/// Time after a lower fraction until turns and first turns match again, about a program's duration.
const LEARNING_DELAY: Duration = Duration::from_secs(5);

#[derive(Debug, Default)]
struct ServicePrograms {
    /// When the fraction was last too low to learn from.
    cut_at: Option<Instant>,
    priorities: PresentPriorities,
    returns: ReturnSchedule,
}

/// All instances decide by the same counts, so a service has about one level.
#[derive(Debug, Default)]
pub struct ProgramAdmission {
    services: BTreeMap<ServiceName, ServicePrograms>,
    setpoints: LearnedSetpoints,
}

impl ProgramAdmission {
    /// Decides whether the program may start. Only [`Self::refuse`] and [`Self::record_turn`] record
    /// the outcome, as the turn may turn out not to be its program's first.
    pub fn admit(&mut self, request: &ProgramRequest<'_>) -> ProgramDecision {
        let now = request.now;
        let setpoint = self.setpoint(request.route, request.objective);
        let service = self.service(request.service);
        service.priorities.record(request.priority, setpoint, now);
        let setpoint = service.priorities.bounded_setpoint(request.priority, setpoint);
        let urgency = service.priorities.urgency(request.priority);
        let wait = request.pressure.wait;
        let admitted_fraction = admitted_fraction(wait, setpoint, urgency);
        if admitted_fraction < MIN_LEARNING_FRACTION {
            service.cut_at = Some(now);
        }
        let hash = xxh3_64(request.program.as_bytes());
        let precedence =
            if service.returns.is_returning(hash, now) { RETURN_PRECEDENCE } else { 1.0 };
        let draw = hash as f64 / u64::MAX as f64;
        let is_admitted = admitted_fraction >= 1.0 || draw < admitted_fraction * precedence;
        ProgramDecision { is_admitted, admitted_fraction, wait, setpoint }
    }

    /// Returns the delay after which the refused program should return.
    pub fn refuse(&mut self, request: &ProgramRequest<'_>) -> Duration {
        let hash = xxh3_64(request.program.as_bytes());
        let service = self.service(request.service);
        service.returns.record_refused(hash, request.time_left, request.now)
    }

    pub fn record_turn(&mut self, turn: &StartedTurn<'_>) {
        let service = self.service(turn.service);
        if turn.is_first {
            let hash = xxh3_64(turn.program.as_bytes());
            service.returns.record_admitted(hash, turn.now);
        }
        let learns =
            service.cut_at.is_none_or(|at| turn.now.saturating_duration_since(at) > LEARNING_DELAY);
        if learns {
            self.setpoints.record_turn(turn.route, turn.is_first, turn.finish, turn.timeout);
        }
    }

    /// Time that a turn of the route may wait.
    pub fn setpoint(&self, route: &str, objective: Duration) -> Duration {
        self.setpoints.setpoint(route, objective)
    }

    fn service(&mut self, name: &str) -> &mut ServicePrograms {
        if !self.services.contains_key(name) && self.services.len() >= MAX_SERVICES {
            self.services.clear();
        }
        self.services.entry(name.into()).or_default()
    }
}
