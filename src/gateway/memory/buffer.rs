//! Body that is read whole, in memory that a permit counts.

use std::time::Duration;

use bytes::{Bytes, BytesMut};

use super::{MemoryFull, MemoryPermit};

/// First size of a body whose length is not known.
const FIRST_CAPACITY: usize = 16 * 1024;
/// Up to this size a request is small.
const SMALL_CAPACITY: usize = 64 * 1024;
/// A larger body doubles no more, so that it holds little that it does not need.
const STEADY_CAPACITY: usize = 1024 * 1024;
/// Part by which it grows then, so that it is not copied too often.
const STEADY_DIVISOR: usize = 4;

pub(crate) struct BodyBuffer<'a> {
    memory: &'a MemoryPermit,
    bytes: BytesMut,
    /// What the permit holds for the body.
    reserved: usize,
    limit: usize,
}

impl<'a> BodyBuffer<'a> {
    /// For a body of at most `limit` bytes. The permit holds the `capacity` already.
    pub(crate) fn with_capacity(memory: &'a MemoryPermit, capacity: usize, limit: usize) -> Self {
        Self { memory, bytes: BytesMut::with_capacity(capacity), reserved: capacity, limit }
    }

    pub(crate) fn exceeds(&self, more: usize) -> bool {
        self.bytes.len() + more > self.limit
    }

    /// The size that must be reserved before `more` bytes are added; `None` if there is room.
    fn next_capacity(&self, more: usize) -> Option<usize> {
        let (held, needed) = (self.bytes.capacity(), self.bytes.len() + more);
        let step = match held < STEADY_CAPACITY {
            true => held,
            false => (held / STEADY_DIVISOR).max(STEADY_CAPACITY),
        };
        let grown = (held + step).clamp(FIRST_CAPACITY, self.limit.max(needed));
        (needed > held).then(|| grown.max(needed))
    }

    /// Waits up to `wait` for memory.
    pub(crate) async fn push(&mut self, chunk: &[u8], wait: Duration) -> Result<(), MemoryFull> {
        if let Some(capacity) = self.next_capacity(chunk.len()) {
            self.reserve(capacity, wait).await?;
            self.move_to(capacity);
        }
        self.bytes.extend_from_slice(chunk);
        Ok(())
    }

    /// Returns false if there is no memory at once; the chunk is not added then.
    pub(crate) fn try_push(&mut self, chunk: &[u8]) -> bool {
        if let Some(capacity) = self.next_capacity(chunk.len()) {
            if !self.try_reserve(capacity) {
                return false;
            }
            self.move_to(capacity);
        }
        self.bytes.extend_from_slice(chunk);
        true
    }

    /// A large body reserves all that it may need, so that it does not wait half read; if that is not
    /// free, it grows alone.
    async fn reserve(&mut self, capacity: usize, wait: Duration) -> Result<(), MemoryFull> {
        let lacking = capacity.saturating_sub(self.reserved);
        if lacking == 0 {
            return Ok(());
        }
        if capacity <= SMALL_CAPACITY {
            self.memory.acquire(lacking, wait).await?;
        } else if self.try_reserve(self.limit) {
            self.memory.end_growth();
            return Ok(());
        } else {
            self.memory.grow(lacking, wait).await?;
        }
        self.reserved = capacity;
        Ok(())
    }

    fn try_reserve(&mut self, capacity: usize) -> bool {
        let lacking = capacity.saturating_sub(self.reserved);
        let is_reserved = lacking == 0 || self.memory.try_acquire(lacking);
        if is_reserved {
            self.reserved = self.reserved.max(capacity);
        }
        is_reserved
    }

    /// The bytes that are left behind are not counted: only one body at a time is copied.
    fn move_to(&mut self, capacity: usize) {
        let mut grown = BytesMut::with_capacity(capacity);
        grown.extend_from_slice(&self.bytes);
        self.bytes = grown;
    }

    /// The permit holds the capacity on.
    pub(crate) fn finish(mut self) -> Bytes {
        let surplus = self.reserved.saturating_sub(self.bytes.capacity());
        self.memory.release(surplus);
        self.reserved = 0;
        std::mem::take(&mut self.bytes).freeze()
    }
}

impl Drop for BodyBuffer<'_> {
    fn drop(&mut self) {
        self.memory.release(self.reserved);
        self.memory.end_growth();
    }
}
