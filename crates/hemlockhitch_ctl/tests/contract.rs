//! Tests the command line against the routes that a node serves.

use std::net::SocketAddr;

use hemlockhitch_config::admin::{
    AdminError, AdminErrorCode, ChangeAnswer, DeferredStatus, Explanation, Progress, Status,
};
use hemlockhitch_config::{Change, ConfigStore, Configuration, NumberedChange};
use hemlockhitch_ctl::{Environment, run};
use hemlockhitch_http::admin::{Administration, OperatorToken, Operators, Role, routes};
use hemlockhitch_http::server::ApiServer;
use hemlockhitch_model::{Now, RequestId};
use hemlockhitch_ports::key_value::MemoryKeyValue;
use insta::assert_snapshot;
use sha2::{Digest, Sha256};

const SHEET: &str = concat!(env!("CARGO_MANIFEST_DIR"), "/../../examples/karjamaa.csv");
const NOW: Now = Now {
    mono_ms: 0,
    unix_ms: 1_796_331_600_000,
};

#[derive(Clone)]
struct Node {
    store: ConfigStore<MemoryKeyValue>,
    configuration: std::sync::Arc<std::sync::Mutex<Configuration>>,
}

impl Administration for Node {
    fn configuration(&self) -> Configuration {
        self.configuration.lock().unwrap().clone()
    }

    async fn submit(&self, change: Change) -> Result<ChangeAnswer, AdminError> {
        let outcome = self.store.submit(change, NOW).await?;
        *self.configuration.lock().unwrap() = self.store.load().await?;
        Ok(outcome.into())
    }

    fn progress(&self, generation: u64) -> Progress {
        Progress {
            generation,
            in_force: vec!["node-1".into()],
            waiting: Vec::new(),
            accepted: true,
        }
    }

    async fn history(&self, after: u64) -> Result<Vec<NumberedChange>, AdminError> {
        Ok(self.store.history(after).await?)
    }

    fn status(&self) -> Status {
        Status {
            node: "node-1".into(),
            generation: self.configuration().generation,
            nodes: Vec::new(),
            endpoints: Vec::new(),
            stopped_roll_outs: Vec::new(),
        }
    }

    async fn explain(&self, _request: RequestId) -> Result<Explanation, AdminError> {
        Err(AdminError::new(
            AdminErrorCode::NotFound,
            "no such request",
            "check its id",
        ))
    }

    async fn deferred(&self) -> Result<Vec<DeferredStatus>, AdminError> {
        Ok(Vec::new())
    }
}

fn token(name: &str, role: Role) -> OperatorToken {
    OperatorToken {
        name: name.to_owned(),
        token_sha256: Sha256::digest(name.as_bytes()).into(),
        role,
        organisation: None,
    }
}

#[tokio::test]
async fn commands_match_the_served_routes() {
    let node = Node {
        store: ConfigStore::new(MemoryKeyValue::new()),
        configuration: std::sync::Arc::default(),
    };
    let operators = Operators::new([token("planner", Role::Operate), token("viewer", Role::Read)]);
    let any_port = SocketAddr::from(([127, 0, 0, 1], 0));
    let server = ApiServer::start(any_port, routes(&node, &operators)).await;
    let address = server.expect("bind to a free port").address().to_string();
    let lines = [
        ("planner", "sheet apply SHEET --wait --json"),
        ("viewer", "sheet diff SHEET"),
        ("viewer", "data-centre out tallinn-a"),
        ("stranger", "show"),
        ("planner", "data-centre out tallinn-a --wait"),
        ("planner", "data-centre in nowhere"),
        ("planner", "rollout start loom-pro@1 loom-mini@3 --share 5"),
        ("viewer", "history --after 1"),
        ("viewer", "progress 2"),
        ("viewer", "explain 00000000000000000000000000000001"),
        ("viewer", "deferred"),
        ("viewer", "status"),
    ];
    let mut text = String::new();
    for (token, line) in lines {
        let words = line
            .split_whitespace()
            .map(|word| word.replace("SHEET", SHEET));
        let words = ["--node".to_owned(), address.clone()]
            .into_iter()
            .chain(words);
        let environment = Environment {
            token: Some(token.to_owned()),
        };
        let (mut out, mut err) = (Vec::new(), Vec::new());
        let exit = run(words, environment, &mut out, &mut err).await;
        let out = String::from_utf8_lossy(&out).replace(SHEET, "SHEET");
        let err = String::from_utf8_lossy(&err).replace(&address, "NODE");
        text.push_str(&format!("{token} $ {line}\n{out}{err}[{}]\n", exit.code()));
    }
    let change_row = text.lines().find(|line| line.starts_with("2  "));
    let change_id = change_row
        .and_then(|line| line.split_whitespace().nth(3))
        .expect("change ID");
    let text = text.replace(&change_id.to_owned(), "ID");
    assert_snapshot!(text, @r#"
    planner $ sheet apply SHEET --wait --json
    {
      "generation": 1,
      "in_force": [
        "node-1"
      ],
      "waiting": [],
      "accepted": true
    }
    [0]
    viewer $ sheet diff SHEET
    0 rows added, 0 changed, 0 removed, 0 states kept
    [0]
    viewer $ data-centre out tallinn-a
    refused by node NODE: the token permits reading only; use a token with the role operate
    [1]
    stranger $ show
    refused by node NODE: the operator's token is missing or unknown; send a token from the node's settings as `Authorization: Bearer TOKEN`
    [1]
    planner $ data-centre out tallinn-a --wait
    generation 2 is accepted, in force on 1 nodes
    [0]
    planner $ data-centre in nowhere
    no data_centre "nowhere"; there are maardu-c, tallinn-a, tallinn-b
    [2]
    planner $ rollout start loom-pro@1 loom-mini@3 --share 5
    refused by node NODE: configuration store: roll_out/loom-mini@3, to_version: loom-mini@3 is not a version of loom-pro; name two versions of one model; nothing was written; correct the change
    [1]
    viewer $ history --after 1
    generation  at                    author   id                                rows
    2           2026-12-03T21:00:00Z  planner  ID  data_centre/tallinn-a
    [0]
    viewer $ progress 2
    generation 2 is accepted, in force on 1 nodes
    [0]
    viewer $ explain 00000000000000000000000000000001
    refused by node NODE: no such request; check its id
    [1]
    viewer $ deferred
    request  organisation  model  state  admitted  deadline  attempts
    [0]
    viewer $ status
    node node-1 at generation 2

    node  data centre  state  generation  heard

    endpoint  service  data centre  state  in flight  limit  report  owner
    [0]
    "#);
}
