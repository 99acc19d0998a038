//! Parses the command line.

mod command;
mod help;

pub(crate) use command::{Command, Presence, RollOutStep, SheetFile, VersionState};

use std::fs;
use std::net::SocketAddr;

use getopts::{Matches, Options};

use crate::Environment;
use crate::error::CtlError;

/// How long `--wait` waits unless `--wait-ms` says otherwise.
const DEFAULT_WAIT_MS: u64 = 30_000;

/// What the command line asks for.
#[derive(Clone, Debug)]
pub(crate) enum Parsed {
    Help(String),
    Run(Invocation),
}

/// A command and how to run it.
#[derive(Clone, Debug)]
pub(crate) struct Invocation {
    pub(crate) command: Command,
    /// The node's address for operators, if one was given.
    pub(crate) node: Option<SocketAddr>,
    pub(crate) token: Option<String>,
    pub(crate) json: bool,
    /// How long to wait until a change is in force everywhere.
    pub(crate) wait_ms: Option<u64>,
}

/// Parses the arguments after the program's name.
pub(crate) fn parse(arguments: &[String], environment: Environment) -> Result<Parsed, CtlError> {
    let matches = options()
        .parse(arguments)
        .map_err(|error| CtlError::usage(format!("{error}; see --help")))?;
    let words: Vec<&str> = matches.free.iter().map(String::as_str).collect();
    if matches.opt_present("help") || words.is_empty() {
        return Ok(Parsed::Help(help::text(&words)));
    }
    let help = help::find(&words)?;
    refuse_foreign_options(&matches, help)?;
    let command = command::parse(help, &words[help.words.len()..], &matches)?;
    Ok(Parsed::Run(Invocation {
        command,
        node: value(&matches, "node", "write ip:port")?,
        token: token(&matches, environment)?,
        json: matches.opt_present("json"),
        wait_ms: wait_ms(&matches)?,
    }))
}

fn options() -> Options {
    let mut options = Options::new();
    options.optflag("h", "help", "");
    options.optopt("", "node", "", "IP:PORT");
    options.optopt("", "token-file", "", "FILE");
    options.optflag("", "json", "");
    options.optflag("", "wait", "");
    options.optopt("", "wait-ms", "", "MS");
    options.optopt("", "share", "", "PERCENT");
    options.optopt("", "after", "", "GENERATION");
    options.optflag("", "csv", "");
    options.optflag("", "remove-most", "");
    options
}

fn refuse_foreign_options(matches: &Matches, help: &help::CommandHelp) -> Result<(), CtlError> {
    let foreign = help::OWN_OPTIONS
        .iter()
        .find(|option| matches.opt_present(option.name) && !help.options.contains(&option.name));
    match foreign {
        None => Ok(()),
        Some(option) => Err(CtlError::usage(format!(
            "{} has no option --{}; see {} --help",
            help.title(),
            option.name,
            help.title()
        ))),
    }
}

/// Reads the value of an option, if it is given.
pub(super) fn value<T: std::str::FromStr>(
    matches: &Matches,
    option: &str,
    remedy: &str,
) -> Result<Option<T>, CtlError> {
    let Some(text) = matches.opt_str(option) else {
        return Ok(None);
    };
    let value = text.parse::<T>();
    value
        .map(Some)
        .map_err(|_| CtlError::usage(format!("--{option}: {text:?} is not valid; {remedy}")))
}

fn token(matches: &Matches, environment: Environment) -> Result<Option<String>, CtlError> {
    let Some(path) = matches.opt_str("token-file") else {
        return Ok(environment.token);
    };
    let text = fs::read_to_string(&path).map_err(|error| {
        CtlError::bad_input(format!(
            "{path} cannot be read: {error}; check --token-file"
        ))
    })?;
    Ok(Some(text.trim().to_owned()))
}

fn wait_ms(matches: &Matches) -> Result<Option<u64>, CtlError> {
    let given = value(matches, "wait-ms", "write milliseconds")?;
    let wait = matches.opt_present("wait").then_some(DEFAULT_WAIT_MS);
    Ok(given.or(wait))
}
