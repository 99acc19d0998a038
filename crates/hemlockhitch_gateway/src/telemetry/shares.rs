//! Gauges and log lines on the shares of services by organisation.

use hemlockhitch_model::{Clock, Now};

use crate::dialect::Dialect;
use crate::state::NodeContext;

/// Counts a request that was refused because its organisation has its share.
pub(crate) fn count_share_refused(organisation: String) {
    metrics::counter!("gateway_share_refused", "organisation" => organisation).increment(1);
}

/// Updates the gauges of demand and share, and logs the organisations that were limited
/// since the last time.
pub(super) fn report_shares<D: Dialect, C: Clock>(node_context: &NodeContext<D, C>, now: Now) {
    if !node_context.settings().shares {
        return;
    }
    let mut state = node_context.state();
    let overview = state.fair_shares.overview(now);
    let labels = &mut state.organisation_labels;
    let overview = overview.into_iter().map(|(service, organisation, share)| {
        let label = labels.label(organisation.as_ref());
        (service, label, share)
    });
    let overview: Vec<_> = overview.collect();
    drop(state);
    for (service, organisation, share) in overview {
        if share.own_refused > 0 {
            tracing::info!(
                event = "HH1267",
                %service,
                organisation,
                demand_per_s = share.demand_per_s,
                share_per_s = share.share_per_s,
                served_here_per_s = share.own_served_per_s,
                refused = share.own_refused,
                "organisation limited to its share"
            );
        }
        let gauges = [
            ("gateway_share_demand_per_s", share.demand_per_s),
            ("gateway_share_per_s", share.share_per_s),
        ];
        for (name, per_s) in gauges {
            metrics::gauge!(
                name,
                "service" => service.to_string(),
                "organisation" => organisation.clone()
            )
            .set(per_s);
        }
    }
}
