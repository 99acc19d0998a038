//! Subcommands and their parsed arguments.

use getopts::Matches;
use hemlockhitch_config::configuration::Share;
use hemlockhitch_model::{DataCentreName, EndpointName, RequestId, VersionName};

use super::help::CommandSpec;
use super::parse_option;
use crate::error::CtlError;

/// File with a sheet in CSV format.
#[derive(Clone, Debug)]
pub(crate) struct SheetFile {
    pub(crate) path: String,
}

/// Whether new work is routed to a version.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum VersionState {
    Withdrawn,
    Restored,
}

/// Whether new work is routed to a data centre or an endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Availability {
    Out,
    In,
}

/// Change to the state of a roll-out.
#[derive(Clone, Debug)]
pub(crate) enum RollOutStep {
    Start { from: VersionName, share: Share },
    Hold,
    Resume { share: Option<Share> },
    Finish,
}

/// A subcommand with its arguments.
#[derive(Clone, Debug)]
pub(crate) enum Command {
    SheetCheck(SheetFile),
    SheetDiff(SheetFile),
    SheetApply {
        file: SheetFile,
        remove_most: bool,
    },
    Show {
        csv: bool,
    },
    History {
        after: Option<u64>,
    },
    Version {
        name: VersionName,
        state: VersionState,
    },
    RollOut {
        to: VersionName,
        step: RollOutStep,
    },
    DataCentre {
        name: DataCentreName,
        availability: Availability,
    },
    Endpoint {
        name: EndpointName,
        availability: Availability,
    },
    Status,
    Progress {
        generation: u64,
    },
    Explain {
        request: RequestId,
    },
    Deferred,
    ProgramVersion,
}

/// Builds the command from the positional arguments after the subcommand.
pub(super) fn parse(
    spec: &CommandSpec,
    arguments: &[&str],
    matches: &Matches,
) -> Result<Command, CtlError> {
    if arguments.len() != spec.arguments.len() {
        return Err(CtlError::usage(format!(
            "{} takes {} arguments, not {}; see {} --help",
            spec.full_name(),
            spec.arguments.len(),
            arguments.len(),
            spec.full_name()
        )));
    }
    let first = arguments.first().copied().unwrap_or_default();
    let last = arguments.last().copied().unwrap_or_default();
    let file = || SheetFile {
        path: first.to_owned(),
    };
    let command = match spec.subcommand {
        ["sheet", "check"] => Command::SheetCheck(file()),
        ["sheet", "diff"] => Command::SheetDiff(file()),
        ["sheet", "apply"] => Command::SheetApply {
            file: file(),
            remove_most: matches.opt_present("remove-most"),
        },
        ["show"] => Command::Show {
            csv: matches.opt_present("csv"),
        },
        ["history"] => Command::History {
            after: parse_option(matches, "after", "write a generation")?,
        },
        ["version", action] => Command::Version {
            name: first.into(),
            state: match *action {
                "withdraw" => VersionState::Withdrawn,
                _ => VersionState::Restored,
            },
        },
        ["rollout", action] => Command::RollOut {
            to: last.into(),
            step: parse_step(action, first, matches)?,
        },
        ["data-centre", action] => Command::DataCentre {
            name: first.into(),
            availability: parse_availability(action),
        },
        ["endpoint", action] => Command::Endpoint {
            name: first.into(),
            availability: parse_availability(action),
        },
        ["status"] => Command::Status,
        ["progress"] => Command::Progress {
            generation: first.parse().map_err(|_| {
                CtlError::usage(format!("{first:?} is not a generation; write a number"))
            })?,
        },
        ["explain"] => Command::Explain {
            request: first
                .parse()
                .map_err(|error| CtlError::usage(format!("{error}")))?,
        },
        ["deferred"] => Command::Deferred,
        _ => Command::ProgramVersion,
    };
    Ok(command)
}

fn parse_availability(action: &str) -> Availability {
    if action == "out" {
        Availability::Out
    } else {
        Availability::In
    }
}

fn parse_step(action: &str, from: &str, matches: &Matches) -> Result<RollOutStep, CtlError> {
    let share = parse_share(matches)?;
    Ok(match action {
        "start" => RollOutStep::Start {
            from: from.into(),
            share: share
                .ok_or_else(|| CtlError::usage("--share is missing; write a percentage"))?,
        },
        "hold" => RollOutStep::Hold,
        "resume" => RollOutStep::Resume { share },
        _ => RollOutStep::Finish,
    })
}

fn parse_share(matches: &Matches) -> Result<Option<Share>, CtlError> {
    const REMEDY: &str = "write a percentage from 0 to 100";
    let Some(percent) = parse_option::<f64>(matches, "share", REMEDY)? else {
        return Ok(None);
    };
    if (0.0..=100.0).contains(&percent) {
        return Ok(Some(Share { percent }));
    }
    let message = format!("--share: {percent} is out of bounds; {REMEDY}");
    Err(CtlError::usage(message))
}
