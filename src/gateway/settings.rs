//! Settings of a gateway: JSON, read and checked before anything starts and again on SIGHUP.

use std::collections::BTreeSet;
use std::fs;
use std::path::Path;
use std::time::Duration;

use serde::Deserialize;

use crate::config::SettingsError;
use crate::core::quotas::QuotaBounds;

/// Everything a gateway learns from its settings file.
#[derive(Debug, Clone, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct GatewaySettings {
    /// Name of the instance; unique in the deployment.
    pub instance: Box<str>,
    pub zone: Box<str>,
    pub region: Box<str>,
    /// Where callers connect, `IP:port`.
    pub caller_address: Box<str>,
    /// Where the platform asks whether the instance is ready.
    pub ready_address: Box<str>,
    /// Where callers ask which instances to use.
    pub directory_address: Box<str>,
    /// Where other instances connect; also serves metrics at `/metrics`.
    pub peer_address: Box<str>,
    /// First of the ports free for traffic between instances; the failure detector's, UDP.
    pub gossip_port: u16,
    /// Peer addresses of a few instances; they may be stale.
    #[serde(default)]
    pub seeds: Vec<Box<str>>,
    /// Address of the platform's store.
    pub store_address: Box<str>,
    /// Largest value of a row, in bytes.
    pub store_row_bytes: usize,
    /// Whether the store supports transactions across partitions; no if absent.
    #[serde(default)]
    pub store_across_parts: Option<bool>,
    /// Memory this process may use, in megabytes.
    pub memory_mb: u64,
    /// Time from SIGTERM until the process is killed, in seconds.
    pub grace_seconds: f64,
    /// Longest time callers keep a list of addresses, in seconds.
    pub address_keep_seconds: f64,
    /// Whether callers' keys stop counting once they have not been confirmed for
    /// `revoke_millis`; no if absent.
    #[serde(default)]
    pub strict_revoke: Option<bool>,
    /// Longest time a key may count that was taken away.
    #[serde(default)]
    pub revoke_millis: Option<u64>,
    /// Window in which a workspace's requests are counted against its limit, in seconds.
    #[serde(default)]
    pub quota_window_seconds: Option<f64>,
    /// Part of a workspace's limit by which a window may exceed it; 0 if absent.
    #[serde(default)]
    pub quota_over: Option<f64>,
    /// Requests by which a window may exceed a limit besides; 0 if absent.
    #[serde(default)]
    pub quota_slack: Option<f64>,
    /// How limits are kept over all instances.
    #[serde(default)]
    pub quota_way: QuotaWay,
    /// Mechanisms to do without, to measure what they are worth; none in service.
    #[serde(default)]
    pub without: BTreeSet<GatewayMechanism>,
}

/// How a workspace's limit is kept over all instances.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum QuotaWay {
    /// One member counts for all.
    #[default]
    Limiter,
    /// Each instance has an equal part of the limit.
    Shares,
}

/// A mechanism that serves callers better and that no promise rests on.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum GatewayMechanism {
    /// New programs are turned away while engines have far more work than they can do.
    AdmissionGate,
    /// One instance of a zone claims, keeps and settles a program's turns for the others.
    Coordinators,
    /// One instance of many in a zone asks the store for news of routes and upstreams.
    NewsReaders,
    /// Callers are sent elsewhere while only peers reach the store.
    OfferWithdrawal,
    /// Turns wait for a store that is away as a whole.
    OutageWait,
    /// Writes refused for the store's rate wait for a later batch.
    RateHold,
    /// Peers make store calls for an instance that is cut off.
    Relays,
    /// Engines that leave requests without a word are avoided.
    SilenceAvoidance,
    /// Engines whose events come slowly are avoided.
    PaceAvoidance,
    /// A program's first request is held to what all of them are expected to need.
    ProgramQuota,
    /// Prompts go where their parts have been read.
    PromptPlacement,
}

/// Least a row must hold: a turn is cut into rows of this size.
const MIN_ROW_BYTES: usize = 1024;
/// Callers keep a list at most this long, some three times as long; a stop waits for that.
const WANTED_KEEP: Duration = Duration::from_secs(1);
/// Part of the memory for cached turns: chains are read again at the price of one store call, so
/// the cache stays small against the rest of the process.
const CACHE_SHARE: u64 = 10;
/// Part of the memory for bodies that are being received or sent.
const BODY_SHARE: u64 = 4;
/// Window of limits where the settings name none: what operators allow where they allow any.
const QUOTA_WINDOW: Duration = Duration::from_secs(5);
const MEGABYTE: u64 = 1024 * 1024;

impl GatewaySettings {
    /// Reads and checks a settings file.
    pub fn load(path: &Path) -> Result<Self, SettingsError> {
        Self::parse(&fs::read_to_string(path)?)
    }

    /// Parses and checks settings.
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
            if !(value > 0.0 && value < 3_600.0) {
                return Err(invalid(key, &value.to_string(), "above 0 and below 3600"));
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

    /// How old the keys known here may be; none where they count however old they are.
    pub(crate) fn strict_key_age(&self) -> Option<Duration> {
        let strict = self.strict_revoke.unwrap_or(false);
        self.revoke_millis.filter(|_| strict).map(Duration::from_millis)
    }

    /// How exactly limits must be kept.
    pub(crate) fn quota_bounds(&self) -> QuotaBounds {
        QuotaBounds {
            window: self.quota_window_seconds.map_or(QUOTA_WINDOW, Duration::from_secs_f64),
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

    /// The failure detector's address of the instance with this peer address.
    pub fn gossip_address(&self, peer: &str) -> Box<str> {
        let host = peer.rsplit_once(':').map_or(peer, |(host, _)| host);
        format!("{host}:{}", self.gossip_port).into()
    }

    /// Whether a mechanism is in use.
    pub(crate) fn uses(&self, mechanism: GatewayMechanism) -> bool {
        !self.without.contains(&mechanism)
    }

    pub fn grace(&self) -> Duration {
        Duration::from_secs_f64(self.grace_seconds)
    }

    /// How long callers are told to keep a list of addresses.
    pub fn address_keep(&self) -> Duration {
        WANTED_KEEP.min(Duration::from_secs_f64(self.address_keep_seconds))
    }

    pub fn cache_bytes(&self) -> usize {
        (self.memory_mb * MEGABYTE / CACHE_SHARE) as usize
    }

    pub fn body_bytes(&self) -> usize {
        (self.memory_mb * MEGABYTE / BODY_SHARE) as usize
    }
}

fn invalid(key: &str, value: &str, allowed: &'static str) -> SettingsError {
    SettingsError::Invalid { key: key.into(), value: value.into(), allowed }
}
