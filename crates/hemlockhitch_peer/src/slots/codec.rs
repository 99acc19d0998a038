//! Conversion of grants and releases to and from peer messages.

use hemlockhitch_model::{EndpointName, Now};

use super::{Grant, SlotReport};
use crate::member::NodeId;
use crate::wire;

impl Grant {
    pub(crate) fn to_wire(&self, now: Now) -> wire::Grant {
        wire::Grant {
            grant_id: self.grant_id,
            node_id: self.node.0,
            endpoint: self.endpoint.to_string(),
            slots: self.slots,
            expires_in_ms: self.expires_mono_ms.saturating_sub(now.mono_ms),
            share: self.share,
        }
    }

    pub(crate) fn from_wire(message: wire::Grant, now: Now) -> Self {
        Self {
            node: NodeId(message.node_id),
            grant_id: message.grant_id,
            endpoint: message.endpoint.into(),
            slots: message.slots,
            expires_mono_ms: now.mono_ms.saturating_add(message.expires_in_ms),
            share: message.share,
        }
    }
}

/// Builds the message that releases slots of a grant and carries the report, if
/// any.
pub(crate) fn release_to_wire(
    grant_id: u64,
    endpoint: &EndpointName,
    slots: u32,
    report: Option<SlotReport>,
) -> wire::Release {
    let (report, first_token_ms) = match report {
        None => (wire::Report::Unused, 0),
        Some(SlotReport::Served { first_token_ms }) => (wire::Report::Served, first_token_ms),
        Some(SlotReport::Refused) => (wire::Report::Refused, 0),
        Some(SlotReport::Failed) => (wire::Report::Failed, 0),
    };
    wire::Release {
        grant_id,
        endpoint: endpoint.to_string(),
        slots,
        report: report.into(),
        first_token_ms,
    }
}

/// Returns the report in a release message, if any.
pub(crate) fn report_from_wire(release: &wire::Release) -> Option<SlotReport> {
    match release.report() {
        wire::Report::Served => Some(SlotReport::Served {
            first_token_ms: release.first_token_ms,
        }),
        wire::Report::Refused => Some(SlotReport::Refused),
        wire::Report::Failed => Some(SlotReport::Failed),
        wire::Report::Unused | wire::Report::Unspecified => None,
    }
}
