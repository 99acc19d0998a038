//! Edits that start, hold, resume and finish roll-outs.

use std::collections::BTreeMap;

use hemlockhitch_config::configuration::{Allowance, RollOut, RollOutState, Row, RowKind, Share};
use hemlockhitch_config::{Configuration, RowEdit, RowKey};
use hemlockhitch_model::{OrganisationName, VersionName};

use super::availability::find_row;
use crate::args::RollOutStep;
use crate::error::CtlError;

/// Returns the edits that apply `step` to the roll-out of version `to`.
pub(super) fn edits(
    configuration: &Configuration,
    to: &VersionName,
    step: &RollOutStep,
) -> Result<Vec<RowEdit>, CtlError> {
    match step {
        RollOutStep::Start { from, share } => start(configuration, from, to, *share),
        RollOutStep::Hold => {
            let current = find_roll_out(configuration, to)?;
            if current.state == RollOutState::Stopped {
                // A stopped roll-out already gets no new sessions.
                return Ok(Vec::new());
            }
            let state = RollOutState::Held;
            Ok(replacement_edits(
                current,
                &RollOut {
                    state,
                    ..current.clone()
                },
            ))
        }
        RollOutStep::Resume { share } => {
            let current = find_roll_out(configuration, to)?;
            let resumed = RollOut {
                state: RollOutState::Running,
                share: share.unwrap_or(current.share),
                ..current.clone()
            };
            Ok(replacement_edits(current, &resumed))
        }
        RollOutStep::Finish => finish(configuration, find_roll_out(configuration, to)?),
    }
}

fn start(
    configuration: &Configuration,
    from: &VersionName,
    to: &VersionName,
    share: Share,
) -> Result<Vec<RowEdit>, CtlError> {
    find_row(configuration, RowKind::Version, from.as_str())?;
    find_row(configuration, RowKind::Version, to.as_str())?;
    let updated = RollOut {
        from: from.clone(),
        to: to.clone(),
        share,
        state: RollOutState::Running,
    };
    let Some(current) = roll_out_row(configuration, to) else {
        return Ok(vec![RowEdit::set(Row::RollOut(updated))]);
    };
    if current.from != *from {
        return Err(CtlError::bad_input(format!(
            "{to} already replaces {}; finish that roll-out first",
            current.from
        )));
    }
    if current.state != RollOutState::Running {
        return Err(CtlError::bad_input(format!(
            "the roll-out of {to} is not running; use: rollout resume {to} --share {}",
            share.percent
        )));
    }
    Ok(replacement_edits(current, &updated))
}

/// Moves the share of the old version to the new one for every organisation that
/// is allowed to use both, and removes the roll-out.
fn finish(configuration: &Configuration, row: &RollOut) -> Result<Vec<RowEdit>, CtlError> {
    if row.state != RollOutState::Running {
        return Err(CtlError::bad_input(format!(
            "the roll-out of {} is not running; resume it before it is finished",
            row.to
        )));
    }
    let Row::Version(version) = find_row(configuration, RowKind::Version, row.to.as_str())? else {
        return Ok(Vec::new());
    };
    if version.withdrawn {
        return Err(CtlError::bad_input(format!(
            "{} is withdrawn; restore it first, or leave the roll-out",
            row.to
        )));
    }
    let old = allowances(configuration, &row.from);
    let new = allowances(configuration, &row.to);
    let mut edits = Vec::new();
    for (organisation, new) in new {
        let Some(old) = old.get(&organisation) else {
            continue;
        };
        let combined_percent = old.share.percent + new.share.percent;
        edits.extend(share_edit(old, 0.0));
        edits.extend(share_edit(new, combined_percent));
    }
    edits.push(RowEdit::remove(RowKey::new(RowKind::RollOut, [&row.to])));
    Ok(edits)
}

fn allowances<'a>(
    configuration: &'a Configuration,
    version: &VersionName,
) -> BTreeMap<OrganisationName, &'a Allowance> {
    configuration
        .existing_rows()
        .filter_map(|(_, row)| match row {
            Row::Allowance(row) if row.version == *version => Some(row),
            _ => None,
        })
        .map(|row| (row.organisation.clone(), row))
        .collect()
}

fn share_edit(row: &Allowance, percent: f64) -> Option<RowEdit> {
    let share = Share { percent };
    let updated = Allowance {
        share,
        ..row.clone()
    };
    (updated != *row).then(|| RowEdit::set(Row::Allowance(updated)))
}

fn replacement_edits(current: &RollOut, updated: &RollOut) -> Vec<RowEdit> {
    if current == updated {
        return Vec::new();
    }
    vec![RowEdit::set(Row::RollOut(updated.clone()))]
}

fn roll_out_row<'a>(configuration: &'a Configuration, to: &VersionName) -> Option<&'a RollOut> {
    match configuration.row(&RowKey::new(RowKind::RollOut, [to])) {
        Some(Row::RollOut(row)) => Some(row),
        _ => None,
    }
}

fn find_roll_out<'a>(
    configuration: &'a Configuration,
    to: &VersionName,
) -> Result<&'a RollOut, CtlError> {
    find_row(configuration, RowKind::RollOut, to.as_str())?;
    roll_out_row(configuration, to)
        .ok_or_else(|| CtlError::bad_input(format!("{to} is no roll-out; see: show")))
}
