//! Entry point of the router node and of the gateway.

use std::env;
use std::path::Path;
use std::process::ExitCode;

use hemlockhitch::command_line::{self, Command};
use hemlockhitch::{GatewayNode, Node, init_logging};
use hemlockhitch_config::settings::{GatewayFile, Settings, SettingsError};
use tokio::runtime::Builder;
use tokio::signal::unix::{SignalKind, signal};

/// Exit code when the node or gateway fails to start.
const EXIT_START_FAILED: u8 = 1;

/// Exit code for an invalid command line or invalid settings.
const EXIT_BAD_INPUT: u8 = 2;

fn main() -> ExitCode {
    match command_line::parse(env::args().skip(1)) {
        Ok(Command::Run(file)) => block_on_runtime(Builder::new_multi_thread(), run(&file)),
        Ok(Command::Check(file)) => report_check(&file, Settings::read(&file)),
        // A VM of the platform has only a fraction of one core, so one thread is enough.
        Ok(Command::RunGateway(file)) => {
            block_on_runtime(Builder::new_current_thread(), run_gateway(&file))
        }
        Ok(Command::CheckGateway(file)) => report_check(&file, GatewayFile::read(&file)),
        Ok(Command::Help(text)) => print_and_succeed(&text),
        Ok(Command::Version) => {
            print_and_succeed(&format!("hemlockhitch {}", env!("CARGO_PKG_VERSION")))
        }
        Err(error) => exit_bad_input(&error),
    }
}

async fn run(file: &Path) -> ExitCode {
    let settings = match Settings::read(file) {
        Ok(settings) => settings,
        Err(error) => return exit_bad_input(&error),
    };
    let _log = init_logging(&settings.log);
    let node = match Node::start(settings).await {
        Ok(node) => node,
        Err(error) => {
            eprintln!("hemlockhitch: {error}");
            return ExitCode::from(EXIT_START_FAILED);
        }
    };
    println!("{}", node.addresses());
    wait_for_shutdown_signal().await;
    node.stop().await;
    ExitCode::SUCCESS
}

async fn run_gateway(path: &Path) -> ExitCode {
    let file = match GatewayFile::read(path) {
        Ok(file) => file,
        Err(error) => return exit_bad_input(&error),
    };
    let _log = init_logging(&file.log);
    let node = match GatewayNode::start(file).await {
        Ok(node) => node,
        Err(error) => {
            eprintln!("hemlockhitch: {error}");
            return ExitCode::from(EXIT_START_FAILED);
        }
    };
    tokio::select! {
        () = wait_for_shutdown_signal() => {}
        () = reload_on_hangup(&node, path) => {}
    }
    node.stop().await;
    ExitCode::SUCCESS
}

/// Reloads the gateway settings on each SIGHUP.
async fn reload_on_hangup(node: &GatewayNode, path: &Path) {
    let Ok(mut hangup) = signal(SignalKind::hangup()) else {
        tracing::error!(
            event = "HH0926",
            "cannot install the SIGHUP handler; settings are not reloaded"
        );
        return std::future::pending().await;
    };
    while hangup.recv().await.is_some() {
        node.reload(GatewayFile::read(path));
    }
}

fn block_on_runtime(mut builder: Builder, task: impl Future<Output = ExitCode>) -> ExitCode {
    match builder.enable_all().build() {
        Ok(runtime) => runtime.block_on(task),
        Err(error) => {
            eprintln!(
                "hemlockhitch: cannot start the async runtime: {error}; free memory and file descriptors"
            );
            ExitCode::from(EXIT_START_FAILED)
        }
    }
}

fn report_check<T>(file: &Path, read: Result<T, SettingsError>) -> ExitCode {
    match read {
        Ok(_) => print_and_succeed(&format!("{}: settings are valid", file.display())),
        Err(error) => exit_bad_input(&error),
    }
}

/// Waits for SIGTERM or SIGINT; returns at once if the handlers cannot be installed.
async fn wait_for_shutdown_signal() {
    let terminate = signal(SignalKind::terminate());
    let interrupt = signal(SignalKind::interrupt());
    let (Ok(mut terminate), Ok(mut interrupt)) = (terminate, interrupt) else {
        tracing::error!(
            event = "HH0901",
            "cannot install the signal handlers; shutting down"
        );
        return;
    };
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
}

fn print_and_succeed(text: &str) -> ExitCode {
    println!("{text}");
    ExitCode::SUCCESS
}

fn exit_bad_input(error: &impl std::fmt::Display) -> ExitCode {
    eprintln!("hemlockhitch: {error}");
    ExitCode::from(EXIT_BAD_INPUT)
}
