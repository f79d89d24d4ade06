//! Bounds the memory of the turns that are read for chains, which stay until their turn has its prompt.

use std::sync::Arc;

use tokio::sync::{OwnedSemaphorePermit, Semaphore};
use tokio::time::{Instant, timeout_at};

const KILOBYTE: usize = 1_024;
/// A chain may exceed the cache, whose size is a share of the instance's memory.
pub(crate) const CHAIN_MEMORY_PER_CACHE: usize = 2;

/// Chains that exceed what is left wait for others to end, in order of their arrival.
#[derive(Debug)]
pub(super) struct ChainMemory {
    kilobytes: Arc<Semaphore>,
    total: usize,
}

/// Memory of one chain, released on drop.
#[derive(Debug)]
pub(crate) struct ChainHold {
    kilobytes: Arc<Semaphore>,
    permit: Option<OwnedSemaphorePermit>,
    bytes: usize,
}

impl ChainMemory {
    pub(super) fn new(cache_bytes: usize) -> Self {
        let total = (cache_bytes * CHAIN_MEMORY_PER_CACHE / KILOBYTE).clamp(1, u32::MAX as usize);
        Self { kilobytes: Arc::new(Semaphore::new(total)), total }
    }

    /// In kilobytes.
    pub(super) fn total(&self) -> usize {
        self.total
    }

    /// Waits until this many kilobytes are free; `None` if they are not by the deadline.
    pub(super) async fn hold(&self, kilobytes: usize, deadline: Instant) -> Option<ChainHold> {
        let permit = if kilobytes == 0 {
            None
        } else {
            let acquired = self.kilobytes.clone().acquire_many_owned(kilobytes as u32);
            Some(timeout_at(deadline, acquired).await.ok()?.ok()?)
        };
        Some(ChainHold { kilobytes: self.kilobytes.clone(), permit, bytes: 0 })
    }
}

impl ChainHold {
    /// Fails with the kilobytes that it would need if they are not free.
    pub(super) fn grow(&mut self, bytes: usize) -> Result<(), usize> {
        let needed = (self.bytes + bytes).div_ceil(KILOBYTE);
        let held = self.permit.as_ref().map_or(0, OwnedSemaphorePermit::num_permits);
        if needed > held {
            let lacking = u32::try_from(needed - held).map_err(|_| needed)?;
            let acquired = self.kilobytes.clone().try_acquire_many_owned(lacking);
            let more = acquired.map_err(|_| needed)?;
            match &mut self.permit {
                Some(permit) => permit.merge(more),
                None => self.permit = Some(more),
            }
        }
        self.bytes += bytes;
        Ok(())
    }
}
