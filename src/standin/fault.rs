//! Faults that a stand-in or a link to it can be made to show.

use std::cell::{Cell, RefCell};
use std::future::pending;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use tokio::sync::Notify;
use tokio::time::sleep;

/// What is wrong at the moment.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct FaultSettings {
    /// Added to every operation.
    pub delay_ms: u64,
    /// Every operation fails at once, without effect.
    pub outage: bool,
    /// The replies of the next so many operations are lost after they took effect.
    pub lose_replies: u32,
    /// Nothing is answered, and nothing fails, until this is switched off.
    pub silent: bool,
}

/// How an operation should fail.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum InjectedFault {
    /// Before it took effect.
    Outage,
    /// After it took effect.
    ReplyLost,
}

/// A switch that operations pass before and after they take effect.
#[derive(Debug, Default)]
pub struct FaultSwitch {
    settings: RefCell<FaultSettings>,
    changed: Notify,
    operations: Cell<u64>,
}

impl FaultSwitch {
    pub fn set(&self, settings: FaultSettings) {
        *self.settings.borrow_mut() = settings;
        self.changed.notify_waiters();
    }

    pub fn settings(&self) -> FaultSettings {
        self.settings.borrow().clone()
    }

    /// Operations so far.
    pub fn operations(&self) -> u64 {
        self.operations.get()
    }

    /// To be passed before an operation takes effect.
    pub async fn enter(&self) -> Result<(), InjectedFault> {
        self.operations.set(self.operations.get() + 1);
        let delay = Duration::from_millis(self.settings().delay_ms);
        if !delay.is_zero() {
            sleep(delay).await;
        }
        self.pass_silence().await;
        if self.settings().outage { Err(InjectedFault::Outage) } else { Ok(()) }
    }

    /// To be passed after an operation took effect and before it is answered.
    pub async fn leave(&self) -> Result<(), InjectedFault> {
        self.pass_silence().await;
        let mut settings = self.settings.borrow_mut();
        if settings.lose_replies > 0 {
            settings.lose_replies -= 1;
            return Err(InjectedFault::ReplyLost);
        }
        Ok(())
    }

    /// An operation that meets silence never ends: its connection stays silent for good, even
    /// when new ones work again.
    async fn pass_silence(&self) {
        if self.settings.borrow().silent {
            pending::<()>().await;
        }
    }
}
