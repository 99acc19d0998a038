//! Tests the command line options shared by the stand-ins.

use getopts::Matches;
use hemlockhitch_standin::command_line::{
    CommandLineError, address, options, parse, ratio_or_zero, value_or_default, values,
};

fn parse_arguments(arguments: &str) -> Result<Option<String>, CommandLineError> {
    let mut options = options();
    options.optopt("", "delay-ms", "", "MS");
    options.optopt("", "missing", "", "RATIO");
    options.optmulti("", "port", "", "PORT");
    let program = std::iter::once("standin".to_owned());
    let arguments = arguments.split_whitespace().map(str::to_owned);
    let matches = parse(&options, program.chain(arguments))?;
    matches
        .map(|matches| describe_settings(&matches))
        .transpose()
}

fn describe_settings(matches: &Matches) -> Result<String, CommandLineError> {
    let address = address(matches)?;
    let delay_ms: u64 = value_or_default(matches, "delay-ms")?;
    let missing_ratio = ratio_or_zero(matches, "missing")?;
    let ports: Vec<u16> = values(matches, "port")?;
    Ok(format!(
        "{address}, {delay_ms} ms, {missing_ratio} missing, ports {ports:?}"
    ))
}

#[test]
fn options_are_parsed_or_rejected_with_a_remedy() {
    let table = [
        "",
        "--help",
        "--address 127.0.0.2:7000 --delay-ms 5 --missing 0.5 --port 1 --port 2",
        "--address here",
        "--delay-ms -1",
        "--delay 5 --bogus",
        "--missing 1.5",
        "--missing NaN",
        "--port 1 --port 70000",
        "--address",
    ];
    let results = table.map(|arguments| match parse_arguments(arguments) {
        Ok(settings) => settings.unwrap_or_else(|| "help".to_owned()),
        Err(error) => error.to_string(),
    });
    insta::assert_snapshot!(results.join("\n"), @r#"
    127.0.0.1:0, 0 ms, 0 missing, ports []
    help
    127.0.0.2:7000, 5 ms, 0.5 missing, ports [1, 2]
    option --address has the value "here": invalid socket address syntax; see --help
    option --delay-ms has the value "-1": invalid digit found in string; see --help
    Unrecognized option: 'delay'; see --help
    option --missing has the value "1.5": use a number from 0 to 1; see --help
    option --missing has the value "NaN": use a number from 0 to 1; see --help
    option --port has the value "70000": number too large to fit in target type; see --help
    Argument to option 'address' missing; see --help
    "#);
}
