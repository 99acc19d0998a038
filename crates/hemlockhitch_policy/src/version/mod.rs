//! Choice of the version for a new session.

use hemlockhitch_config::RoutingTable;
use hemlockhitch_config::table::AllowedVersion;
use hemlockhitch_model::{ModelKey, OrganisationKey, VersionKey};
use thiserror::Error;

/// No version can serve the session.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Error)]
pub enum VersionRefusal {
    /// The organisation may use no version of the model.
    #[error("the organisation may use no version of this model; ask its operator to allow one")]
    NotAllowed,
    /// Every version that the organisation may use was withdrawn.
    #[error("every allowed version of this model is withdrawn; ask for another model")]
    Withdrawn,
}

/// Chooses the version of `model` for a new session.
///
/// `session_hash` spreads sessions over the shares; the same hash under the
/// same shares gives the same version.
///
/// # Errors
///
/// Fails when no version is both allowed and in service.
pub fn choose_version(
    table: &RoutingTable,
    organisation: OrganisationKey,
    model: ModelKey,
    session_hash: u64,
) -> Result<VersionKey, VersionRefusal> {
    let allowed = table.organisations[organisation]
        .allowed
        .get(&model)
        .ok_or(VersionRefusal::NotAllowed)?;
    let live: Vec<AllowedVersion> = allowed
        .iter()
        .copied()
        .filter(|entry| !table.versions[entry.version].row.withdrawn)
        .collect();
    pick_by_share(&live, session_hash).ok_or(VersionRefusal::Withdrawn)
}

/// Checks that a version may serve the next request of an existing session.
///
/// # Errors
///
/// Fails when the version was withdrawn or is no longer allowed.
pub fn check_version(
    table: &RoutingTable,
    organisation: OrganisationKey,
    version: VersionKey,
) -> Result<(), VersionRefusal> {
    let entry = &table.versions[version];
    let allowed = table.organisations[organisation]
        .allowed
        .get(&entry.model)
        .is_some_and(|allowed| allowed.iter().any(|allowed| allowed.version == version));
    if !allowed {
        return Err(VersionRefusal::NotAllowed);
    }
    if entry.row.withdrawn {
        return Err(VersionRefusal::Withdrawn);
    }
    Ok(())
}

fn pick_by_share(live: &[AllowedVersion], session_hash: u64) -> Option<VersionKey> {
    let total_percent: f64 = live.iter().map(|entry| entry.share_percent).sum();
    if total_percent <= 0.0 {
        return live.first().map(|entry| entry.version);
    }
    let point = unit_interval(session_hash) * total_percent;
    let mut upper_percent = 0.0;
    for entry in live {
        upper_percent += entry.share_percent;
        if point < upper_percent {
            return Some(entry.version);
        }
    }
    live.last().map(|entry| entry.version)
}

/// Maps a hash to the interval from 0 to 1, excluding 1.
fn unit_interval(hash: u64) -> f64 {
    const MANTISSA_BITS: u32 = 53;
    #[allow(clippy::cast_precision_loss)]
    let numerator = (hash >> (u64::BITS - MANTISSA_BITS)) as f64;
    numerator / f64::powi(2.0, 53)
}
