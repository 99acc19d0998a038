//! Runs the router node.

use std::env;
use std::path::Path;
use std::process::ExitCode;

use hemlockhitch::command_line::{self, Command};
use hemlockhitch::{Node, start_log};
use hemlockhitch_config::settings::Settings;
use tokio::signal::unix::{SignalKind, signal};

/// Exit code when the node could not start.
const FAILED: u8 = 1;

/// Exit code for a bad command line or bad settings.
const BAD_INPUT: u8 = 2;

#[tokio::main]
async fn main() -> ExitCode {
    match command_line::parse(env::args().skip(1)) {
        Ok(Command::Run(file)) => run(&file).await,
        Ok(Command::Check(file)) => check(&file),
        Ok(Command::Help(text)) => print(&text),
        Ok(Command::Version) => print(&format!("hemlockhitch {}", env!("CARGO_PKG_VERSION"))),
        Err(error) => bad_input(&error),
    }
}

async fn run(file: &Path) -> ExitCode {
    let settings = match Settings::read(file) {
        Ok(settings) => settings,
        Err(error) => return bad_input(&error),
    };
    start_log(&settings.log);
    let node = match Node::start(settings).await {
        Ok(node) => node,
        Err(error) => {
            eprintln!("hemlockhitch: {error}");
            return ExitCode::from(FAILED);
        }
    };
    println!("{}", node.addresses());
    wait_for_stop().await;
    node.stop().await;
    ExitCode::SUCCESS
}

fn check(file: &Path) -> ExitCode {
    match Settings::read(file) {
        Ok(_) => print(&format!("{}: settings are valid", file.display())),
        Err(error) => bad_input(&error),
    }
}

/// Returns when the process is asked to stop.
async fn wait_for_stop() {
    let terminate = signal(SignalKind::terminate());
    let interrupt = signal(SignalKind::interrupt());
    let (Ok(mut terminate), Ok(mut interrupt)) = (terminate, interrupt) else {
        tracing::error!(
            event = "HH0901",
            "signals cannot be handled; the node stops"
        );
        return;
    };
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
}

fn print(text: &str) -> ExitCode {
    println!("{text}");
    ExitCode::SUCCESS
}

fn bad_input(error: &impl std::fmt::Display) -> ExitCode {
    eprintln!("hemlockhitch: {error}");
    ExitCode::from(BAD_INPUT)
}
