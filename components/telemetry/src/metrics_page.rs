use anyhow::Context;
use metrics_exporter_prometheus::{PrometheusBuilder, PrometheusHandle};

/// The metrics of this process in the Prometheus text format.
pub struct MetricsPage {
    handle: PrometheusHandle,
}

impl MetricsPage {
    /// Installs the recorder of this process.
    pub fn install() -> anyhow::Result<Self> {
        let handle = PrometheusBuilder::new()
            .install_recorder()
            .context("metrics: a recorder is already installed")?;
        Ok(MetricsPage { handle })
    }

    /// The page as scrapers read it.
    pub fn render(&self) -> String {
        self.handle.run_upkeep();
        self.handle.render()
    }
}
