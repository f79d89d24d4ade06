//! Sums the queues of a service's upstreams.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::time::Duration;

use tokio::time::Instant;

use super::UpstreamTable;
use crate::core::load::{LoadView, ServicePressure};
use crate::core::routing::ServiceName;

/// Each turn asks for the pressure; it changes little within this time.
const MAX_AGE: Duration = Duration::from_millis(20);

/// Latest pressure of each service, and when it was computed.
#[derive(Debug, Default)]
pub(super) struct PressureCache(RefCell<BTreeMap<ServiceName, CachedPressure>>);

#[derive(Debug)]
struct CachedPressure {
    pressure: ServicePressure,
    at: Instant,
    /// Age of the load view at that time. A newer summary ends the entry.
    view_age: Duration,
}

impl CachedPressure {
    fn is_current(&self, view_age: Duration, now: Instant) -> bool {
        let age = now.saturating_duration_since(self.at);
        age < MAX_AGE && self.view_age + age == view_age
    }
}

impl UpstreamTable {
    /// `None` without recent counts, or if no upstream of the service may get requests.
    pub fn pressure(
        &self,
        service: &str,
        view: &LoadView,
        now: Instant,
    ) -> Option<ServicePressure> {
        if !view.is_fresh(now) {
            return None;
        }
        let view_age = view.age(now)?;
        if let Some(cached) = self.pressures.0.borrow().get(service)
            && cached.is_current(view_age, now)
        {
            return Some(cached.pressure);
        }
        let pressure = self.sum_pressure(service, view, now)?;
        let cached = CachedPressure { pressure, at: now, view_age };
        self.pressures.0.borrow_mut().insert(service.into(), cached);
        Some(pressure)
    }

    fn sum_pressure(
        &self,
        service: &str,
        view: &LoadView,
        now: Instant,
    ) -> Option<ServicePressure> {
        let speed = self.service_speed(service);
        let (mut slots, mut running, mut rate) = (0_u32, 0_u32, 0.0);
        for known in self.upstreams.values() {
            let listed = *known.entry.service == *service && self.is_available(known, now);
            // Full upstreams count: without the longest queues the wait would seem to fall.
            let failed = known.health.has_failed(now) || known.health.is_avoided(now);
            if !listed || failed {
                continue;
            }
            slots = slots.saturating_add(known.entry.slots);
            running = running.saturating_add(view.load(known.load_key, now)?.running);
            rate += f64::from(known.entry.slots) * 1e3 / known.speed.slot_ms(speed, now);
        }
        if slots == 0 {
            return None;
        }
        let queued = running.saturating_add(1).saturating_sub(slots);
        let wait = Duration::from_secs_f64(f64::from(queued) / rate);
        Some(ServicePressure { slots, running, wait, rate })
    }
}
