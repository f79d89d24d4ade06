//! Identifies the work of a request over all attempts of its caller.

use std::num::ParseIntError;
use std::str::FromStr;

use derive_more::Display;
use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::Xxh3;

/// Hash of what a request asks for. A caller that tries again sends another request id and less time,
/// but the same fingerprint.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize, Display,
)]
#[display("{_0:032x}")]
pub struct RequestFingerprint(u128);

/// The parts of a request that stay the same when its caller sends it again.
#[derive(Debug, Clone, Copy)]
pub struct FingerprintFields<'a> {
    pub workspace: Option<&'a str>,
    pub program: Option<&'a str>,
    pub branch: Option<&'a str>,
    /// The turn that this one continues.
    pub previous: Option<&'a str>,
    pub affinity: Option<&'a str>,
    pub method: &'a str,
    pub host: &'a str,
    pub target: &'a str,
    /// As the caller sent it.
    pub body: &'a [u8],
}

impl RequestFingerprint {
    pub fn of(fields: &FingerprintFields<'_>) -> Self {
        let mut hasher = Xxh3::new();
        let names =
            [fields.workspace, fields.program, fields.branch, fields.previous, fields.affinity];
        let texts = [fields.method, fields.host, fields.target].map(Some);
        for text in names.into_iter().chain(texts) {
            // The length keeps neighbouring fields apart; no text is as long as the mark of a missing one.
            hasher.update(&text.map_or(u64::MAX, |text| text.len() as u64).to_le_bytes());
            hasher.update(text.unwrap_or_default().as_bytes());
        }
        hasher.update(fields.body);
        Self(hasher.digest128())
    }
}

impl FromStr for RequestFingerprint {
    type Err = ParseIntError;

    fn from_str(text: &str) -> Result<Self, ParseIntError> {
        u128::from_str_radix(text, 16).map(Self)
    }
}
