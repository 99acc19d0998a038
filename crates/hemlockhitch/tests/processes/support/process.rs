//! One process that a test starts and ends.

use std::io::{BufRead, BufReader, Read};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, ExitStatus, Stdio};
use std::sync::Once;
use std::thread;

/// A process; it is killed when it is dropped.
pub struct Process {
    child: Child,
    first_line: String,
}

impl Process {
    /// Starts the router node.
    pub fn node(arguments: &[&str]) -> Self {
        Self::start(Path::new(env!("CARGO_BIN_EXE_hemlockhitch")), arguments)
    }

    /// Starts a stand-in by the name of its example.
    pub fn standin(name: &str, arguments: &[&str]) -> Self {
        Self::start(&standin_path(name), arguments)
    }

    fn start(program: &Path, arguments: &[&str]) -> Self {
        let mut child = Command::new(program)
            .args(arguments)
            .stdin(Stdio::null())
            .stdout(Stdio::piped())
            .spawn()
            .unwrap_or_else(|error| panic!("{} does not start: {error}", program.display()));
        let mut output = BufReader::new(child.stdout.take().expect("stdout is piped"));
        let mut first_line = String::new();
        output.read_line(&mut first_line).expect("a line on stdout");
        assert!(
            first_line.starts_with("listening "),
            "{} printed {first_line:?}",
            program.display()
        );
        thread::spawn(move || output.read_to_end(&mut Vec::new()));
        Self { child, first_line }
    }

    /// Returns the only address that the process printed.
    pub fn address(&self) -> String {
        let last = self.first_line.split_whitespace().last();
        last.expect("an address").to_owned()
    }

    /// Returns the address that the process printed as `name=address`.
    pub fn named_address(&self, name: &str) -> String {
        let prefix = format!("{name}=");
        let found = self
            .first_line
            .split_whitespace()
            .find_map(|word| word.strip_prefix(&prefix));
        found.expect("a named address").to_owned()
    }

    /// Sends a signal by name, such as `TERM` or `STOP`.
    pub fn signal(&self, name: &str) {
        let status = Command::new("kill")
            .arg(format!("-{name}"))
            .arg(self.child.id().to_string())
            .status();
        assert!(status.is_ok_and(|status| status.success()), "kill failed");
    }

    /// Kills the process at once.
    pub fn kill(&mut self) {
        self.child.kill().expect("the process can be killed");
        self.child.wait().expect("the process ends");
    }

    /// Returns the exit status once the process has ended.
    pub fn ended(&mut self) -> Option<ExitStatus> {
        self.child
            .try_wait()
            .expect("the process can be waited for")
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// Returns the program of a stand-in, which is built first.
fn standin_path(name: &str) -> PathBuf {
    static BUILD: Once = Once::new();
    BUILD.call_once(build_standins);
    let node = PathBuf::from(env!("CARGO_BIN_EXE_hemlockhitch"));
    let directory = node.parent().expect("a target directory");
    directory.join("examples").join(name)
}

fn build_standins() {
    let mut command = Command::new(env!("CARGO"));
    command.args([
        "build",
        "--quiet",
        "--locked",
        "-p",
        "hemlockhitch_standin",
        "--examples",
    ]);
    if !cfg!(debug_assertions) {
        command.arg("--release");
    }
    let status = command.status().expect("cargo runs");
    assert!(status.success(), "the stand-ins do not build");
}
