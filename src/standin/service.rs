//! A plain service that counts how often each request ran.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use tokio::time::sleep;

use super::engine::upstream_error;
use super::fault::FaultSwitch;
use crate::core::ids::RequestId;
use crate::node::upstream::{ServiceReply, ServiceRequest, UpstreamError};

/// Speed of a stand-in service.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct ServiceSettings {
    pub work_ms: u64,
}

/// One service.
#[derive(Default)]
pub struct StandinService {
    pub faults: FaultSwitch,
    settings: ServiceSettings,
    executions: RefCell<BTreeMap<RequestId, u32>>,
}

impl StandinService {
    pub fn new(settings: ServiceSettings) -> Rc<Self> {
        Rc::new(Self { settings, ..Self::default() })
    }

    /// How often each request ran; the judge of at-most-once.
    pub fn executions(&self) -> BTreeMap<RequestId, u32> {
        self.executions.borrow().clone()
    }

    pub async fn execute(&self, request: &ServiceRequest) -> Result<ServiceReply, UpstreamError> {
        self.faults.enter().await.map_err(upstream_error)?;
        *self.executions.borrow_mut().entry(request.request_id.clone()).or_default() += 1;
        sleep(Duration::from_millis(self.settings.work_ms)).await;
        self.faults.leave().await.map_err(upstream_error)?;
        Ok(ServiceReply { text: format!("done: {}", request.input).into() })
    }
}
