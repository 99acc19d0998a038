//! Command line options shared by the stand-ins that run as examples.

use std::fmt::Display;
use std::io::{self, Write};
use std::net::SocketAddr;
use std::process::ExitCode;
use std::str::FromStr;

use getopts::{Matches, Options};
use thiserror::Error;

/// Listen address if `--address` is not given; port 0 takes a free port.
const DEFAULT_ADDRESS: &str = "127.0.0.1:0";

/// Why a stand-in cannot run with the given command line.
#[derive(Debug)]
#[derive(Error)]
pub enum CommandLineError {
    /// An option is unknown or lacks its value.
    #[error("{0}; see --help")]
    Options(#[from] getopts::Fail),
    /// The value of an option is invalid.
    #[error("option --{option} has the value {value:?}: {detail}; see --help")]
    Value {
        /// Name of the option, without dashes.
        option: String,
        /// The value as given.
        value: String,
        /// Why the value is invalid.
        detail: String,
    },
    /// The address cannot be bound, or standard output cannot be written.
    #[error("{0}; choose another --address or use port 0")]
    Io(#[from] io::Error),
}

/// Creates the options that every stand-in accepts.
#[must_use]
pub fn options() -> Options {
    let mut options = Options::new();
    options.optopt("", "address", "address to listen on", "IP:PORT");
    options.optflag("h", "help", "print this help");
    options
}

/// Parses the options, or prints the help text and returns `None`.
///
/// # Errors
///
/// Fails when an option is unknown or lacks its value.
pub fn parse(
    options: &Options,
    arguments: impl IntoIterator<Item = String>,
) -> Result<Option<Matches>, CommandLineError> {
    let mut arguments = arguments.into_iter();
    let program = arguments.next().unwrap_or_default();
    let arguments: Vec<String> = arguments.collect();
    let matches = options.parse(&arguments)?;
    if !matches.opt_present("help") {
        return Ok(Some(matches));
    }
    println!("{}", options.usage(&format!("{program} [options]")));
    Ok(None)
}

/// Returns the address to listen on.
///
/// # Errors
///
/// Fails when the option is not `ip:port`.
pub fn address(matches: &Matches) -> Result<SocketAddr, CommandLineError> {
    let text = matches.opt_str("address");
    let text = text.unwrap_or_else(|| DEFAULT_ADDRESS.to_owned());
    parse_value("address", &text)
}

/// Returns the value of an option, or the default of the type if the option is
/// absent.
///
/// # Errors
///
/// Fails when the value is invalid.
pub fn value_or_default<T>(matches: &Matches, option: &str) -> Result<T, CommandLineError>
where
    T: FromStr<Err: Display> + Default,
{
    let text = matches.opt_str(option);
    text.map_or_else(|| Ok(T::default()), |text| parse_value(option, &text))
}

/// Returns the value of an option that is a ratio, or 0 if the option is absent.
///
/// # Errors
///
/// Fails when the value is not a number from 0 to 1.
pub fn ratio_or_zero(matches: &Matches, option: &str) -> Result<f64, CommandLineError> {
    let ratio: f64 = value_or_default(matches, option)?;
    if (0.0..=1.0).contains(&ratio) {
        return Ok(ratio);
    }
    Err(CommandLineError::Value {
        option: option.to_owned(),
        value: ratio.to_string(),
        detail: "use a number from 0 to 1".to_owned(),
    })
}

/// Returns every value of an option that may be given repeatedly.
///
/// # Errors
///
/// Fails when a value is invalid.
pub fn values<T>(matches: &Matches, option: &str) -> Result<Vec<T>, CommandLineError>
where
    T: FromStr<Err: Display>,
{
    matches
        .opt_strs(option)
        .iter()
        .map(|text| parse_value(option, text))
        .collect()
}

/// Prints the address on standard output and then waits forever.
///
/// # Errors
///
/// Fails when standard output cannot be written.
pub async fn serve(address: SocketAddr) -> Result<(), CommandLineError> {
    let mut output = io::stdout();
    writeln!(output, "listening on {address}")?;
    output.flush()?;
    std::future::pending().await
}

/// Converts the result of a stand-in's main function into an exit code; prints an
/// error on standard error.
#[must_use]
pub fn exit_code(result: Result<(), CommandLineError>) -> ExitCode {
    let Err(error) = result else {
        return ExitCode::SUCCESS;
    };
    eprintln!("error: {error}");
    ExitCode::FAILURE
}

fn parse_value<T>(option: &str, text: &str) -> Result<T, CommandLineError>
where
    T: FromStr<Err: Display>,
{
    text.parse()
        .map_err(|error: T::Err| CommandLineError::Value {
            option: option.to_owned(),
            value: text.to_owned(),
            detail: error.to_string(),
        })
}
