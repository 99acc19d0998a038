//! Tests the command line against a test double of the administration API.

mod support;

use std::fmt::Write;
use std::fs;

use hemlockhitch_config::Configuration;
use hemlockhitch_config::admin::{ChangeAnswer, Progress, Status};
use hemlockhitch_standin::server::ClosedPort;
use insta::assert_snapshot;

use support::{ChangeFault, Node, TOKEN, progress, request_id, run_command};

const SHEET: &str = concat!(env!("CARGO_MANIFEST_DIR"), "/../../examples/midlands.csv");

/// Runs commands in order and records their output and exit codes.
async fn transcript(node: &Node, lines: &[&str]) -> String {
    let mut text = String::new();
    for line in lines {
        let output = node.run(&line.replace("SHEET", SHEET)).await;
        let printed = format!("{}{}", output.stdout, output.stderr)
            .replace(SHEET, "SHEET")
            .replace(&node.address(), "NODE");
        let _ = write!(text, "$ {line}\n{printed}[{}]\n", output.exit_code);
    }
    text
}

async fn node_with_sheet() -> Node {
    let node = Node::start().await;
    let output = node.run(&format!("sheet apply {SHEET} --json")).await;
    assert_eq!(output.exit_code, 0, "{}", output.stderr);
    node
}

#[tokio::test]
async fn invalid_command_lines_exit_with_code_2() {
    let lines = [
        "no-such-command",
        "sheet apply",
        "sheet apply one two",
        "status --share 3",
        "rollout start a@1 a@2",
        "rollout start a@1 a@2 --share 101",
        "explain 12",
        "progress now",
        "--frob",
        "status",
        "sheet check no-such-file.csv",
    ];
    let mut table = String::new();
    for line in lines {
        let words: Vec<&str> = line.split_whitespace().collect();
        let output = run_command(&words, Some(TOKEN)).await;
        let _ = writeln!(
            table,
            "{line} [{}]: {}",
            output.exit_code,
            output.stderr.trim_end()
        );
    }
    let output = run_command(&["status", "--node", "127.0.0.1:1"], None).await;
    let _ = writeln!(
        table,
        "without token [{}]: {}",
        output.exit_code,
        output.stderr.trim_end()
    );
    assert_snapshot!(table, @r#"
    no-such-command [2]: no command "no-such-command"; see --help
    sheet apply [2]: hemlockhitchctl sheet apply takes 1 arguments, not 0; see hemlockhitchctl sheet apply --help
    sheet apply one two [2]: hemlockhitchctl sheet apply takes 1 arguments, not 2; see hemlockhitchctl sheet apply --help
    status --share 3 [2]: hemlockhitchctl status has no option --share; see hemlockhitchctl status --help
    rollout start a@1 a@2 [2]: --share is missing; write a percentage
    rollout start a@1 a@2 --share 101 [2]: --share: 101 is out of bounds; write a percentage from 0 to 100
    explain 12 [2]: "12" is not an identifier; use 32 hexadecimal digits
    progress now [2]: "now" is not a generation; write a number
    --frob [2]: Unrecognized option: 'frob'; see --help
    status [2]: --node is missing; give a node's address for operators, ip:port
    sheet check no-such-file.csv [2]: no-such-file.csv cannot be read: No such file or directory (os error 2); check the path
    without token [2]: no token; set HEMLOCKHITCH_TOKEN or give --token-file
    "#);
}

#[tokio::test]
async fn help_shows_subcommand_options_and_exit_codes() {
    let output = run_command(&["rollout", "start", "--help"], None).await;
    assert_eq!(output.exit_code, 0);
    assert_snapshot!(output.stdout, @r#"
    usage: hemlockhitchctl [options] COMMAND

    commands:
      rollout start FROM TO      Route a share of the old version's new sessions to a new version; requires --share.

    options:
      --node IP:PORT     a node's address for operators
      --token-file FILE  file with the operator's token; else HEMLOCKHITCH_TOKEN
      --json             print JSON
      -h, --help         print this help
      --wait             wait until the change is in force on every node
      --wait-ms MS       how long to wait, in milliseconds; default 30000
      --share PERCENT    share of new sessions to route to the new version

    exit codes:
      0  done, or nothing to do
      1  refused, or others changed the same rows first; nothing was changed
      2  the command line, the sheet or another file is wrong
      3  the node cannot be reached, or its answer was lost
      4  written, but not yet in force everywhere
    "#);
    let full_help = run_command(&[], None).await;
    assert_eq!(full_help.stdout.matches("\n  sheet ").count(), 3);
}

#[tokio::test]
async fn commands_edit_configuration_rows() {
    let node = node_with_sheet().await;
    let lines = [
        "sheet diff SHEET",
        "sheet apply SHEET",
        "version withdraw pull-small@2",
        "version withdraw pull-small@2",
        "version withdraw pull-tiny@1",
        "sheet diff SHEET",
        "version restore pull-small@2",
        "data-centre out em-b",
        "data-centre in em-b",
        "endpoint out pull-app-1",
        "rollout start pull-large@1 pull-large@2 --share 10",
        "rollout resume pull-large@2 --share 10",
        "rollout start pull-large@1 pull-large@2 --share 25",
        "rollout start pull-small@1 pull-large@2 --share 25",
        "rollout start pull-small@1 pull-large@1 --share 5",
        "rollout hold pull-large@2",
        "rollout finish pull-large@2",
        "rollout resume pull-large@2",
        "rollout finish pull-large@2",
        "rollout finish pull-large@2",
    ];
    assert_snapshot!(transcript(&node, &lines).await, @r#"
    $ sheet diff SHEET
    0 rows added, 0 changed, 0 removed, 0 states kept
    [0]
    $ sheet apply SHEET
    0 rows added, 0 changed, 0 removed, 0 states kept
    nothing to change at generation 1
    [0]
    $ version withdraw pull-small@2
    written as generation 2; see where it is in force with: progress 2
    [0]
    $ version withdraw pull-small@2
    nothing to change at generation 2
    [0]
    $ version withdraw pull-tiny@1
    no version "pull-tiny@1"; there are pull-large@1, pull-large@2, pull-small@1, pull-small@2
    [2]
    $ sheet diff SHEET
    = version/pull-small@2 keeps withdrawn = yes; undo it with: hemlockhitchctl version restore pull-small@2
    0 rows added, 0 changed, 0 removed, 1 states kept
    [0]
    $ version restore pull-small@2
    written as generation 3; see where it is in force with: progress 3
    [0]
    $ data-centre out em-b
    written as generation 4; see where it is in force with: progress 4
    [0]
    $ data-centre in em-b
    written as generation 5; see where it is in force with: progress 5
    [0]
    $ endpoint out pull-app-1
    written as generation 6; see where it is in force with: progress 6
    [0]
    $ rollout start pull-large@1 pull-large@2 --share 10
    the roll-out of pull-large@2 is not running; use: rollout resume pull-large@2 --share 10
    [2]
    $ rollout resume pull-large@2 --share 10
    written as generation 7; see where it is in force with: progress 7
    [0]
    $ rollout start pull-large@1 pull-large@2 --share 25
    written as generation 8; see where it is in force with: progress 8
    [0]
    $ rollout start pull-small@1 pull-large@2 --share 25
    pull-large@2 already replaces pull-large@1; finish that roll-out first
    [2]
    $ rollout start pull-small@1 pull-large@1 --share 5
    refused by node NODE: configuration store: roll_out/pull-large@1, to_version: pull-large@1 is not a version of pull-small; name two versions of one model; nothing was written; correct the change
    [1]
    $ rollout hold pull-large@2
    written as generation 9; see where it is in force with: progress 9
    [0]
    $ rollout finish pull-large@2
    the roll-out of pull-large@2 is not running; resume it before it is finished
    [2]
    $ rollout resume pull-large@2
    written as generation 10; see where it is in force with: progress 10
    [0]
    $ rollout finish pull-large@2
    written as generation 11; see where it is in force with: progress 11
    [0]
    $ rollout finish pull-large@2
    no roll_out "pull-large@2"; there is none
    [2]
    "#);
    let show = node.run("show").await.stdout;
    let row = show
        .lines()
        .find(|line| line.contains("allowance/derby/pull-large@2"));
    assert!(
        row.is_some_and(|row| row.ends_with("share_percent=100")),
        "{row:?}"
    );
}

#[tokio::test]
async fn views_print_tables() {
    let node = node_with_sheet().await;
    let explain = format!("explain {}", request_id());
    let lines = [
        "status",
        &explain,
        "deferred",
        "explain 00000000000000000000000000000001",
    ];
    assert_snapshot!(transcript(&node, &lines).await, @r#"
    $ status
    node em-a-1 at generation 7

    node    data centre  state    generation  heard
    em-b-1  em-b         suspect  6           2300 ms ago

    endpoint        service       data centre  state  in flight  limit  report      owner
    hitch-models-1  hitch-models  em-a         cold   1          2      400 ms ago  none

    roll-out of pull-large@2 was stopped at 2026-12-03T21:00:00Z: 9 errors in 40 requests, baseline 0 in 800; go on with: rollout resume pull-large@2
    [0]
    $ explain 00000000000000000000000000000abc
    request 00000000000000000000000000000abc of derby, class till, by node em-a-1 at generation 7

    at                    stage    version  endpoint    reason
    2026-12-03T21:00:00Z  claimed           pull-app-1  not idempotent
    [0]
    $ deferred
    request                           organisation  model       state    admitted              deadline              attempts
    00000000000000000000000000000abc  derby         pull-small  waiting  2026-12-03T21:00:00Z  2026-12-04T08:00:00Z  0
    [0]
    $ explain 00000000000000000000000000000001
    refused by node NODE: no such request; check its id
    [1]
    "#);
    let history = node.run("history").await.stdout;
    assert!(history.contains("and 91 more"), "{history}");
    assert_eq!(
        node.run("history --after 1").await.stdout.lines().count(),
        1
    );
}

#[tokio::test]
async fn json_output_is_the_api_message() {
    let node = node_with_sheet().await;
    let status = node.run("status --json").await.stdout;
    serde_json::from_str::<Status>(&status).expect("valid status");
    let configuration = node.run("show --json").await.stdout;
    serde_json::from_str::<Configuration>(&configuration).expect("valid configuration");
    let answer = node.run("endpoint out pull-app-1 --json").await.stdout;
    let answer: ChangeAnswer = serde_json::from_str(&answer).expect("valid response");
    assert_eq!(answer, ChangeAnswer::Written { generation: 2 });
    node.handle.set_progress_responses([progress(&["a"], &[])]);
    let done = node
        .run("endpoint in pull-app-1 --json --wait")
        .await
        .stdout;
    serde_json::from_str::<Progress>(&done).expect("valid progress");
}

#[tokio::test]
async fn exported_sheet_equals_the_configuration() {
    let node = node_with_sheet().await;
    let path = std::env::temp_dir().join(format!("hemlockhitch-{}.csv", std::process::id()));
    fs::write(&path, node.run("show --csv").await.stdout).expect("write the sheet file");
    let output = node.run(&format!("sheet diff {}", path.display())).await;
    fs::remove_file(&path).expect("remove the sheet file");
    assert_eq!(
        output.stdout,
        "0 rows added, 0 changed, 0 removed, 0 states kept\n"
    );
}

#[tokio::test]
async fn conflict_lists_rows_and_remedy() {
    let node = node_with_sheet().await;
    node.handle
        .serve_stale_configuration(node.handle.store.load().await.expect("store is available"));
    let lines = [
        "data-centre out em-b",
        "endpoint out pull-app-1",
        "data-centre out em-b",
    ];
    assert_snapshot!(transcript(&node, &lines).await, @r#"
    $ data-centre out em-b
    written as generation 2; see where it is in force with: progress 2
    [0]
    $ endpoint out pull-app-1
    written as generation 3; see where it is in force with: progress 3
    [0]
    $ data-centre out em-b
    others changed these rows after generation 1 (now 3); nothing was changed:
      data_centre/em-b
    see what they did with: history --after 1; then run the command again
    [1]
    "#);
}

#[tokio::test]
async fn change_is_written_once_when_responses_are_lost() {
    use ChangeFault::{OutcomeUnknown, ResponseLost, StoreDown};
    let cases = [
        ("answer lost", vec![ResponseLost]),
        ("outcome unknown", vec![OutcomeUnknown]),
        ("lost, then store down", vec![ResponseLost, StoreDown]),
        ("unknown, then lost", vec![OutcomeUnknown, ResponseLost]),
        ("store down", vec![StoreDown]),
        (
            "never known",
            vec![ResponseLost, StoreDown, StoreDown, StoreDown, StoreDown],
        ),
    ];
    let mut table = String::new();
    for (name, faults) in cases {
        let node = node_with_sheet().await;
        node.handle.inject_faults(faults);
        let output = node.run("endpoint out pull-app-1").await;
        let generation = node
            .handle
            .store
            .load()
            .await
            .expect("store is available")
            .generation;
        let first_words = format!("{}{}", output.stdout, output.stderr);
        let first_words: Vec<&str> = first_words.split_whitespace().take(2).collect();
        let first_words = first_words.join(" ");
        let _ = writeln!(
            table,
            "{name} [{}] at {generation}: {first_words}",
            output.exit_code
        );
    }
    assert_snapshot!(table, @r#"
    answer lost [0] at 2: written as
    outcome unknown [0] at 2: written as
    lost, then store down [0] at 2: written as
    unknown, then lost [0] at 2: written as
    store down [1] at 1: refused by
    never known [3] at 2: the outcome
    "#);
}

#[tokio::test]
async fn wait_lists_nodes_without_confirmation() {
    let node = node_with_sheet().await;
    node.handle.set_progress_responses([
        progress(&["a"], &["b", "c"]),
        progress(&["a"], &["b", "c"]),
        progress(&["a", "b"], &["c"]),
        progress(&["a", "b", "c"], &[]),
    ]);
    let accepted = transcript(&node, &["endpoint out pull-app-1 --wait"]).await;
    node.handle
        .set_progress_responses([progress(&["a", "b"], &["c"])]);
    let late = transcript(&node, &["endpoint in pull-app-1 --wait-ms 0"]).await;
    assert_snapshot!(format!("{accepted}{late}"), @r#"
    $ endpoint out pull-app-1 --wait
    generation 1 is written, in force on 1 nodes, not confirmed by b, c
    generation 1 is written, in force on 2 nodes, not confirmed by c
    generation 1 is accepted, in force on 3 nodes
    [0]
    $ endpoint in pull-app-1 --wait-ms 0
    generation 1 is written, in force on 2 nodes, not confirmed by c; the change stays written: check whether these nodes are reachable, and query again with: progress 1
    [4]
    "#);
}

#[tokio::test]
async fn unusable_node_is_named_in_the_error() {
    let closed = ClosedPort::reserve().expect("bind to a free port");
    let address = closed.address().expect("local address").to_string();
    let output = run_command(&["status", "--node", &address], Some(TOKEN)).await;
    assert_eq!(output.exit_code, 3);
    assert!(
        output
            .stderr
            .starts_with(&format!("node {address}: cannot connect"))
    );
    let node = Node::start().await;
    let output = node.run("status --token-file /dev/null").await;
    assert_eq!(output.exit_code, 1);
    assert!(
        output
            .stderr
            .contains("the token is not known; use an operator's token")
    );
}

#[tokio::test]
async fn truncated_sheet_requires_remove_most() {
    let node = node_with_sheet().await;
    let path =
        std::env::temp_dir().join(format!("hemlockhitch-truncated-{}.csv", std::process::id()));
    let text = fs::read_to_string(SHEET).expect("read the sample sheet");
    let truncated: Vec<&str> = text.lines().take(10).collect();
    fs::write(&path, truncated.join("\n")).expect("write the sheet file");
    let refused = node.run(&format!("sheet apply {}", path.display())).await;
    let forced = node
        .run(&format!("sheet apply --remove-most {}", path.display()))
        .await;
    fs::remove_file(&path).expect("remove the sheet file");
    assert_eq!(refused.exit_code, 2);
    assert_snapshot!(refused.stderr, @"the sheet lacks 85 of the 95 rows in force; check that it is whole, then repeat with --remove-most");
    assert_eq!(forced.exit_code, 0, "{}", forced.stderr);
}
