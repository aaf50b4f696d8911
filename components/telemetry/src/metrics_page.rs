use std::sync::OnceLock;

use anyhow::Context;
use metrics_exporter_prometheus::{PrometheusBuilder, PrometheusHandle};

/// The metrics of this process in the Prometheus text format.
pub struct MetricsPage {
    handle: PrometheusHandle,
}

impl MetricsPage {
    /// Installs the metrics recorder of this process; an error if there is one.
    pub fn install() -> anyhow::Result<Self> {
        let handle = PrometheusBuilder::new()
            .install_recorder()
            .context("metrics: a recorder is already installed")?;
        Ok(MetricsPage { handle })
    }

    /// Installs the recorder and returns a function that renders the page.
    pub fn shared() -> anyhow::Result<fn() -> String> {
        static PAGE: OnceLock<MetricsPage> = OnceLock::new();
        if PAGE.set(Self::install()?).is_err() {
            anyhow::bail!("metrics: a recorder is already installed");
        }
        Ok(|| PAGE.get().map(MetricsPage::render).unwrap_or_default())
    }

    /// Renders the page, with the traffic counters up to date.
    pub fn render(&self) -> String {
        self.handle.run_upkeep();
        let traffic = wire::traffic();
        metrics::counter!("turmerichold_wire_sent_bytes_total").absolute(traffic.sent);
        metrics::counter!("turmerichold_wire_received_bytes_total").absolute(traffic.received);
        self.handle.render()
    }
}
