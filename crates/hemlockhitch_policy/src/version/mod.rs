//! Chooses the model version that serves a session.

use hemlockhitch_config::RoutingTable;
use hemlockhitch_config::table::AllowedVersion;
use hemlockhitch_model::{ModelKey, OrganisationKey, VersionKey};
use thiserror::Error;

/// Why no version can serve a session.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Error)]
pub enum VersionRefusal {
    /// The organisation is not allowed to use the version, or any version of the
    /// model.
    #[error("the organisation may use no version of this model; ask its operator to allow one")]
    NotAllowed,
    /// The version, or every allowed version of the model, is withdrawn.
    #[error("every allowed version of this model is withdrawn; ask for another model")]
    Withdrawn,
}

/// Chooses the version of `model` for a new session.
///
/// Sessions are split by the configured shares: `session_hash` selects the
/// version, and the same hash with the same shares always selects the same one.
///
/// # Errors
///
/// Returns an error if the organisation is allowed no version of the model, or
/// if all allowed versions are withdrawn.
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
    let in_service: Vec<AllowedVersion> = allowed
        .iter()
        .copied()
        .filter(|entry| !table.versions[entry.version].row.withdrawn)
        .collect();
    pick_by_share(&in_service, session_hash).ok_or(VersionRefusal::Withdrawn)
}

/// Checks that a version may serve the next request of an existing session.
///
/// # Errors
///
/// Returns an error if the version is withdrawn or no longer allowed.
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

/// Selects a version in proportion to the shares, or the first version if all
/// shares are zero.
fn pick_by_share(in_service: &[AllowedVersion], session_hash: u64) -> Option<VersionKey> {
    let total_percent: f64 = in_service.iter().map(|entry| entry.share_percent).sum();
    if total_percent <= 0.0 {
        return in_service.first().map(|entry| entry.version);
    }
    let point = unit_interval(session_hash) * total_percent;
    let mut upper_percent = 0.0;
    for entry in in_service {
        upper_percent += entry.share_percent;
        if point < upper_percent {
            return Some(entry.version);
        }
    }
    in_service.last().map(|entry| entry.version)
}

/// Maps a hash to a number in the half-open interval [0, 1).
fn unit_interval(hash: u64) -> f64 {
    const MANTISSA_BITS: u32 = 53;
    #[allow(clippy::cast_precision_loss)]
    let numerator = (hash >> (u64::BITS - MANTISSA_BITS)) as f64;
    numerator / f64::powi(2.0, 53)
}
