//! The command line against a node's administration API.

mod support;

use std::fmt::Write;
use std::fs;

use hemlockhitch_config::Configuration;
use hemlockhitch_config::admin::{ChangeAnswer, Progress, Status};
use hemlockhitch_standin::server::ClosedPort;
use insta::assert_snapshot;

use support::{ChangeFault, Node, TOKEN, progress, request_id, run_with_token};

const SHEET: &str = concat!(env!("CARGO_MANIFEST_DIR"), "/../../examples/midlands.csv");

/// Runs commands in turn and notes their codes and output.
async fn transcript(node: &Node, lines: &[&str]) -> String {
    let mut text = String::new();
    for line in lines {
        let ran = node.run(&line.replace("SHEET", SHEET)).await;
        let output = format!("{}{}", ran.out, ran.err)
            .replace(SHEET, "SHEET")
            .replace(&node.address(), "NODE");
        let _ = write!(text, "$ {line}\n{output}[{}]\n", ran.code);
    }
    text
}

async fn node_with_sheet() -> Node {
    let node = Node::start().await;
    let ran = node.run(&format!("sheet apply {SHEET} --json")).await;
    assert_eq!(ran.code, 0, "{}", ran.err);
    node
}

#[tokio::test]
async fn wrong_command_lines_have_code_2() {
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
        let ran = run_with_token(&words, Some(TOKEN)).await;
        let _ = writeln!(table, "{line} [{}]: {}", ran.code, ran.err.trim_end());
    }
    let ran = run_with_token(&["status", "--node", "127.0.0.1:1"], None).await;
    let _ = writeln!(
        table,
        "without token [{}]: {}",
        ran.code,
        ran.err.trim_end()
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
async fn help_shows_the_command_its_options_and_the_codes() {
    let ran = run_with_token(&["rollout", "start", "--help"], None).await;
    assert_eq!(ran.code, 0);
    assert_snapshot!(ran.out, @r#"
    usage: hemlockhitchctl [options] COMMAND

    commands:
      rollout start FROM TO      Give a new version a share of the old one's new sessions; --share is needed.

    options:
      --node IP:PORT     a node's address for operators
      --token-file FILE  file with the operator's token; else HEMLOCKHITCH_TOKEN
      --json             print JSON
      -h, --help         print this help
      --wait             wait until the change is in force everywhere
      --wait-ms MS       how long to wait, in milliseconds; 30000 if left out
      --share PERCENT    share of new sessions that the new version gets

    exit codes:
      0  done, or nothing to do
      1  refused, or others changed the same rows first; nothing was changed
      2  the command line, the sheet or another file is wrong
      3  the node cannot be reached, or its answer was lost
      4  written, but not yet in force everywhere
    "#);
    let all = run_with_token(&[], None).await;
    assert_eq!(all.out.matches("\n  sheet ").count(), 3);
}

#[tokio::test]
async fn operators_commands_change_rows() {
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
    let show = node.run("show").await.out;
    let row = show
        .lines()
        .find(|line| line.contains("allowance/derby/pull-large@2"));
    assert!(
        row.is_some_and(|row| row.ends_with("share_percent=100")),
        "{row:?}"
    );
}

#[tokio::test]
async fn views_show_tables() {
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
    let history = node.run("history").await.out;
    assert!(history.contains("and 91 more"), "{history}");
    assert_eq!(node.run("history --after 1").await.out.lines().count(), 1);
}

#[tokio::test]
async fn json_is_the_message_of_the_api() {
    let node = node_with_sheet().await;
    let status = node.run("status --json").await.out;
    serde_json::from_str::<Status>(&status).expect("a status");
    let configuration = node.run("show --json").await.out;
    serde_json::from_str::<Configuration>(&configuration).expect("a configuration");
    let answer = node.run("endpoint out pull-app-1 --json").await.out;
    let answer: ChangeAnswer = serde_json::from_str(&answer).expect("an answer");
    assert_eq!(answer, ChangeAnswer::Written { generation: 2 });
    node.state.script_progress([progress(&["a"], &[])]);
    let done = node.run("endpoint in pull-app-1 --json --wait").await.out;
    serde_json::from_str::<Progress>(&done).expect("a progress");
}

#[tokio::test]
async fn exported_sheet_is_the_configuration_in_force() {
    let node = node_with_sheet().await;
    let path = std::env::temp_dir().join(format!("hemlockhitch-{}.csv", std::process::id()));
    fs::write(&path, node.run("show --csv").await.out).expect("a file for the sheet");
    let ran = node.run(&format!("sheet diff {}", path.display())).await;
    fs::remove_file(&path).expect("the file exists");
    assert_eq!(
        ran.out,
        "0 rows added, 0 changed, 0 removed, 0 states kept\n"
    );
}

#[tokio::test]
async fn conflict_names_rows_and_what_to_do() {
    let node = node_with_sheet().await;
    node.state
        .serve_stale(node.state.store.load().await.expect("up"));
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
async fn lost_answers_write_once() {
    use ChangeFault::{AnswerLost, OutcomeUnknown, StoreDown};
    let cases = [
        ("answer lost", vec![AnswerLost]),
        ("outcome unknown", vec![OutcomeUnknown]),
        ("lost, then store down", vec![AnswerLost, StoreDown]),
        ("unknown, then lost", vec![OutcomeUnknown, AnswerLost]),
        ("store down", vec![StoreDown]),
        (
            "never known",
            vec![AnswerLost, StoreDown, StoreDown, StoreDown, StoreDown],
        ),
    ];
    let mut table = String::new();
    for (name, faults) in cases {
        let node = node_with_sheet().await;
        node.state.script_faults(faults);
        let ran = node.run("endpoint out pull-app-1").await;
        let generation = node.state.store.load().await.expect("up").generation;
        let said = format!("{}{}", ran.out, ran.err);
        let said: Vec<&str> = said.split_whitespace().take(2).collect();
        let said = said.join(" ");
        let _ = writeln!(table, "{name} [{}] at {generation}: {said}", ran.code);
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
async fn wait_tells_where_a_change_is_not_in_force() {
    let node = node_with_sheet().await;
    node.state.script_progress([
        progress(&["a"], &["b", "c"]),
        progress(&["a"], &["b", "c"]),
        progress(&["a", "b"], &["c"]),
        progress(&["a", "b", "c"], &[]),
    ]);
    let accepted = transcript(&node, &["endpoint out pull-app-1 --wait"]).await;
    node.state.script_progress([progress(&["a", "b"], &["c"])]);
    let late = transcript(&node, &["endpoint in pull-app-1 --wait-ms 0"]).await;
    assert_snapshot!(format!("{accepted}{late}"), @r#"
    $ endpoint out pull-app-1 --wait
    generation 1 is written, in force on 1 nodes, not confirmed by b, c
    generation 1 is written, in force on 2 nodes, not confirmed by c
    generation 1 is accepted, in force on 3 nodes
    [0]
    $ endpoint in pull-app-1 --wait-ms 0
    generation 1 is written, in force on 2 nodes, not confirmed by c; it stays written: see whether these nodes are cut off, and look again with: progress 1
    [4]
    "#);
}

#[tokio::test]
async fn node_that_cannot_be_used_is_named() {
    let closed = ClosedPort::take().expect("a free port");
    let address = closed.address().expect("an address").to_string();
    let ran = run_with_token(&["status", "--node", &address], Some(TOKEN)).await;
    assert_eq!(ran.code, 3);
    assert!(
        ran.err
            .starts_with(&format!("node {address}: cannot connect"))
    );
    let node = Node::start().await;
    let ran = node.run("status --token-file /dev/null").await;
    assert_eq!(ran.code, 1);
    assert!(
        ran.err
            .contains("the token is not known; use an operator's token")
    );
}

#[tokio::test]
async fn sheet_that_lacks_most_rows_needs_a_word() {
    let node = node_with_sheet().await;
    let path = std::env::temp_dir().join(format!("hemlockhitch-cut-{}.csv", std::process::id()));
    let text = fs::read_to_string(SHEET).expect("the sample");
    let cut: Vec<&str> = text.lines().take(10).collect();
    fs::write(&path, cut.join("\n")).expect("a file for the sheet");
    let refused = node.run(&format!("sheet apply {}", path.display())).await;
    let taken = node
        .run(&format!("sheet apply --remove-most {}", path.display()))
        .await;
    fs::remove_file(&path).expect("the file exists");
    assert_eq!(refused.code, 2);
    assert_snapshot!(refused.err, @"the sheet lacks 85 of the 95 rows in force; check that it is whole, then repeat with --remove-most");
    assert_eq!(taken.code, 0, "{}", taken.err);
}
