//! Route that serves the metrics in the Prometheus text format.

use std::sync::OnceLock;

use metrics_exporter_prometheus::{Matcher, PrometheusBuilder, PrometheusHandle};
use salvo::{Depot, FlowCtrl, Handler, Request, Response, Router, async_trait};

/// Upper bounds of the histogram buckets, in milliseconds.
const BUCKETS_MS: [f64; 14] = [
    1.0, 2.0, 5.0, 10.0, 25.0, 50.0, 100.0, 250.0, 490.0, 1_000.0, 2_500.0, 5_000.0, 15_000.0,
    60_000.0,
];

/// Process-wide metrics recorder; `None` if it could not be installed.
static RECORDER: OnceLock<Option<PrometheusHandle>> = OnceLock::new();

/// Builds the `/metrics` route; all nodes of a process share one recorder.
pub(crate) fn routes() -> Router {
    let recorder = RECORDER.get_or_init(install).clone();
    Router::with_path("metrics").get(MetricsHandler { recorder })
}

fn install() -> Option<PrometheusHandle> {
    let suffix = Matcher::Suffix("_ms".to_owned());
    let builder = PrometheusBuilder::new().set_buckets_for_metric(suffix, &BUCKETS_MS);
    builder.ok()?.install_recorder().ok()
}

struct MetricsHandler {
    recorder: Option<PrometheusHandle>,
}

#[async_trait]
impl Handler for MetricsHandler {
    async fn handle(
        &self,
        _request: &mut Request,
        _depot: &mut Depot,
        response: &mut Response,
        _flow: &mut FlowCtrl,
    ) {
        let page = self.recorder.as_ref().map(PrometheusHandle::render);
        response.render(page.unwrap_or_default());
    }
}
