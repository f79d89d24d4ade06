//! OpenTelemetry instruments with Prometheus text exposition.

use opentelemetry::KeyValue;
use opentelemetry::metrics::{Meter, MeterProvider};
use opentelemetry_sdk::Resource;
use opentelemetry_sdk::metrics::SdkMeterProvider;
use prometheus::{Encoder, Registry, TextEncoder};

#[derive(Debug)]
pub(crate) struct MeterExposition {
    registry: Registry,
    provider: SdkMeterProvider,
}

impl MeterExposition {
    pub(crate) fn new(instance: &str) -> Self {
        let registry = Registry::new();
        let exporter = opentelemetry_prometheus::exporter()
            .with_registry(registry.clone())
            .build()
            .expect("the registry is new and takes the exporter");
        let resource = Resource::builder_empty()
            .with_attribute(KeyValue::new("service.instance.id", instance.to_owned()))
            .build();
        let provider =
            SdkMeterProvider::builder().with_reader(exporter).with_resource(resource).build();
        Self { registry, provider }
    }

    pub(crate) fn meter(&self, scope: &'static str) -> Meter {
        self.provider.meter(scope)
    }

    pub(crate) fn text(&self) -> String {
        let mut text = Vec::new();
        let encoder = TextEncoder::new();
        encoder.encode(&self.registry.gather(), &mut text).expect("gathered metrics encode");
        String::from_utf8(text).expect("the text format is UTF-8")
    }
}
