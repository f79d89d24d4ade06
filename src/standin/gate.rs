//! Links to stand-ins that can be cut or disturbed for one instance alone.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;

use async_trait::async_trait;
use bytes::Bytes;
use tokio::time::timeout;

use super::engine::{StandinEngine, upstream_error};
use super::fault::FaultSwitch;
use super::platform::{StandinPlatform, store_error};
use super::service::StandinService;
use crate::core::ids::ProgramId;
use crate::core::orders::{EngineState, FencedOrder};
use crate::core::outcome::TokenUsage;
use crate::node::platform::{
    CommitReply, KeyedRow, ObjectStore, RosterEntry, RosterSource, RowKey, STORE_TIMEOUT,
    StoreError, StoredRow, TableStore, TableTransaction,
};
use crate::node::upstream::{
    AttemptClosure, CloseRequest, EngineClient, GenerateRequest, HeldProgram, ServiceClient,
    ServiceReply, ServiceRequest, TokenStream, UpstreamError,
};

/// One instance's link to the platform.
pub struct GatedPlatform {
    pub inner: Rc<StandinPlatform>,
    pub gate: Rc<FaultSwitch>,
}

impl GatedPlatform {
    /// A client does not wait for ever on a connection that has gone silent.
    async fn enter(&self) -> Result<(), StoreError> {
        let entered = timeout(STORE_TIMEOUT, self.gate.enter()).await;
        entered.map_err(|_| StoreError::ReplyLost)?.map_err(store_error)
    }

    async fn leave<T>(&self, value: T) -> Result<T, StoreError> {
        let left = timeout(STORE_TIMEOUT, self.gate.leave()).await;
        left.map_err(|_| StoreError::ReplyLost)?.map_err(store_error)?;
        Ok(value)
    }
}

#[async_trait(?Send)]
impl TableStore for GatedPlatform {
    async fn commit(&self, transaction: &TableTransaction) -> Result<CommitReply, StoreError> {
        self.enter().await?;
        let reply = self.inner.commit(transaction).await?;
        self.leave(reply).await
    }

    async fn read(&self, keys: &[RowKey]) -> Result<Vec<Option<StoredRow>>, StoreError> {
        self.enter().await?;
        let rows = self.inner.read(keys).await?;
        self.leave(rows).await
    }

    async fn scan(
        &self,
        prefix: &str,
        after: Option<&str>,
        limit: usize,
    ) -> Result<Vec<KeyedRow>, StoreError> {
        self.enter().await?;
        let rows = self.inner.scan(prefix, after, limit).await?;
        self.leave(rows).await
    }
}

#[async_trait(?Send)]
impl ObjectStore for GatedPlatform {
    async fn put(&self, name: &str, body: Bytes) -> Result<(), StoreError> {
        self.enter().await?;
        self.inner.put(name, body).await?;
        self.leave(()).await
    }

    async fn get(&self, name: &str) -> Result<Option<Bytes>, StoreError> {
        self.enter().await?;
        let body = self.inner.get(name).await?;
        self.leave(body).await
    }

    async fn delete(&self, name: &str) -> Result<(), StoreError> {
        self.enter().await?;
        ObjectStore::delete(&*self.inner, name).await?;
        self.leave(()).await
    }
}

#[async_trait(?Send)]
impl RosterSource for GatedPlatform {
    async fn list(&self) -> Result<Vec<RosterEntry>, StoreError> {
        self.enter().await?;
        let entries = self.inner.list().await?;
        self.leave(entries).await
    }
}

/// Engines and services of this process by address.
#[derive(Default)]
pub struct LocalUpstreams {
    engines: RefCell<BTreeMap<Box<str>, Rc<StandinEngine>>>,
    services: RefCell<BTreeMap<Box<str>, Rc<StandinService>>>,
}

impl LocalUpstreams {
    pub fn add_engine(&self, address: &str, engine: Rc<StandinEngine>) {
        self.engines.borrow_mut().insert(address.into(), engine);
    }

    pub fn add_service(&self, address: &str, service: Rc<StandinService>) {
        self.services.borrow_mut().insert(address.into(), service);
    }

    fn engine(&self, address: &str) -> Result<Rc<StandinEngine>, UpstreamError> {
        self.engines.borrow().get(address).cloned().ok_or(UpstreamError::NotSent)
    }
}

/// One instance's links to the engines.
pub struct GatedEngines {
    pub inner: Rc<LocalUpstreams>,
    pub gate: Rc<FaultSwitch>,
}

/// A stream that also passes the gate of the link it came over.
struct GatedStream {
    inner: Box<dyn TokenStream>,
    gate: Rc<FaultSwitch>,
}

#[async_trait(?Send)]
impl TokenStream for GatedStream {
    async fn next(&mut self) -> Result<crate::node::upstream::EngineEvent, UpstreamError> {
        let event = self.inner.next().await?;
        self.gate.leave().await.map_err(upstream_error)?;
        if self.gate.settings().outage {
            return Err(UpstreamError::Lost { message: "the link is cut".into() });
        }
        Ok(event)
    }
}

#[async_trait(?Send)]
impl EngineClient for GatedEngines {
    async fn generate(
        &self,
        address: &str,
        request: &GenerateRequest,
    ) -> Result<Box<dyn TokenStream>, UpstreamError> {
        self.gate.enter().await.map_err(upstream_error)?;
        let inner = self.inner.engine(address)?.generate(request).await?;
        Ok(Box::new(GatedStream { inner, gate: self.gate.clone() }))
    }

    async fn cancel(
        &self,
        address: &str,
        request_id: &str,
    ) -> Result<Option<TokenUsage>, UpstreamError> {
        self.gate.enter().await.map_err(upstream_error)?;
        self.inner.engine(address)?.cancel(request_id).await
    }

    async fn close_attempts(
        &self,
        address: &str,
        request: CloseRequest,
    ) -> Result<AttemptClosure, UpstreamError> {
        self.gate.enter().await.map_err(upstream_error)?;
        self.inner.engine(address)?.close_attempts(request).await
    }

    async fn order(&self, address: &str, order: &FencedOrder) -> Result<(), UpstreamError> {
        self.gate.enter().await.map_err(upstream_error)?;
        self.inner.engine(address)?.order(order).await
    }

    async fn state(&self, address: &str) -> Result<EngineState, UpstreamError> {
        self.gate.enter().await.map_err(upstream_error)?;
        self.inner.engine(address)?.state().await
    }

    async fn release(&self, address: &str, program: ProgramId) -> Result<(), UpstreamError> {
        self.gate.enter().await.map_err(upstream_error)?;
        self.inner.engine(address)?.release(program).await?;
        self.gate.leave().await.map_err(upstream_error)
    }

    async fn held_programs(&self, address: &str) -> Result<Vec<HeldProgram>, UpstreamError> {
        self.gate.enter().await.map_err(upstream_error)?;
        self.inner.engine(address)?.list_held().await
    }
}

/// One instance's links to the services.
pub struct GatedServices {
    pub inner: Rc<LocalUpstreams>,
    pub gate: Rc<FaultSwitch>,
}

#[async_trait(?Send)]
impl ServiceClient for GatedServices {
    async fn execute(
        &self,
        address: &str,
        request: &ServiceRequest,
    ) -> Result<ServiceReply, UpstreamError> {
        self.gate.enter().await.map_err(upstream_error)?;
        let service = self.inner.services.borrow().get(address).cloned();
        let reply = service.ok_or(UpstreamError::NotSent)?.execute(request).await?;
        self.gate.leave().await.map_err(upstream_error)?;
        Ok(reply)
    }
}
