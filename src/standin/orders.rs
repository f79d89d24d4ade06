//! Orders as a stand-in engine takes them.

use std::time::Duration;

use tokio::time::Instant;

use crate::core::orders::{EngineOrder, EngineState, FencedOrder, FencingToken};

/// An order that was carried out.
#[derive(Debug, Clone, PartialEq)]
pub struct TakenOrder {
    pub at: Instant,
    pub order: FencedOrder,
}

/// What an engine was ordered, and how it stands.
#[derive(Debug, Default)]
pub(super) struct OrderBook {
    pub(super) taken: Vec<TakenOrder>,
    state: EngineState,
    highest: FencingToken,
    busy_until: Option<Instant>,
}

impl OrderBook {
    /// Takes an order; false if its fencing number is checked and old.
    pub(super) fn take(&mut self, order: &FencedOrder, checks: bool, pause: Duration) -> bool {
        if checks && order.fence < self.highest {
            return false;
        }
        self.highest = self.highest.max(order.fence);
        let at = Instant::now();
        self.taken.push(TakenOrder { at, order: order.clone() });
        let loaded = &mut self.state.loaded;
        match &order.order {
            EngineOrder::Load(artifact) => {
                loaded.retain(|other| other.name != artifact.name);
                loaded.push(artifact.clone());
                self.busy_until = Some(at + pause);
            }
            EngineOrder::Unload { name } => loaded.retain(|other| other.name != *name),
            EngineOrder::SetRole { role } => self.state.role = *role,
        }
        true
    }

    pub(super) fn state(&self) -> EngineState {
        let busy = self.busy_until.is_some_and(|until| Instant::now() < until);
        EngineState { busy, ..self.state.clone() }
    }

    /// Loses everything but the record of orders.
    pub(super) fn forget(&mut self) {
        *self = Self { taken: std::mem::take(&mut self.taken), ..Self::default() };
    }
}
