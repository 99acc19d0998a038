//! The command line of the node.

use std::path::PathBuf;

use getopts::Options;
use thiserror::Error;

/// What the command line asks for.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Command {
    /// Run the node with the settings in the file.
    Run(PathBuf),
    /// Check the settings in the file.
    Check(PathBuf),
    /// Run a gateway on the users' platform with the settings in the file.
    RunGateway(PathBuf),
    /// Check the settings of a gateway in the file.
    CheckGateway(PathBuf),
    /// Print how to use the command.
    Help(String),
    /// Print the version.
    Version,
}

/// The command line cannot be understood.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Error)]
pub enum CommandLineError {
    /// An option is unknown or malformed.
    #[error("{detail}; see hemlockhitch --help")]
    Usage {
        /// What is wrong.
        detail: String,
    },
    /// The file with the settings is not named.
    #[error("no settings named; add --settings FILE")]
    NoSettings,
}

/// Reads the command line without the name of the program.
///
/// # Errors
///
/// Fails when an option is unknown or the settings are not named.
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
    options.optopt("s", "settings", "settings of the node (INI)", "FILE");
    options.optflag("", "check", "check the settings and exit");
    options.optflag("", "gateway", "run as a gateway on the users' platform");
    options.optflag("h", "help", "print this help and exit");
    options.optflag("V", "version", "print the version and exit");
    options
}

fn usage(options: &Options) -> String {
    options.usage(
        "Usage: hemlockhitch --settings FILE [--gateway] [--check]\n\n\
         Runs one router node until SIGTERM, then finishes its requests and exits.\n\
         Exit codes: 0 stopped or checked, 1 could not start, 2 bad command line or settings.",
    )
}
