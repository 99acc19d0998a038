//! Definitions of the subcommands and their help texts.

use std::fmt::Write;

use crate::error::CtlError;

/// Definition of a subcommand, used for parsing and for the help text.
#[derive(Debug)]
pub(crate) struct CommandSpec {
    /// The words that select the subcommand.
    pub(super) subcommand: &'static [&'static str],
    /// Value names of the positional arguments; all are required.
    pub(super) arguments: &'static [&'static str],
    /// Names of the [`COMMAND_OPTIONS`] that the subcommand accepts.
    pub(super) options: &'static [&'static str],
    about: &'static str,
}

/// Definition of an option that only some subcommands accept.
#[derive(Debug)]
pub(super) struct OptionSpec {
    pub(super) name: &'static str,
    /// Name of the value; empty for a flag.
    value: &'static str,
    about: &'static str,
}

/// Options of subcommands that submit a change.
const CHANGE_OPTIONS: &[&str] = &["wait", "wait-ms"];

/// Options that only some subcommands accept.
pub(super) const COMMAND_OPTIONS: [OptionSpec; 6] = [
    OptionSpec {
        name: "wait",
        value: "",
        about: "wait until the change is in force on every node",
    },
    OptionSpec {
        name: "wait-ms",
        value: "MS",
        about: "how long to wait, in milliseconds; default 30000",
    },
    OptionSpec {
        name: "share",
        value: "PERCENT",
        about: "share of new sessions to route to the new version",
    },
    OptionSpec {
        name: "after",
        value: "GENERATION",
        about: "list all changes after this generation",
    },
    OptionSpec {
        name: "csv",
        value: "",
        about: "print the configuration as a CSV sheet",
    },
    OptionSpec {
        name: "remove-most",
        value: "",
        about: "allow a sheet that lacks more than half of the rows in force",
    },
];

const COMMANDS: [CommandSpec; 20] = [
    CommandSpec {
        subcommand: &["sheet", "check"],
        arguments: &["FILE"],
        options: &[],
        about: "Validate a sheet and list every fault; does not need a node.",
    },
    CommandSpec {
        subcommand: &["sheet", "diff"],
        arguments: &["FILE"],
        options: &[],
        about: "Compare a sheet with the configuration in force.",
    },
    CommandSpec {
        subcommand: &["sheet", "apply"],
        arguments: &["FILE"],
        options: &["wait", "wait-ms", "remove-most"],
        about: "Apply a sheet as the configuration in force.",
    },
    CommandSpec {
        subcommand: &["show"],
        arguments: &[],
        options: &["csv"],
        about: "Show the configuration in force.",
    },
    CommandSpec {
        subcommand: &["history"],
        arguments: &[],
        options: &["after"],
        about: "List the latest changes.",
    },
    CommandSpec {
        subcommand: &["version", "withdraw"],
        arguments: &["NAME"],
        options: CHANGE_OPTIONS,
        about: "Stop routing new work to a version.",
    },
    CommandSpec {
        subcommand: &["version", "restore"],
        arguments: &["NAME"],
        options: CHANGE_OPTIONS,
        about: "Route new work to a withdrawn version again.",
    },
    CommandSpec {
        subcommand: &["rollout", "start"],
        arguments: &["FROM", "TO"],
        options: &["wait", "wait-ms", "share"],
        about: "Route a share of the old version's new sessions to a new version; requires --share.",
    },
    CommandSpec {
        subcommand: &["rollout", "hold"],
        arguments: &["TO"],
        options: CHANGE_OPTIONS,
        about: "Pause a roll-out: route no new sessions to the new version.",
    },
    CommandSpec {
        subcommand: &["rollout", "resume"],
        arguments: &["TO"],
        options: &["wait", "wait-ms", "share"],
        about: "Resume a roll-out that is held or was stopped by the guard.",
    },
    CommandSpec {
        subcommand: &["rollout", "finish"],
        arguments: &["TO"],
        options: CHANGE_OPTIONS,
        about: "Give the new version the combined share of both versions; update the sheet too.",
    },
    CommandSpec {
        subcommand: &["data-centre", "out"],
        arguments: &["NAME"],
        options: CHANGE_OPTIONS,
        about: "Stop routing new work to a data centre.",
    },
    CommandSpec {
        subcommand: &["data-centre", "in"],
        arguments: &["NAME"],
        options: CHANGE_OPTIONS,
        about: "Route new work to a data centre again.",
    },
    CommandSpec {
        subcommand: &["endpoint", "out"],
        arguments: &["NAME"],
        options: CHANGE_OPTIONS,
        about: "Stop routing new work to an endpoint.",
    },
    CommandSpec {
        subcommand: &["endpoint", "in"],
        arguments: &["NAME"],
        options: CHANGE_OPTIONS,
        about: "Route new work to an endpoint again.",
    },
    CommandSpec {
        subcommand: &["status"],
        arguments: &[],
        options: &[],
        about: "Show nodes, endpoints and stopped roll-outs as seen by one node.",
    },
    CommandSpec {
        subcommand: &["progress"],
        arguments: &["GENERATION"],
        options: &[],
        about: "Show on which nodes a generation is in force.",
    },
    CommandSpec {
        subcommand: &["explain"],
        arguments: &["REQUEST_ID"],
        options: &[],
        about: "Show what happened to a request, and why.",
    },
    CommandSpec {
        subcommand: &["deferred"],
        arguments: &[],
        options: &[],
        about: "List the deferred requests.",
    },
    CommandSpec {
        subcommand: &["version"],
        arguments: &[],
        options: &[],
        about: "Print the version of this program, if neither withdraw nor restore follows.",
    },
];

const COMMON_OPTIONS_HELP: &str = "\
options:
  --node IP:PORT     a node's address for operators
  --token-file FILE  file with the operator's token; else HEMLOCKHITCH_TOKEN
  --json             print JSON
  -h, --help         print this help
";

const EXIT_CODES_HELP: &str = "\
exit codes:
  0  done, or nothing to do
  1  refused, or others changed the same rows first; nothing was changed
  2  the command line, the sheet or another file is wrong
  3  the node cannot be reached, or its answer was lost
  4  written, but not yet in force everywhere
";

impl CommandSpec {
    /// Returns the program name followed by the subcommand.
    pub(super) fn full_name(&self) -> String {
        format!("hemlockhitchctl {}", self.subcommand.join(" "))
    }

    fn usage(&self) -> String {
        let mut words = self.subcommand.to_vec();
        words.extend(self.arguments);
        words.join(" ")
    }
}

/// Finds the subcommand that the positional arguments start with.
pub(super) fn find(words: &[&str]) -> Result<&'static CommandSpec, CtlError> {
    COMMANDS
        .iter()
        .find(|spec| words.starts_with(spec.subcommand))
        .ok_or_else(|| {
            let message = format!("no command {:?}; see --help", words.join(" "));
            CtlError::usage(message)
        })
}

/// Returns the help text for the subcommands that match `words`, or for all
/// subcommands if none matches.
pub(super) fn help_text(words: &[&str]) -> String {
    let matching: Vec<&CommandSpec> = COMMANDS
        .iter()
        .filter(|spec| words.starts_with(spec.subcommand) || spec.subcommand.starts_with(words))
        .collect();
    let shown = if matching.is_empty() {
        COMMANDS.iter().collect()
    } else {
        matching
    };
    let mut text = String::from("usage: hemlockhitchctl [options] COMMAND\n\ncommands:\n");
    for spec in &shown {
        let _ = writeln!(text, "  {:<26} {}", spec.usage(), spec.about);
    }
    let options = COMMAND_OPTIONS
        .iter()
        .filter(|option| shown.iter().any(|spec| spec.options.contains(&option.name)));
    text.push('\n');
    text.push_str(COMMON_OPTIONS_HELP);
    for option in options {
        let name = format!("--{} {}", option.name, option.value);
        let _ = writeln!(text, "  {name:<18} {}", option.about);
    }
    text.push('\n');
    text.push_str(EXIT_CODES_HELP);
    text
}
