//! Bounds on the memory of requests in flight.

const MEGABYTE: usize = 1024 * 1024;
/// Code, metrics, routes, members and the buffers of the store and of peers.
const PROCESS_BYTES: usize = 32 * MEGABYTE;
/// Part of the remaining memory that the allocator may lose to fragmentation, and the kernel to bytes
/// that have not been read yet.
const MARGIN_DIVISOR: usize = 4;
/// Gives the memory for requests where the process itself needs almost all.
const LEAST_DIVISOR: usize = 4;
/// Requests that hold at most this much have a reserve that larger ones cannot use.
const SMALL_REQUEST_BYTES: usize = 128 * 1024;
/// Shares are counted in parts of this many.
const PARTS: usize = 64;
/// Shares of the most urgent requests.
const SMALL_PARTS: usize = 64;
const LARGE_PARTS: usize = 56;
/// Keeps the share of every small request above that of all large ones.
const MAX_SMALL_RANK: u8 = 7;
/// Less urgent large requests have the same share, and differ in the order in which they wait.
const MAX_LARGE_RANK: u8 = 4;
const LARGE_PARTS_PER_RANK: usize = 2;
/// Share of a large request while others hold almost nothing.
const LONE_PARTS: usize = 56;
const ALMOST_NOTHING_PARTS: usize = 4;
/// Unread bytes of a connection whose request waits.
const WAITING_BYTES: usize = 128 * 1024;
const WAITING_DIVISOR: usize = 16;

/// Bytes that requests in flight may hold, by rank and size.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct MemoryBounds {
    /// For all requests together.
    pub total: usize,
}

impl MemoryBounds {
    /// Bounds of a process with this much memory, of which a part is for caches. All in bytes.
    pub fn of_process(memory: usize, caches: usize) -> Self {
        let free = memory.saturating_sub(caches + PROCESS_BYTES);
        let total = free - free / MARGIN_DIVISOR;
        Self { total: total.max(memory / LEAST_DIVISOR) }
    }

    fn share(&self, parts: usize) -> usize {
        self.total / PARTS * parts
    }

    /// The total up to which a request may raise what all requests hold, itself included. `own` is what
    /// it would hold then, `others` what the others hold.
    pub fn limit(&self, rank: u8, own: usize, others: usize) -> usize {
        if own <= SMALL_REQUEST_BYTES {
            return self.share(SMALL_PARTS - usize::from(rank.min(MAX_SMALL_RANK)));
        }
        if others <= self.share(ALMOST_NOTHING_PARTS) {
            return self.share(LONE_PARTS);
        }
        self.share(LARGE_PARTS - LARGE_PARTS_PER_RANK * usize::from(rank.min(MAX_LARGE_RANK)))
    }

    pub fn is_small(&self, own: usize) -> bool {
        own <= SMALL_REQUEST_BYTES
    }

    /// The largest amount that a request of any rank gets once enough has been released.
    pub fn largest_request(&self) -> usize {
        self.share(LARGE_PARTS - LARGE_PARTS_PER_RANK * usize::from(MAX_LARGE_RANK))
    }

    /// The largest amount that any request gets.
    pub fn lone_limit(&self) -> usize {
        self.share(LONE_PARTS)
    }

    /// Requests that may wait at a time.
    pub fn max_waiting(&self) -> usize {
        (self.total / WAITING_DIVISOR / WAITING_BYTES).max(1)
    }
}
