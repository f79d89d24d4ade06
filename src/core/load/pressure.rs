//! Queues of a service's engines over all instances.

use std::time::Duration;

/// What a new request of a service meets, for decisions on admission.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ServicePressure {
    /// Slots of the upstreams that may get requests.
    pub slots: u32,
    /// Attempts of all instances in flight at these upstreams.
    pub running: u32,
    /// Expected time that the next request waits for a slot if requests are placed evenly.
    pub wait: Duration,
    /// Requests per second that the upstreams complete while all their slots are in use.
    pub rate: f64,
}
