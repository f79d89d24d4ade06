//! Settings of a gateway: a JSON file that is loaded at startup and again on SIGHUP.

use std::collections::BTreeSet;
use std::fs;
use std::path::Path;
use std::time::Duration;

use serde::{Deserialize, Deserializer};

use super::memory::CALL_BYTES;
use crate::config::SettingsError;
use crate::core::memory::MemoryBounds;
use crate::core::quotas::QuotaBounds;
use crate::gateway::turns::CHAIN_MEMORY_PER_CACHE;

#[derive(Debug, Clone, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct GatewaySettings {
    /// Unique in the deployment.
    pub instance: Box<str>,
    pub zone: Box<str>,
    pub region: Box<str>,
    /// Address for callers, `IP:port` like all addresses here.
    pub caller_address: Box<str>,
    /// Address of the platform's readiness probe.
    pub ready_address: Box<str>,
    /// Address at which callers look up instances.
    pub directory_address: Box<str>,
    /// Address for other instances; also serves `/metrics`.
    pub peer_address: Box<str>,
    /// UDP port of the failure detector.
    #[serde(deserialize_with = "whole_number")]
    pub gossip_port: u16,
    /// Peer addresses of a few instances, possibly stale.
    #[serde(default, deserialize_with = "list_or_null")]
    pub seeds: Vec<Box<str>>,
    pub store_address: Box<str>,
    /// Maximum size of a row's value, in bytes.
    #[serde(deserialize_with = "whole_number")]
    pub store_row_bytes: usize,
    /// True if the store supports transactions that span partitions.
    #[serde(default)]
    pub store_across_parts: Option<bool>,
    /// Memory beyond which the platform ends the process, in megabytes.
    #[serde(deserialize_with = "whole_number")]
    pub memory_mb: u64,
    /// Time from SIGTERM to SIGKILL; with 0, calls are cut off at once.
    pub grace_seconds: f64,
    /// Maximum TTL of an address list.
    pub address_keep_seconds: f64,
    /// Rejects API keys that have not been confirmed for `revoke_millis`.
    #[serde(default)]
    pub strict_revoke: Option<bool>,
    /// Maximum time for which a revoked key is still accepted.
    #[serde(default, deserialize_with = "whole_number_or_null")]
    pub revoke_millis: Option<u64>,
    #[serde(default)]
    pub quota_window_seconds: Option<f64>,
    /// Fraction by which a window may exceed the limit; 0 if absent.
    #[serde(default)]
    pub quota_over: Option<f64>,
    /// Requests by which a window may exceed the limit in addition; 0 if absent.
    #[serde(default)]
    pub quota_slack: Option<f64>,
    /// Quota mode; the field has the name of the setting.
    #[serde(default)]
    pub quota_way: QuotaMode,
    /// Mechanisms to disable, for comparisons; empty in production.
    #[serde(default)]
    pub without: BTreeSet<GatewayMechanism>,
}

/// How a workspace's limit is enforced over all instances.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum QuotaMode {
    /// One member counts the requests of all instances.
    #[default]
    Limiter,
    /// Each instance enforces an equal share of the limit.
    Shares,
}

/// Optional mechanism that improves service but that correctness does not depend on.
///
/// The names of the variants are setting values.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum GatewayMechanism {
    /// Rejects new programs while engines are overloaded.
    AdmissionGate,
    /// One instance of a zone claims, stores and settles a program's turns for the others.
    Coordinators,
    /// One instance of a zone reads the change feed of the store and passes it on to the others.
    NewsReaders,
    /// Withdraws the advertised readiness while the store is reachable only through peers.
    OfferWithdrawal,
    /// Turns wait during an outage of the whole store.
    OutageWait,
    /// Writes that the store rejects for their rate wait for a later batch.
    RateHold,
    /// Peers relay store calls of an instance that cannot reach the store.
    Relays,
    /// Avoids engines that do not respond.
    SilenceAvoidance,
    /// Avoids engines whose events arrive slowly.
    PaceAvoidance,
    /// Limits a program's first request by the expected requests of the program.
    ProgramQuota,
    /// Prefers engines that have processed the same prompt blocks.
    PromptPlacement,
    /// Counts the requests of all instances at engines with fewer slots than instances.
    SharedLoad,
    /// Chooses engines by shared load and learned speeds.
    LoadPlacement,
    /// Admits programs by the expected wait at the engines.
    ProgramAdmission,
    /// Rejects turns that would start too late.
    StartDeadline,
    /// Bounds the attempts at further upstreams by recent successes.
    RetryBudget,
    /// Avoids upstreams that other instances report as failed.
    SharedFailures,
}

/// Turns are split into rows of the configured size.
const MIN_ROW_BYTES: usize = 1024;
/// Kept short because a graceful shutdown waits until address lists have expired.
const MAX_ADDRESS_TTL: Duration = Duration::from_secs(1);
/// Divides the memory limit to give the size of the turn cache, which can be small since a miss
/// costs one store call.
const CACHE_DIVISOR: u64 = 10;
/// Divides the memory limit to give the maximum size of one body.
const BODY_DIVISOR: u64 = 4;
const DEFAULT_QUOTA_WINDOW: Duration = Duration::from_secs(5);
const MEGABYTE: u64 = 1024 * 1024;

impl GatewaySettings {
    pub fn load(path: &Path) -> Result<Self, SettingsError> {
        Self::parse(&fs::read_to_string(path)?)
    }

    pub fn parse(text: &str) -> Result<Self, SettingsError> {
        let settings: Self = serde_json::from_str(text)?;
        settings.check()?;
        Ok(settings)
    }

    fn check(&self) -> Result<(), SettingsError> {
        for (key, address) in self.addresses() {
            if address.parse::<std::net::SocketAddr>().is_err() {
                return Err(invalid(key, address, "an IP and a port, as in 10.0.0.1:80"));
            }
        }
        if self.instance.is_empty() {
            return Err(invalid("instance", "", "a name"));
        }
        if self.store_row_bytes < MIN_ROW_BYTES {
            let value = self.store_row_bytes.to_string();
            return Err(invalid("store_row_bytes", &value, "at least 1024"));
        }
        if self.memory_mb == 0 {
            return Err(invalid("memory_mb", "0", "at least 1"));
        }
        let seconds = [
            ("grace_seconds", self.grace_seconds),
            ("address_keep_seconds", self.address_keep_seconds),
        ];
        for (key, value) in seconds {
            if !(0.0..3_600.0).contains(&value) {
                return Err(invalid(key, &value.to_string(), "0 or more and below 3600"));
            }
        }
        let window = self.quota_window_seconds;
        if let Some(value) = window.filter(|value| !(*value > 0.0 && *value < 3_600.0)) {
            return Err(invalid(
                "quota_window_seconds",
                &value.to_string(),
                "above 0 and below 3600",
            ));
        }
        let margins = [("quota_over", self.quota_over), ("quota_slack", self.quota_slack)];
        for (key, value) in margins {
            if let Some(value) = value.filter(|value| !(*value >= 0.0 && value.is_finite())) {
                return Err(invalid(key, &value.to_string(), "0 or more"));
            }
        }
        if self.strict_revoke == Some(true) && self.revoke_millis.is_none() {
            return Err(invalid("revoke_millis", "", "set where strict_revoke is true"));
        }
        Ok(())
    }

    /// Maximum age of the last confirmation of a key; none if keys do not expire.
    pub(crate) fn strict_key_age(&self) -> Option<Duration> {
        let strict = self.strict_revoke.unwrap_or(false);
        self.revoke_millis.filter(|_| strict).map(Duration::from_millis)
    }

    pub(crate) fn quota_bounds(&self) -> QuotaBounds {
        QuotaBounds {
            window: self.quota_window_seconds.map_or(DEFAULT_QUOTA_WINDOW, Duration::from_secs_f64),
            over: self.quota_over.unwrap_or(0.0),
            slack: self.quota_slack.unwrap_or(0.0),
        }
    }

    fn addresses(&self) -> [(&'static str, &str); 5] {
        [
            ("caller_address", &self.caller_address),
            ("ready_address", &self.ready_address),
            ("directory_address", &self.directory_address),
            ("peer_address", &self.peer_address),
            ("store_address", &self.store_address),
        ]
    }

    /// Address of the failure detector of the instance with this peer address.
    pub fn gossip_address(&self, peer: &str) -> Box<str> {
        let host = peer.rsplit_once(':').map_or(peer, |(host, _)| host);
        format!("{host}:{}", self.gossip_port).into()
    }

    pub(crate) fn uses(&self, mechanism: GatewayMechanism) -> bool {
        !self.without.contains(&mechanism)
    }

    pub fn grace(&self) -> Duration {
        Duration::from_secs_f64(self.grace_seconds)
    }

    pub fn address_ttl(&self) -> Duration {
        MAX_ADDRESS_TTL.min(Duration::from_secs_f64(self.address_keep_seconds))
    }

    pub(crate) fn memory_bytes(&self) -> u64 {
        self.memory_mb.saturating_mul(MEGABYTE)
    }

    pub fn cache_bytes(&self) -> usize {
        (self.memory_mb * MEGABYTE / CACHE_DIVISOR) as usize
    }

    /// Bounds on the memory of requests in flight.
    pub fn memory_bounds(&self) -> MemoryBounds {
        let caches = self.cache_bytes() * (1 + CHAIN_MEMORY_PER_CACHE);
        MemoryBounds::of_process((self.memory_mb * MEGABYTE) as usize, caches)
    }

    /// Maximum size of one body, which a request of any rank gets in the end.
    pub fn body_bytes(&self) -> usize {
        let largest = self.memory_bounds().largest_request().saturating_sub(CALL_BYTES);
        largest.min((self.memory_mb * MEGABYTE / BODY_DIVISOR) as usize)
    }
}

/// Fractions are cut off: writers differ in whether they write 130 or 130.0.
fn to_whole<T: TryFrom<u64>, E: serde::de::Error>(number: f64) -> Result<T, E> {
    let is_in_range = number >= 0.0 && number < u64::MAX as f64;
    let whole = is_in_range.then(|| T::try_from(number as u64).ok()).flatten();
    whole.ok_or_else(|| E::custom(format!("{number} is not in the range of this setting")))
}

fn whole_number<'de, D, T>(deserializer: D) -> Result<T, D::Error>
where
    D: Deserializer<'de>,
    T: TryFrom<u64>,
{
    to_whole(f64::deserialize(deserializer)?)
}

fn whole_number_or_null<'de, D, T>(deserializer: D) -> Result<Option<T>, D::Error>
where
    D: Deserializer<'de>,
    T: TryFrom<u64>,
{
    Option::<f64>::deserialize(deserializer)?.map(to_whole).transpose()
}

/// A template writes `null` for what the platform does not name.
fn list_or_null<'de, D: Deserializer<'de>>(deserializer: D) -> Result<Vec<Box<str>>, D::Error> {
    Ok(Option::deserialize(deserializer)?.unwrap_or_default())
}

fn invalid(key: &str, value: &str, allowed: &'static str) -> SettingsError {
    SettingsError::Invalid { key: key.into(), value: value.into(), allowed }
}
