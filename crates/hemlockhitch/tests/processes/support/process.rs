//! A child process of a test.

use std::io::{BufRead, BufReader, Read};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, ExitStatus, Stdio};
use std::sync::Once;
use std::thread;

/// A child process that is killed on drop.
pub struct Process {
    child: Child,
    first_line: String,
}

impl Process {
    /// Starts a node of the router.
    pub fn node(arguments: &[&str]) -> Self {
        Self::start(Path::new(env!("CARGO_BIN_EXE_hemlockhitch")), arguments)
    }

    /// Starts the stand-in with this example name.
    pub fn standin(name: &str, arguments: &[&str]) -> Self {
        Self::start(&standin_path(name), arguments)
    }

    fn start(program: &Path, arguments: &[&str]) -> Self {
        let mut child = Command::new(program)
            .args(arguments)
            .stdin(Stdio::null())
            .stdout(Stdio::piped())
            .spawn()
            .unwrap_or_else(|error| panic!("failed to start {}: {error}", program.display()));
        let mut output = BufReader::new(child.stdout.take().expect("stdout is piped"));
        let mut first_line = String::new();
        output
            .read_line(&mut first_line)
            .expect("stdout can be read");
        assert!(
            first_line.starts_with("listening "),
            "{} printed {first_line:?}",
            program.display()
        );
        thread::spawn(move || output.read_to_end(&mut Vec::new()));
        Self { child, first_line }
    }

    /// Returns the last address on the first line of the output. Stand-ins print only one.
    pub fn address(&self) -> String {
        let last = self.first_line.split_whitespace().last();
        last.expect("the first line contains an address").to_owned()
    }

    /// Returns the address that the first line of the output lists as `name=address`.
    pub fn named_address(&self, name: &str) -> String {
        let prefix = format!("{name}=");
        let found = self
            .first_line
            .split_whitespace()
            .find_map(|word| word.strip_prefix(&prefix));
        found.expect("the first line lists the address").to_owned()
    }

    /// Sends a signal by name, such as `TERM` or `STOP`.
    pub fn signal(&self, name: &str) {
        let status = Command::new("kill")
            .arg(format!("-{name}"))
            .arg(self.child.id().to_string())
            .status();
        assert!(
            status.is_ok_and(|status| status.success()),
            "failed to send SIG{name}"
        );
    }

    /// Kills the process with `SIGKILL` and waits for it to exit.
    pub fn kill(&mut self) {
        self.child.kill().expect("the process can be killed");
        self.child.wait().expect("the process exits");
    }

    /// Returns the exit status, or `None` while the process is running.
    pub fn exit_status(&mut self) -> Option<ExitStatus> {
        self.child.try_wait().expect("the exit status can be read")
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// Returns the path of a stand-in. The first call builds all stand-ins.
fn standin_path(name: &str) -> PathBuf {
    static BUILD: Once = Once::new();
    BUILD.call_once(build_standins);
    let node = PathBuf::from(env!("CARGO_BIN_EXE_hemlockhitch"));
    let directory = node
        .parent()
        .expect("the node binary has a parent directory");
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
    let status = command.status().expect("cargo can be started");
    assert!(status.success(), "failed to build the stand-ins");
}
