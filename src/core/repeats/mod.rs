//! Bounds how often the same work is sent to upstreams that do not survive it.

mod fingerprint;

pub use fingerprint::{FingerprintFields, RequestFingerprint};
