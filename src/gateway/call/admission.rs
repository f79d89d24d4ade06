//! Admits programs at their first turn, by shared load where it is known, else by observed waits.

use tokio::time::Instant;

use super::CallContext;
use super::turn::NOT_ADMITTED_RETRY_DELAY;
use crate::core::admission::{
    AdmissionReply, AdmissionRequest, ProgramDecision, ProgramRequest, StartedTurn,
};
use crate::core::load::ServicePressure;
use crate::core::turns::ProgramName;
use crate::gateway::refusal::Refusal;
use crate::gateway::{Gateway, GatewayMechanism};

#[derive(Debug, Clone, Copy, PartialEq)]
pub(super) enum TurnVerdict {
    Admitted,
    /// Rejected by the waits that this instance observes.
    ByGate(AdmissionReply),
    /// Rejected by the load of all instances.
    ByLoad(ProgramDecision, ServicePressure),
}

impl Gateway {
    /// Rejects first turns of programs while engines are overloaded.
    pub(super) fn admit(&self, call: &CallContext, program: &ProgramName) -> TurnVerdict {
        if let Some(pressure) = self.pressure(call) {
            let request = program_request(call, program, pressure);
            let decision = self.admission.borrow_mut().admit(&request);
            self.metrics.record_admission(&call.service, call.rank, &decision);
            return match decision.is_admitted {
                true => TurnVerdict::Admitted,
                false => TurnVerdict::ByLoad(decision, pressure),
            };
        }
        if !self.settings.uses(GatewayMechanism::AdmissionGate) {
            return TurnVerdict::Admitted;
        }
        let request = AdmissionRequest {
            service: &call.service,
            program,
            priority: call.rank,
            now: Instant::now(),
        };
        match self.gate.borrow_mut().admit(&request) {
            AdmissionReply::Admitted => TurnVerdict::Admitted,
            reply => TurnVerdict::ByGate(reply),
        }
    }

    fn admits_by_load(&self, service: &str) -> bool {
        self.settings.uses(GatewayMechanism::ProgramAdmission) && self.shares_load(service)
    }

    /// `None` if the load of the other instances is not known, or not used for admission.
    fn pressure(&self, call: &CallContext) -> Option<ServicePressure> {
        if !self.admits_by_load(&call.service) {
            return None;
        }
        let upstreams = self.feed.upstreams.borrow();
        upstreams.pressure(&call.service, &self.load.view.borrow(), Instant::now())
    }

    /// Records a claimed turn.
    pub(super) fn record_started(&self, call: &CallContext, program: &ProgramName, is_first: bool) {
        if is_first {
            self.metrics.record_program(&call.service, call.rank, "admitted");
        }
        if self.admits_by_load(&call.service) {
            self.admission.borrow_mut().record_turn(&StartedTurn {
                service: &call.service,
                route: &call.route.name,
                program,
                is_first,
                finish: call.head.finish,
                timeout: call.route.timeout,
                now: Instant::now(),
            });
        }
    }

    pub(super) fn admission_refusal(
        &self,
        call: &CallContext,
        program: &ProgramName,
        verdict: TurnVerdict,
    ) -> Refusal {
        self.metrics.record_program(&call.service, call.rank, "refused");
        let (share, load, retry_after) = match verdict {
            TurnVerdict::ByLoad(decision, pressure) => {
                let request = program_request(call, program, pressure);
                let retry_after = self.admission.borrow_mut().refuse(&request);
                let ProgramDecision { admitted_fraction, wait, setpoint, .. } = decision;
                let (wait, setpoint) = (wait.as_millis(), setpoint.as_millis());
                let load = format!("wait_ms={wait} setpoint_ms={setpoint}");
                (admitted_fraction, load, retry_after)
            }
            TurnVerdict::ByGate(AdmissionReply::Rejected {
                retry_after,
                admitted_fraction,
                excess,
            }) => (admitted_fraction, format!("excess_ms={}", excess.as_millis()), retry_after),
            TurnVerdict::Admitted | TurnVerdict::ByGate(AdmissionReply::Admitted) => {
                return Refusal::not_run("engines_overloaded", NOT_ADMITTED_RETRY_DELAY);
            }
        };
        log::info!(
            "event=turn_turned_away request={} program={program} service={} priority={} \
             share={share:.2} {load} retry_ms={}",
            call.id,
            call.service,
            call.rank,
            retry_after.as_millis()
        );
        Refusal::not_run("engines_overloaded", retry_after)
    }
}

fn program_request<'a>(
    call: &'a CallContext,
    program: &'a ProgramName,
    pressure: ServicePressure,
) -> ProgramRequest<'a> {
    let now = Instant::now();
    ProgramRequest {
        service: &call.service,
        route: &call.route.name,
        objective: call.route.objective,
        program,
        priority: call.rank,
        time_left: call.deadline.saturating_duration_since(now),
        pressure,
        now,
    }
}
