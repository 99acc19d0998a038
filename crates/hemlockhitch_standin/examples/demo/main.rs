//! Runs a complete deployment in one process: stand-ins, three nodes and a mixed
//! load.
//!
//! The last line printed counts the checked properties; the exit code is a failure
//! if any of them is violated.

mod deployment;
mod load;
mod report;

use std::process::ExitCode;
use std::time::Duration;

use tokio::time::sleep;

use deployment::Deployment;
use load::Load;
use report::Report;

/// Delay before each injected fault.
const STEP_DELAY: Duration = Duration::from_millis(800);

#[tokio::main]
async fn main() -> ExitCode {
    match run().await {
        Ok(report) => {
            report.print();
            if report.passed() {
                ExitCode::SUCCESS
            } else {
                ExitCode::FAILURE
            }
        }
        Err(error) => {
            eprintln!("demo: {error}");
            ExitCode::FAILURE
        }
    }
}

async fn run() -> Result<Report, String> {
    let mut deployment = Deployment::start().await?;
    println!("demo: 3 nodes, 9 engines and 3 services run; the sheet is in force");
    let load = Load::start(&deployment.caller_addresses());
    sleep(STEP_DELAY).await;
    println!("demo: engine hitch-models-1 crashes");
    deployment.crash_engine(0);
    sleep(STEP_DELAY).await;
    println!("demo: data centre em-b is taken out");
    deployment.take_out_data_centre("em-b").await?;
    let runs_before = deployment.runs_in_taken_out_data_centre();
    let outcomes = load.finish().await;
    let runs_after = deployment.runs_in_taken_out_data_centre();
    let bill_report = deployment.stop().await?;
    let report = Report::new(outcomes, &bill_report, &deployment);
    Ok(report.runs_in_taken_out_data_centre(runs_after - runs_before))
}
