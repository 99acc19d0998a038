//! Drivers of the second review's scripts: `review-cases CASE FOLDER` plays a case, writes
//! `record.txt` to the folder and exits with 1 if the rule was broken, with 0 if it held and
//! with 2 if the case could not run. With `TROUBLE=0` the disruption is left out.

mod cases;
mod client;
mod engine;
mod http;
mod json;
mod node;
mod record;
mod store;

use std::env;
use std::panic::{catch_unwind, AssertUnwindSafe};
use std::path::PathBuf;
use std::process::ExitCode;

use cases::{Case, Verdict};
use record::Record;

fn main() -> ExitCode {
    let mut arguments = env::args().skip(1);
    let (Some(name), Some(folder)) = (arguments.next(), arguments.next()) else {
        eprintln!("review-cases CASE FOLDER");
        return ExitCode::from(2);
    };
    let folder = PathBuf::from(folder);
    let has_trouble = env::var("TROUBLE").as_deref() != Ok("0");
    let temporary = env::temp_dir().join(format!("review-case-{}", std::process::id()));
    let record = Record::new();
    let played = std::fs::create_dir_all(&temporary)
        .map_err(|error| error.to_string())
        .and_then(|()| {
            let case = Case {
                record: record.clone(),
                has_trouble,
                temporary: temporary.clone(),
            };
            // A stand-in that fails is no broken rule.
            let played = catch_unwind(AssertUnwindSafe(|| case.play(&name)));
            played.unwrap_or_else(|_| Err("a stand-in failed".to_owned()))
        });
    let (code, line) = match played {
        Ok(Verdict::Held(line)) => (0, format!("held: {line}")),
        Ok(Verdict::Broken(line)) => (1, format!("broken: {line}")),
        Err(error) => (2, format!("could not run: {error}")),
    };
    record.add(line.clone());
    record.write(&folder);
    println!("{line}");
    if env::var_os("KEEP").is_none() {
        // What is left in the system's temporary folder does no harm.
        let _ = std::fs::remove_dir_all(&temporary);
    }
    ExitCode::from(code)
}
