//! Metrics through `opentelemetry`, exported in the Prometheus text format.

use hibiscusbarrow_model::event::Event;
use opentelemetry::KeyValue;
use opentelemetry::metrics::Counter;
use opentelemetry::metrics::Gauge;
use opentelemetry::metrics::Histogram;
use opentelemetry::metrics::MeterProvider;
use opentelemetry_sdk::metrics::SdkMeterProvider;
use prometheus::Encoder;
use prometheus::Registry;
use prometheus::TextEncoder;
use std::cell::RefCell;
use std::time::Duration;

/// The bucket boundaries of `step_seconds`, in seconds: from the duration of a call
/// on one machine to the expiry of a lease.
const STEP_BOUNDARIES: [f64; 12] = [
    0.001, 0.003, 0.01, 0.03, 0.1, 0.3, 1.0, 2.0, 3.0, 5.0, 10.0, 30.0,
];

/// The counters, gauges and histograms of a process.
pub struct Metrics {
    registry: Registry,
    _provider: SdkMeterProvider,
    requests: Counter<u64>,
    latency: Histogram<f64>,
    store_calls: Counter<u64>,
    control_bytes: Counter<u64>,
    gauges: Gauge<u64>,
    decisions: Counter<u64>,
    steps: Histogram<f64>,
    clients_refused: Counter<u64>,
    clients_closed: Counter<u64>,
    client_levels: Gauge<u64>,
    observers: RefCell<Vec<Observer>>,
}

/// A function that sets gauges when the metrics are read.
type Observer = Box<dyn Fn(&Metrics)>;

impl Metrics {
    /// Creates the metrics and registers them with a Prometheus exporter.
    ///
    /// # Errors
    ///
    /// Fails if the exporter cannot be registered.
    pub fn new() -> anyhow::Result<Self> {
        let registry = Registry::new();
        let exporter = opentelemetry_prometheus::exporter()
            .with_registry(registry.clone())
            .without_target_info()
            .build()?;
        let provider = SdkMeterProvider::builder().with_reader(exporter).build();
        let meter = provider.meter("hibiscusbarrow");
        Ok(Self {
            registry,
            requests: meter.u64_counter("requests").build(),
            latency: meter.f64_histogram("request_seconds").build(),
            store_calls: meter.u64_counter("store_calls").build(),
            control_bytes: meter.u64_counter("control_bytes").build(),
            gauges: meter.u64_gauge("level").build(),
            decisions: meter.u64_counter("decisions").build(),
            steps: meter
                .f64_histogram("step_seconds")
                .with_boundaries(STEP_BOUNDARIES.to_vec())
                .build(),
            clients_refused: meter.u64_counter("clients_refused").build(),
            clients_closed: meter.u64_counter("clients_closed").build(),
            client_levels: meter.u64_gauge("client_level").build(),
            observers: RefCell::default(),
            _provider: provider,
        })
    }

    /// Counts a completed request by its result code and records its duration.
    pub fn record_request(&self, code: u16, elapsed: Duration) {
        let code = [KeyValue::new("code", i64::from(code))];
        self.requests.add(1, &code);
        self.latency.record(elapsed.as_secs_f64(), &[]);
    }

    /// Counts a call to the key-value service by its kind.
    pub fn count_store_call(&self, kind: &'static str) {
        self.store_calls.add(1, &[KeyValue::new("kind", kind)]);
    }

    /// Counts bytes of gossip and configuration traffic by their kind.
    pub fn count_control_bytes(&self, kind: &'static str, bytes: usize) {
        self.control_bytes
            .add(bytes as u64, &[KeyValue::new("kind", kind)]);
    }

    /// Counts a decision, a refusal or a loss that the placer reports, by its event.
    pub fn count_decision(&self, event: Event) {
        let event = [KeyValue::new("event", i64::from(event.number()))];
        self.decisions.add(1, &event);
    }

    /// Records the duration of a store call, an order to a worker or another step in the
    /// processing of a job.
    pub fn record_step(&self, kind: &'static str, elapsed: Duration) {
        let kind = [KeyValue::new("kind", kind)];
        self.steps.record(elapsed.as_secs_f64(), &kind);
    }

    /// Sets a gauge, such as the number of members or the configuration generation.
    pub fn set_gauge(&self, name: &'static str, value: u64) {
        self.gauges.record(value, &[KeyValue::new("name", name)]);
    }

    /// Counts a client's request that was refused because of a limit, by its cause.
    pub fn count_client_refused(&self, cause: &'static str) {
        self.clients_refused
            .add(1, &[KeyValue::new("cause", cause)]);
    }

    /// Counts a client's connection that was closed because of a limit, by its cause.
    pub fn count_client_closed(&self, cause: &'static str) {
        self.clients_closed.add(1, &[KeyValue::new("cause", cause)]);
    }

    /// Sets a gauge of the budget for clients: a limit or what a class of clients holds.
    pub fn set_client_level(&self, class: &'static str, name: &'static str, value: u64) {
        let labels = [KeyValue::new("class", class), KeyValue::new("name", name)];
        self.client_levels.record(value, &labels);
    }

    /// Registers a function that sets gauges each time the metrics are read.
    pub fn add_observer(&self, observer: impl Fn(&Self) + 'static) {
        self.observers.borrow_mut().push(Box::new(observer));
    }

    /// Returns all metrics in the Prometheus text format.
    pub fn render(&self) -> Vec<u8> {
        for observer in self.observers.borrow().iter() {
            observer(self);
        }
        let mut text = Vec::new();
        let families = self.registry.gather();
        let _ = TextEncoder::new().encode(&families, &mut text);
        text
    }
}
