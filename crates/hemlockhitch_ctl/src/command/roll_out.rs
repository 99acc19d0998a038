//! Starts, holds, resumes and finishes roll-outs.

use std::collections::BTreeMap;

use hemlockhitch_config::configuration::{Allowance, RollOut, RollOutState, Row, RowKind, Share};
use hemlockhitch_config::{Configuration, RowEdit, RowKey};
use hemlockhitch_model::{OrganisationName, VersionName};

use super::availability::find;
use crate::args::RollOutStep;
use crate::error::CtlError;

/// Returns the edits for a step of the roll-out to a version.
pub(super) fn edits(
    configuration: &Configuration,
    to: &VersionName,
    step: &RollOutStep,
) -> Result<Vec<RowEdit>, CtlError> {
    match step {
        RollOutStep::Start { from, share } => start(configuration, from, to, *share),
        RollOutStep::Hold => {
            let present = present(configuration, to)?;
            if present.state == RollOutState::Stopped {
                // A stopped roll-out gives no new sessions either.
                return Ok(Vec::new());
            }
            let state = RollOutState::Held;
            Ok(replace(
                present,
                &RollOut {
                    state,
                    ..present.clone()
                },
            ))
        }
        RollOutStep::Resume { share } => {
            let present = present(configuration, to)?;
            let resumed = RollOut {
                state: RollOutState::Running,
                share: share.unwrap_or(present.share),
                ..present.clone()
            };
            Ok(replace(present, &resumed))
        }
        RollOutStep::Finish => finish(configuration, present(configuration, to)?),
    }
}

fn start(
    configuration: &Configuration,
    from: &VersionName,
    to: &VersionName,
    share: Share,
) -> Result<Vec<RowEdit>, CtlError> {
    find(configuration, RowKind::Version, from.as_str())?;
    find(configuration, RowKind::Version, to.as_str())?;
    let wanted = RollOut {
        from: from.clone(),
        to: to.clone(),
        share,
        state: RollOutState::Running,
    };
    let Some(present) = roll_out(configuration, to) else {
        return Ok(vec![RowEdit::set(Row::RollOut(wanted))]);
    };
    if present.from != *from {
        return Err(CtlError::bad_input(format!(
            "{to} already replaces {}; finish that roll-out first",
            present.from
        )));
    }
    if present.state != RollOutState::Running {
        return Err(CtlError::bad_input(format!(
            "the roll-out of {to} is not running; use: rollout resume {to} --share {}",
            share.percent
        )));
    }
    Ok(replace(present, &wanted))
}

/// Gives the new version the joint share of both, wherever both are allowed.
fn finish(configuration: &Configuration, row: &RollOut) -> Result<Vec<RowEdit>, CtlError> {
    if row.state != RollOutState::Running {
        return Err(CtlError::bad_input(format!(
            "the roll-out of {} is not running; resume it before it is finished",
            row.to
        )));
    }
    let Row::Version(version) = find(configuration, RowKind::Version, row.to.as_str())? else {
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
        let joint = old.share.percent + new.share.percent;
        edits.extend(with_share(old, 0.0));
        edits.extend(with_share(new, joint));
    }
    edits.push(RowEdit::remove(RowKey::new(RowKind::RollOut, [&row.to])));
    Ok(edits)
}

fn allowances<'a>(
    configuration: &'a Configuration,
    version: &VersionName,
) -> BTreeMap<OrganisationName, &'a Allowance> {
    configuration
        .present_rows()
        .filter_map(|(_, row)| match row {
            Row::Allowance(row) if row.version == *version => Some(row),
            _ => None,
        })
        .map(|row| (row.organisation.clone(), row))
        .collect()
}

fn with_share(row: &Allowance, percent: f64) -> Option<RowEdit> {
    let share = Share { percent };
    let wanted = Allowance {
        share,
        ..row.clone()
    };
    (wanted != *row).then(|| RowEdit::set(Row::Allowance(wanted)))
}

fn replace(present: &RollOut, wanted: &RollOut) -> Vec<RowEdit> {
    if present == wanted {
        return Vec::new();
    }
    vec![RowEdit::set(Row::RollOut(wanted.clone()))]
}

fn roll_out<'a>(configuration: &'a Configuration, to: &VersionName) -> Option<&'a RollOut> {
    match configuration.row(&RowKey::new(RowKind::RollOut, [to])) {
        Some(Row::RollOut(row)) => Some(row),
        _ => None,
    }
}

fn present<'a>(
    configuration: &'a Configuration,
    to: &VersionName,
) -> Result<&'a RollOut, CtlError> {
    find(configuration, RowKind::RollOut, to.as_str())?;
    roll_out(configuration, to)
        .ok_or_else(|| CtlError::bad_input(format!("{to} is no roll-out; see: show")))
}
