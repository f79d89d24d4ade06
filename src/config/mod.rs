//! Settings of one instance, read from JSON and checked before the instance starts.

mod check;

use std::fs;
use std::path::Path;
use std::time::Duration;

use derive_more::{Display, Error, From};
use serde::Deserialize;

use crate::core::ids::{ShardId, Tokens};

#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct NodeSettings {
    /// Unique, and the same after a restart.
    pub instance: Box<str>,
    pub zone: Box<str>,
    /// Address for callers, `IP:port`.
    pub http_address: Box<str>,
    /// Address for operators and other instances.
    pub rpc_address: Box<str>,
    /// UDP address of the failure detector.
    pub gossip_address: Box<str>,
    /// Address of the platform's service: table, objects and roster.
    pub platform_address: Box<str>,
    /// Must be the same on every instance and must never change.
    #[serde(default = "default_shards")]
    pub shards: ShardId,
    #[serde(default)]
    pub models: Vec<ModelSettings>,
    #[serde(default)]
    pub services: Vec<ServiceSettings>,
    #[serde(default)]
    pub limits: LimitSettings,
}

/// Properties shared by all engines of one model.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ModelSettings {
    pub model: Box<str>,
    /// Calls that an engine runs concurrently.
    pub slots: usize,
    /// Capacity of an engine's prefix cache.
    pub cache_tokens: Tokens,
    pub prefill_micros_per_token: u32,
    /// Lower bound over all tokens of the model's tokenizer; 1 is always safe.
    #[serde(default = "default_bytes_per_token")]
    pub min_bytes_per_token: u32,
    /// Engines refuse orders with an outdated fencing number.
    #[serde(default)]
    pub checks_fencing: bool,
}

#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ServiceSettings {
    pub service: Box<str>,
    /// Time without an answer after which the service counts as hung.
    #[serde(default = "default_service_timeout_ms")]
    pub timeout_ms: u64,
}

#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct LimitSettings {
    /// Bounds the table and object writes of this instance.
    pub store_writes_per_second: u32,
    pub checkpoint_seconds: u32,
    /// Tokens requested from a budget in addition to the demand of waiting calls.
    pub budget_slice_tokens: Tokens,
    /// Tokens that a crash may make unusable in addition to those of running calls.
    pub budget_headroom_tokens: Tokens,
    /// Idle time after which a grant is returned to its budget.
    pub budget_idle_ms: u64,
    /// Maximum difference between the clocks of two instances, or drift of one during a lease.
    pub clock_error_ms: u64,
    /// Delay after each order to an engine to load from the weight store.
    pub engine_load_pause_ms: u64,
    /// Default for calls whose request names no deadline; bounds the wait for an engine.
    pub call_deadline_ms: u64,
    /// Time without a token after which a stream is resumed on another engine.
    pub stream_stall_ms: u64,
    /// Time since the configuration was last confirmed after which new work is refused.
    pub config_bound_ms: u64,
    /// Time for which callers may cache the list of addresses.
    pub address_keep_seconds: u32,
    /// Time for which the last answers of an ended program can be fetched.
    pub retention_seconds: u32,
    /// Applies to requests of callers.
    pub max_body_bytes: usize,
    /// Time that a finished call waits for its commit before the caller is told to retry.
    pub commit_hold_ms: u64,
    /// Time without an answer from the platform's table after which new calls are refused.
    pub store_bound_ms: u64,
}

impl Default for LimitSettings {
    fn default() -> Self {
        Self {
            store_writes_per_second: 28,
            checkpoint_seconds: 30,
            budget_slice_tokens: 50_000,
            budget_headroom_tokens: 5_000,
            budget_idle_ms: 5_000,
            clock_error_ms: 1_000,
            engine_load_pause_ms: 1_000,
            call_deadline_ms: 30_000,
            stream_stall_ms: 5_000,
            config_bound_ms: 3_000,
            address_keep_seconds: 10,
            retention_seconds: 600,
            max_body_bytes: 4 * 1024 * 1024,
            commit_hold_ms: 10_000,
            store_bound_ms: 2_000,
        }
    }
}

impl LimitSettings {
    pub fn checkpoint_interval(&self) -> Duration {
        Duration::from_secs(self.checkpoint_seconds.into())
    }

    pub fn budget_idle_timeout(&self) -> Duration {
        Duration::from_millis(self.budget_idle_ms)
    }

    pub fn max_clock_error(&self) -> Duration {
        Duration::from_millis(self.clock_error_ms)
    }

    pub fn engine_load_delay(&self) -> Duration {
        Duration::from_millis(self.engine_load_pause_ms)
    }

    pub fn call_deadline(&self) -> Duration {
        Duration::from_millis(self.call_deadline_ms)
    }

    pub fn stream_stall_timeout(&self) -> Duration {
        Duration::from_millis(self.stream_stall_ms)
    }

    pub fn max_config_age(&self) -> Duration {
        Duration::from_millis(self.config_bound_ms)
    }

    pub fn address_lifetime(&self) -> Duration {
        Duration::from_secs(self.address_keep_seconds.into())
    }

    pub fn retention(&self) -> Duration {
        Duration::from_secs(self.retention_seconds.into())
    }

    pub fn store_outage_timeout(&self) -> Duration {
        Duration::from_millis(self.store_bound_ms)
    }

    pub fn commit_timeout(&self) -> Duration {
        Duration::from_millis(self.commit_hold_ms)
    }

    /// Minimum time between journal commits that stays within the write rate.
    pub fn commit_interval(&self) -> Duration {
        Duration::from_secs(1) / self.store_writes_per_second
    }
}

fn default_shards() -> ShardId {
    1024
}

fn default_bytes_per_token() -> u32 {
    1
}

fn default_service_timeout_ms() -> u64 {
    10_000
}

#[derive(Debug, Display, Error, From)]
pub enum SettingsError {
    #[display("cannot read the settings: {_0}")]
    Unreadable(std::io::Error),
    #[display("the settings are not valid: {_0}")]
    Malformed(serde_json::Error),
    #[display("{key} is '{value}', but must be {allowed}")]
    #[from(skip)]
    Invalid { key: Box<str>, value: Box<str>, allowed: &'static str },
}

impl SettingsError {
    /// The file is absent or ends early, as one that is still being written.
    pub(crate) fn is_incomplete(&self) -> bool {
        match self {
            Self::Unreadable(error) => error.kind() == std::io::ErrorKind::NotFound,
            Self::Malformed(error) => error.is_eof(),
            Self::Invalid { .. } => false,
        }
    }
}

impl NodeSettings {
    pub fn load(path: &Path) -> Result<Self, SettingsError> {
        Self::parse(&fs::read_to_string(path)?)
    }

    pub fn parse(text: &str) -> Result<Self, SettingsError> {
        let settings: Self = serde_json::from_str(text)?;
        settings.check()?;
        Ok(settings)
    }

    pub fn model(&self, model: &str) -> Option<&ModelSettings> {
        self.models.iter().find(|settings| &*settings.model == model)
    }

    pub fn service(&self, service: &str) -> Option<&ServiceSettings> {
        self.services.iter().find(|settings| &*settings.service == service)
    }
}
