//! Command-line parsing.

use std::path::PathBuf;

use getopts::Options;
use thiserror::Error;

/// Action selected by the command line.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Command {
    /// Run a router node with this settings file.
    Run(PathBuf),
    /// Validate the settings file of a router node.
    Check(PathBuf),
    /// Run a gateway on the users' platform with this settings file.
    RunGateway(PathBuf),
    /// Validate the settings file of a gateway.
    CheckGateway(PathBuf),
    /// Print the usage text.
    Help(String),
    /// Print the version of the program.
    Version,
}

/// Error in the command line.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Error)]
pub enum CommandLineError {
    /// An option is unknown or malformed, or an argument is unexpected.
    #[error("{detail}; see hemlockhitch --help")]
    Usage {
        /// Message of the option parser, or the unexpected argument.
        detail: String,
    },
    /// The option `--settings` is missing.
    #[error("no settings file given; add --settings FILE")]
    NoSettings,
}

/// Parses the arguments that follow the program name.
///
/// # Errors
///
/// Fails if an option is unknown or malformed, an argument is unexpected, or
/// `--settings` is missing.
pub fn parse(arguments: impl IntoIterator<Item = String>) -> Result<Command, CommandLineError> {
    let options = options();
    let matches = options
        .parse(arguments)
        .map_err(|error| CommandLineError::Usage {
            detail: error.to_string(),
        })?;
    if matches.opt_present("help") {
        return Ok(Command::Help(usage(&options)));
    }
    if matches.opt_present("version") {
        return Ok(Command::Version);
    }
    if let Some(extra) = matches.free.first() {
        let detail = format!("unexpected argument {extra:?}");
        return Err(CommandLineError::Usage { detail });
    }
    let file = matches
        .opt_str("settings")
        .map(PathBuf::from)
        .ok_or(CommandLineError::NoSettings)?;
    let check = matches.opt_present("check");
    let gateway = matches.opt_present("gateway");
    Ok(match (gateway, check) {
        (false, false) => Command::Run(file),
        (false, true) => Command::Check(file),
        (true, false) => Command::RunGateway(file),
        (true, true) => Command::CheckGateway(file),
    })
}

fn options() -> Options {
    let mut options = Options::new();
    options.optopt("s", "settings", "settings file (INI)", "FILE");
    options.optflag("", "check", "validate the settings and exit");
    options.optflag("", "gateway", "run as a gateway on the users' platform");
    options.optflag("h", "help", "print this help and exit");
    options.optflag("V", "version", "print the version and exit");
    options
}

fn usage(options: &Options) -> String {
    options.usage(
        "Usage: hemlockhitch --settings FILE [--gateway] [--check]\n\n\
         Runs one router node until SIGTERM or SIGINT, then drains its requests and exits.\n\
         Exit codes: 0 stopped or settings valid, 1 failed to start, 2 invalid command line or settings.",
    )
}
