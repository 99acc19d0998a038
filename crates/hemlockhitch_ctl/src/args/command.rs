//! The commands with their arguments.

use getopts::Matches;
use hemlockhitch_config::configuration::Share;
use hemlockhitch_model::{DataCentreName, EndpointName, RequestId, VersionName};

use super::help::CommandHelp;
use super::value;
use crate::error::CtlError;

/// A sheet's file.
#[derive(Clone, Debug)]
pub(crate) struct SheetFile {
    pub(crate) path: String,
}

/// Whether a version may get new work.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum VersionState {
    Withdrawn,
    Restored,
}

/// Whether a data centre or endpoint takes part.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Presence {
    Out,
    In,
}

/// What to do with a roll-out.
#[derive(Clone, Debug)]
pub(crate) enum RollOutStep {
    Start { from: VersionName, share: Share },
    Hold,
    Resume { share: Option<Share> },
    Finish,
}

/// One command.
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
        presence: Presence,
    },
    Endpoint {
        name: EndpointName,
        presence: Presence,
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

/// Builds the command from the free words after its own.
pub(super) fn parse(
    help: &CommandHelp,
    arguments: &[&str],
    matches: &Matches,
) -> Result<Command, CtlError> {
    if arguments.len() != help.arguments.len() {
        return Err(CtlError::usage(format!(
            "{} takes {} arguments, not {}; see {} --help",
            help.title(),
            help.arguments.len(),
            arguments.len(),
            help.title()
        )));
    }
    let first = arguments.first().copied().unwrap_or_default();
    let last = arguments.last().copied().unwrap_or_default();
    let file = || SheetFile {
        path: first.to_owned(),
    };
    let command = match help.words {
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
            after: value(matches, "after", "write a generation")?,
        },
        ["version", word] => Command::Version {
            name: first.into(),
            state: match *word {
                "withdraw" => VersionState::Withdrawn,
                _ => VersionState::Restored,
            },
        },
        ["rollout", word] => Command::RollOut {
            to: last.into(),
            step: step(word, first, matches)?,
        },
        ["data-centre", word] => Command::DataCentre {
            name: first.into(),
            presence: presence(word),
        },
        ["endpoint", word] => Command::Endpoint {
            name: first.into(),
            presence: presence(word),
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

fn presence(word: &str) -> Presence {
    if word == "out" {
        Presence::Out
    } else {
        Presence::In
    }
}

fn step(word: &str, from: &str, matches: &Matches) -> Result<RollOutStep, CtlError> {
    let share = share(matches)?;
    Ok(match word {
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

fn share(matches: &Matches) -> Result<Option<Share>, CtlError> {
    const REMEDY: &str = "write a percentage from 0 to 100";
    let Some(percent) = value::<f64>(matches, "share", REMEDY)? else {
        return Ok(None);
    };
    if (0.0..=100.0).contains(&percent) {
        return Ok(Some(Share { percent }));
    }
    let message = format!("--share: {percent} is out of bounds; {REMEDY}");
    Err(CtlError::usage(message))
}
