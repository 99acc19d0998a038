//! The commands with their help texts.

use std::fmt::Write;

use crate::error::CtlError;

/// A command as its help shows it.
#[derive(Debug)]
pub(crate) struct CommandHelp {
    pub(super) words: &'static [&'static str],
    pub(super) arguments: &'static [&'static str],
    pub(super) options: &'static [&'static str],
    about: &'static str,
}

/// An option that not every command has.
#[derive(Debug)]
pub(super) struct OptionHelp {
    pub(super) name: &'static str,
    value: &'static str,
    about: &'static str,
}

/// The options of commands that submit a change.
const CHANGE: &[&str] = &["wait", "wait-ms"];

/// Every option that not every command has.
pub(super) const OWN_OPTIONS: [OptionHelp; 6] = [
    OptionHelp {
        name: "wait",
        value: "",
        about: "wait until the change is in force everywhere",
    },
    OptionHelp {
        name: "wait-ms",
        value: "MS",
        about: "how long to wait, in milliseconds; 30000 if left out",
    },
    OptionHelp {
        name: "share",
        value: "PERCENT",
        about: "share of new sessions that the new version gets",
    },
    OptionHelp {
        name: "after",
        value: "GENERATION",
        about: "list all changes after this generation",
    },
    OptionHelp {
        name: "csv",
        value: "",
        about: "write a sheet",
    },
    OptionHelp {
        name: "remove-most",
        value: "",
        about: "apply a sheet that lacks more than half of the rows in force",
    },
];

const COMMANDS: [CommandHelp; 20] = [
    CommandHelp {
        words: &["sheet", "check"],
        arguments: &["FILE"],
        options: &[],
        about: "List every fault of a sheet; needs no node.",
    },
    CommandHelp {
        words: &["sheet", "diff"],
        arguments: &["FILE"],
        options: &[],
        about: "Compare a sheet with the configuration in force.",
    },
    CommandHelp {
        words: &["sheet", "apply"],
        arguments: &["FILE"],
        options: &["wait", "wait-ms", "remove-most"],
        about: "Make a sheet the configuration in force.",
    },
    CommandHelp {
        words: &["show"],
        arguments: &[],
        options: &["csv"],
        about: "Show the configuration in force.",
    },
    CommandHelp {
        words: &["history"],
        arguments: &[],
        options: &["after"],
        about: "List the newest changes.",
    },
    CommandHelp {
        words: &["version", "withdraw"],
        arguments: &["NAME"],
        options: CHANGE,
        about: "Give a version no new work.",
    },
    CommandHelp {
        words: &["version", "restore"],
        arguments: &["NAME"],
        options: CHANGE,
        about: "Undo a withdrawal.",
    },
    CommandHelp {
        words: &["rollout", "start"],
        arguments: &["FROM", "TO"],
        options: &["wait", "wait-ms", "share"],
        about: "Give a new version a share of the old one's new sessions; --share is needed.",
    },
    CommandHelp {
        words: &["rollout", "hold"],
        arguments: &["TO"],
        options: CHANGE,
        about: "Give the new version no new sessions for now.",
    },
    CommandHelp {
        words: &["rollout", "resume"],
        arguments: &["TO"],
        options: &["wait", "wait-ms", "share"],
        about: "Go on with a roll-out that is held or that the guard stopped.",
    },
    CommandHelp {
        words: &["rollout", "finish"],
        arguments: &["TO"],
        options: CHANGE,
        about: "Give the new version the whole share of both; change the sheet too.",
    },
    CommandHelp {
        words: &["data-centre", "out"],
        arguments: &["NAME"],
        options: CHANGE,
        about: "Give a data centre no new work.",
    },
    CommandHelp {
        words: &["data-centre", "in"],
        arguments: &["NAME"],
        options: CHANGE,
        about: "Bring a data centre back.",
    },
    CommandHelp {
        words: &["endpoint", "out"],
        arguments: &["NAME"],
        options: CHANGE,
        about: "Give an endpoint no new work.",
    },
    CommandHelp {
        words: &["endpoint", "in"],
        arguments: &["NAME"],
        options: CHANGE,
        about: "Bring an endpoint back.",
    },
    CommandHelp {
        words: &["status"],
        arguments: &[],
        options: &[],
        about: "Show nodes, endpoints and stopped roll-outs as one node knows them.",
    },
    CommandHelp {
        words: &["progress"],
        arguments: &["GENERATION"],
        options: &[],
        about: "Show where a generation is in force.",
    },
    CommandHelp {
        words: &["explain"],
        arguments: &["REQUEST_ID"],
        options: &[],
        about: "Show what happened to a request, and why.",
    },
    CommandHelp {
        words: &["deferred"],
        arguments: &[],
        options: &[],
        about: "List the deferred requests.",
    },
    CommandHelp {
        words: &["version"],
        arguments: &[],
        options: &[],
        about: "Without withdraw or restore: print the version of this program.",
    },
];

const COMMON: &str = "\
options:
  --node IP:PORT     a node's address for operators
  --token-file FILE  file with the operator's token; else HEMLOCKHITCH_TOKEN
  --json             print JSON
  -h, --help         print this help
";

const EXITS: &str = "\
exit codes:
  0  done, or nothing to do
  1  refused, or others changed the same rows first; nothing was changed
  2  the command line, the sheet or another file is wrong
  3  the node cannot be reached, or its answer was lost
  4  written, but not yet in force everywhere
";

impl CommandHelp {
    /// Returns the words of the command.
    pub(super) fn title(&self) -> String {
        format!("hemlockhitchctl {}", self.words.join(" "))
    }

    fn synopsis(&self) -> String {
        let mut words = self.words.to_vec();
        words.extend(self.arguments);
        words.join(" ")
    }
}

/// Finds the command that the free words begin with.
pub(super) fn find(words: &[&str]) -> Result<&'static CommandHelp, CtlError> {
    COMMANDS
        .iter()
        .find(|help| words.starts_with(help.words))
        .ok_or_else(|| {
            let message = format!("no command {:?}; see --help", words.join(" "));
            CtlError::usage(message)
        })
}

/// Returns the help for the commands that begin with the words, or for all.
pub(super) fn text(words: &[&str]) -> String {
    let chosen: Vec<&CommandHelp> = COMMANDS
        .iter()
        .filter(|help| words.starts_with(help.words) || help.words.starts_with(words))
        .collect();
    let shown = if chosen.is_empty() {
        COMMANDS.iter().collect()
    } else {
        chosen
    };
    let mut text = String::from("usage: hemlockhitchctl [options] COMMAND\n\ncommands:\n");
    for help in &shown {
        let _ = writeln!(text, "  {:<26} {}", help.synopsis(), help.about);
    }
    let own = OWN_OPTIONS
        .iter()
        .filter(|option| shown.iter().any(|help| help.options.contains(&option.name)));
    text.push('\n');
    text.push_str(COMMON);
    for option in own {
        let name = format!("--{} {}", option.name, option.value);
        let _ = writeln!(text, "  {name:<18} {}", option.about);
    }
    text.push('\n');
    text.push_str(EXITS);
    text
}
