//! Checks the values of settings that have been parsed.

use std::net::SocketAddr;

use super::{NodeSettings, SettingsError};

const MAX_SHARDS: u16 = 16_384;
const ADDRESS_FORMAT: &str = "an IP address and a port, such as 10.0.0.1:7000";
const POSITIVE: &str = "at least 1";

impl NodeSettings {
    pub(super) fn check(&self) -> Result<(), SettingsError> {
        self.check_names()?;
        self.check_addresses()?;
        self.check_upstreams()?;
        self.check_limits()
    }

    fn check_names(&self) -> Result<(), SettingsError> {
        let is_name = |text: &str| !text.is_empty() && !text.contains(char::is_whitespace);
        require("instance", &self.instance, is_name(&self.instance), "a name without spaces")?;
        require("zone", &self.zone, is_name(&self.zone), "the name of a zone")?;
        let shards = (1..=MAX_SHARDS).contains(&self.shards);
        require("shards", self.shards, shards, "1 to 16384")
    }

    fn check_addresses(&self) -> Result<(), SettingsError> {
        let addresses = [
            ("http_address", &self.http_address),
            ("rpc_address", &self.rpc_address),
            ("gossip_address", &self.gossip_address),
            ("platform_address", &self.platform_address),
        ];
        for (key, address) in addresses {
            require(key, address, address.parse::<SocketAddr>().is_ok(), ADDRESS_FORMAT)?;
        }
        Ok(())
    }

    fn check_upstreams(&self) -> Result<(), SettingsError> {
        for (index, model) in self.models.iter().enumerate() {
            let key = |name: &str| format!("models[{index}].{name}");
            require(key("model"), &model.model, !model.model.is_empty(), "a name")?;
            require(key("slots"), model.slots, model.slots > 0, POSITIVE)?;
            require(key("cache_tokens"), model.cache_tokens, model.cache_tokens > 0, POSITIVE)?;
            let bytes = model.min_bytes_per_token;
            require(key("min_bytes_per_token"), bytes, bytes > 0, POSITIVE)?;
        }
        for (index, service) in self.services.iter().enumerate() {
            let key = |name: &str| format!("services[{index}].{name}");
            require(key("service"), &service.service, !service.service.is_empty(), "a name")?;
            require(key("timeout_ms"), service.timeout_ms, service.timeout_ms > 0, POSITIVE)?;
        }
        Ok(())
    }

    fn check_limits(&self) -> Result<(), SettingsError> {
        let limits = &self.limits;
        let positive: [(&str, u64); 11] = [
            ("limits.store_writes_per_second", limits.store_writes_per_second.into()),
            ("limits.checkpoint_seconds", limits.checkpoint_seconds.into()),
            ("limits.budget_slice_tokens", limits.budget_slice_tokens),
            ("limits.budget_idle_ms", limits.budget_idle_ms),
            ("limits.call_deadline_ms", limits.call_deadline_ms),
            ("limits.stream_stall_ms", limits.stream_stall_ms),
            ("limits.config_bound_ms", limits.config_bound_ms),
            ("limits.address_keep_seconds", limits.address_keep_seconds.into()),
            ("limits.max_body_bytes", limits.max_body_bytes as u64),
            ("limits.commit_hold_ms", limits.commit_hold_ms),
            ("limits.store_bound_ms", limits.store_bound_ms),
        ];
        for (key, value) in positive {
            require(key, value, value > 0, POSITIVE)?;
        }
        Ok(())
    }
}

fn require(
    key: impl Into<String>,
    value: impl ToString,
    valid: bool,
    allowed: &'static str,
) -> Result<(), SettingsError> {
    if valid {
        return Ok(());
    }
    let (key, value) = (key.into().into(), value.to_string().into());
    Err(SettingsError::Invalid { key, value, allowed })
}
