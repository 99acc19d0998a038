//! Parses the command line.

mod command;
mod help;

pub(crate) use command::{Availability, Command, RollOutStep, SheetFile, VersionState};

use std::fs;
use std::net::SocketAddr;

use getopts::{Matches, Options};

use crate::Environment;
use crate::error::CtlError;

/// Timeout of `--wait` if `--wait-ms` is not given.
const DEFAULT_WAIT_MS: u64 = 30_000;

/// Result of parsing the command line.
#[derive(Clone, Debug)]
pub(crate) enum ParsedArguments {
    /// Print this help text.
    Help(String),
    Run(Invocation),
}

/// A command with the options that apply to every command.
#[derive(Clone, Debug)]
pub(crate) struct Invocation {
    pub(crate) command: Command,
    /// Address of the node's administration API.
    pub(crate) node: Option<SocketAddr>,
    pub(crate) token: Option<String>,
    pub(crate) json: bool,
    /// How long to wait until a change is in force on every node; `None` does not
    /// wait.
    pub(crate) wait_ms: Option<u64>,
}

/// Parses the arguments, without the program name.
pub(crate) fn parse(
    arguments: &[String],
    environment: Environment,
) -> Result<ParsedArguments, CtlError> {
    let matches = options()
        .parse(arguments)
        .map_err(|error| CtlError::usage(format!("{error}; see --help")))?;
    let words: Vec<&str> = matches.free.iter().map(String::as_str).collect();
    if matches.opt_present("help") || words.is_empty() {
        return Ok(ParsedArguments::Help(help::help_text(&words)));
    }
    let spec = help::find(&words)?;
    reject_unsupported_options(&matches, spec)?;
    let command = command::parse(spec, &words[spec.subcommand.len()..], &matches)?;
    Ok(ParsedArguments::Run(Invocation {
        command,
        node: parse_option(&matches, "node", "write ip:port")?,
        token: read_token(&matches, environment)?,
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

fn reject_unsupported_options(matches: &Matches, spec: &help::CommandSpec) -> Result<(), CtlError> {
    let unsupported = help::COMMAND_OPTIONS
        .iter()
        .find(|option| matches.opt_present(option.name) && !spec.options.contains(&option.name));
    match unsupported {
        None => Ok(()),
        Some(option) => Err(CtlError::usage(format!(
            "{} has no option --{}; see {} --help",
            spec.full_name(),
            option.name,
            spec.full_name()
        ))),
    }
}

/// Parses the value of an option, if present. `remedy` describes valid values.
pub(super) fn parse_option<T: std::str::FromStr>(
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

fn read_token(matches: &Matches, environment: Environment) -> Result<Option<String>, CtlError> {
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
    let given = parse_option(matches, "wait-ms", "write milliseconds")?;
    let default = matches.opt_present("wait").then_some(DEFAULT_WAIT_MS);
    Ok(given.or(default))
}
