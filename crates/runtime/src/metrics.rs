use opentelemetry::metrics::Meter;
use opentelemetry::metrics::MeterProvider;
use opentelemetry_sdk::metrics::SdkMeterProvider;
use prometheus::Encoder;
use prometheus::Registry;
use prometheus::TextEncoder;

/// Metrics of a process, exported in the Prometheus text format.
#[derive(Debug, Clone)]
pub struct Metrics {
    registry: Registry,
    provider: SdkMeterProvider,
}

impl Metrics {
    /// Opens an empty metrics registry.
    ///
    /// # Errors
    ///
    /// Fails if the exporter can't be registered.
    pub fn open() -> anyhow::Result<Self> {
        let registry = Registry::new();
        let exporter = opentelemetry_prometheus::exporter().with_registry(registry.clone()).build()?;
        let provider = SdkMeterProvider::builder().with_reader(exporter).build();
        Ok(Self { registry, provider })
    }

    /// Returns the OpenTelemetry meter of an instrumentation scope, such as `gateway`.
    pub fn meter(&self, scope: &'static str) -> Meter {
        self.provider.meter(scope)
    }

    /// Renders all metrics in the Prometheus text format.
    pub fn render(&self) -> String {
        let mut out = Vec::new();
        match TextEncoder::new().encode(&self.registry.gather(), &mut out) {
            Ok(()) => String::from_utf8_lossy(&out).into_owned(),
            Err(err) => format!("# {err}\n"),
        }
    }
}
