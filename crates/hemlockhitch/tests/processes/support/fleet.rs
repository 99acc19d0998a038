//! A fleet: the platform, endpoints and nodes.

use std::fs;
use std::path::PathBuf;
use std::time::Duration;

use hemlockhitch_client::{HttpClient, HttpError, json_request};
use hemlockhitch_config::admin::{ChangeAnswer, Progress, progress_path};
use hemlockhitch_config::{Change, Configuration, Row, RowEdit};
use hemlockhitch_model::ChangeId;
use hemlockhitch_ports::vm_list::Vm;
use hemlockhitch_standin::caller::{Caller, ChatRequest};
use http::{Method, header};
use serde::Serialize;
use serde::de::DeserializeOwned;

use super::process::Process;
use super::rows::{CALLER_TOKEN, DATA_CENTRES, rows};
use super::wait::{eventually, until};

/// The operator's token.
pub const OPERATOR_TOKEN: &str = "token-operator";

/// SHA-256 of the operator's token.
const OPERATOR_TOKEN_SHA256: &str =
    "af5bfcc34d20234ae0bc05473d87a67a477d51ce8ecac77a4fb895b9be222ede";

/// The longest wait for one answer.
const LIMIT: Duration = Duration::from_secs(10);

/// How many of each kind of process a fleet has.
#[derive(Clone, Copy, Debug)]
pub struct FleetPlan {
    pub nodes: usize,
    pub engines: usize,
    pub services: usize,
}

/// A running fleet.
pub struct Fleet {
    pub key_value: Process,
    pub vm_list: Process,
    pub engines: Vec<Process>,
    pub services: Vec<Process>,
    pub nodes: Vec<Process>,
    client: HttpClient,
    directory: PathBuf,
    started: usize,
}

impl Fleet {
    /// Starts a fleet and waits until its configuration is in force everywhere.
    pub async fn start(plan: FleetPlan) -> Self {
        let key_value = Process::standin("standin_key_value", &[]);
        let vm_list = Process::standin("standin_vm_list", &[]);
        let engines = (0..plan.engines)
            .map(|_| Process::standin("standin_engine", &["--token-ms", "5"]))
            .collect();
        let services = (0..plan.services)
            .map(|_| Process::standin("standin_plain_service", &[]))
            .collect();
        let mut fleet = Self {
            key_value,
            vm_list,
            engines,
            services,
            nodes: Vec::new(),
            client: HttpClient::new(),
            directory: temporary_directory(),
            started: 0,
        };
        for _ in 0..plan.nodes {
            fleet.add_node();
        }
        fleet.publish_vms().await;
        fleet.apply_sample().await;
        fleet.wait_until_ready().await;
        fleet.wait_until_serving().await;
        fleet
    }

    /// Waits until every node has had a completion served.
    pub async fn wait_until_serving(&self) {
        for node in 0..self.nodes.len() {
            let caller = self.caller(node);
            until("the node serves", || async {
                let reply = caller.chat(&ChatRequest::new("small", "warm-up")).await;
                reply.is_ok_and(|reply| reply.complete)
            })
            .await;
        }
    }

    /// Starts one more node; the VM list does not show it yet.
    pub fn add_node(&mut self) {
        let index = self.started;
        self.started += 1;
        let settings = self.write_settings(index);
        let settings = settings.display().to_string();
        self.nodes.push(Process::node(&["--settings", &settings]));
    }

    /// Shows every running node on the VM list.
    pub async fn publish_vms(&self) {
        let vms: Vec<Vm> = self.nodes.iter().enumerate().map(vm).collect();
        let path = "/vms";
        let _: serde_json::Value = self
            .client
            .post_json(&self.vm_list.address(), path, &vms, LIMIT)
            .await
            .expect("the VM list takes the list");
    }

    /// Returns a caller of one node.
    pub fn caller(&self, node: usize) -> Caller {
        Caller::new(self.nodes[node].named_address("callers"), CALLER_TOKEN)
    }

    /// Returns the configuration that a node has in force.
    pub async fn configuration(&self, node: usize) -> Result<Configuration, HttpError> {
        self.get(node, "/admin/v1/configuration").await
    }

    /// Submits rows through a node; returns its answer.
    pub async fn submit(&self, node: usize, rows: Vec<Row>) -> Result<ChangeAnswer, HttpError> {
        let base = self.configuration(node).await?;
        let edits = rows.into_iter().map(|row| RowEdit {
            key: row.key(),
            row: Some(row),
        });
        let change = Change {
            id: ChangeId::random(),
            base_generation: base.generation,
            author: "test".to_owned(),
            at_unix_ms: 0,
            edits: edits.collect(),
        };
        self.post(node, "/admin/v1/changes", &change).await
    }

    /// Submits rows and waits until every node has confirmed them.
    pub async fn apply(&self, node: usize, rows: Vec<Row>) -> u64 {
        let answer = self.submit(node, rows).await.expect("the change is taken");
        let ChangeAnswer::Written { generation } = answer else {
            panic!("the change meets a conflict: {answer:?}");
        };
        until("the change is accepted", || async {
            let path = progress_path(generation);
            let progress: Result<Progress, HttpError> = self.get(node, &path).await;
            progress.is_ok_and(|progress| progress.accepted)
        })
        .await;
        generation
    }

    /// Posts a fault to a stand-in.
    pub async fn fault(&self, standin: &Process, fault: &serde_json::Value) {
        let _: serde_json::Value = self
            .client
            .post_json(&standin.address(), "/faults", fault, LIMIT)
            .await
            .expect("the stand-in takes the fault");
    }

    /// Reads the statistics of a stand-in.
    pub async fn stats(&self, standin: &Process) -> serde_json::Value {
        let address = standin.address();
        let stats = self.client.get_json(&address, "/stats", LIMIT).await;
        stats.expect("the stand-in tells its statistics")
    }

    async fn apply_sample(&self) {
        let engines: Vec<String> = self.engines.iter().map(Process::address).collect();
        let services: Vec<String> = self.services.iter().map(Process::address).collect();
        let rows = rows(&engines, &services);
        eventually("the first change is taken", || async {
            self.submit(0, rows.clone()).await.ok()
        })
        .await;
    }

    /// Waits until every node says that it takes work.
    pub async fn wait_until_ready(&self) {
        for node in &self.nodes {
            let address = node.named_address("callers");
            until("the node is ready", || async {
                let request = json_request(Method::GET, &address, "/readyz", Vec::new());
                let request = request.expect("a valid request");
                let answer = self.client.fetch(request, LIMIT).await;
                answer.is_ok_and(|answer| answer.status.is_success())
            })
            .await;
        }
    }

    async fn get<T: DeserializeOwned>(&self, node: usize, path: &str) -> Result<T, HttpError> {
        self.ask(Method::GET, node, path, Vec::new()).await
    }

    async fn post<T: DeserializeOwned>(
        &self,
        node: usize,
        path: &str,
        message: &impl Serialize,
    ) -> Result<T, HttpError> {
        let body = serde_json::to_vec(message).expect("a message");
        self.ask(Method::POST, node, path, body).await
    }

    async fn ask<T: DeserializeOwned>(
        &self,
        method: Method,
        node: usize,
        path: &str,
        body: Vec<u8>,
    ) -> Result<T, HttpError> {
        let address = self.nodes[node].named_address("operators");
        let mut request = json_request(method, &address, path, body)?;
        let bearer = format!("Bearer {OPERATOR_TOKEN}");
        let bearer = bearer.parse().expect("a valid header");
        request.headers_mut().insert(header::AUTHORIZATION, bearer);
        self.client.fetch_json(request, LIMIT).await
    }

    fn write_settings(&self, index: usize) -> PathBuf {
        let data_centre = DATA_CENTRES[index % DATA_CENTRES.len()];
        let text = format!(
            "[node]\nname = n-{index}\ndata_centre = {data_centre}\nregion = north\n\
             [listen]\ncallers = 127.0.0.1:0\noperators = 127.0.0.1:0\npeers = 127.0.0.1:0\n\
             metrics = 127.0.0.1:0\n\
             [platform]\nkey_value = {}\nvm_list = {}\n\
             [operators]\ntoken.test = {OPERATOR_TOKEN_SHA256} operate\n\
             [log]\nlevel = warn\n",
            self.key_value.address(),
            self.vm_list.address(),
        );
        let path = self.directory.join(format!("n-{index}.ini"));
        fs::write(&path, text).expect("the settings can be written");
        path
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        let _ = fs::remove_dir_all(&self.directory);
    }
}

fn vm((index, node): (usize, &Process)) -> Vm {
    Vm {
        name: format!("n-{index}").into(),
        peer_address: node.named_address("peers"),
        data_centre: DATA_CENTRES[index % DATA_CENTRES.len()].into(),
        leaving: false,
    }
}

fn temporary_directory() -> PathBuf {
    let name = format!("hemlockhitch-{}", ChangeId::random());
    let path = std::env::temp_dir().join(name);
    fs::create_dir_all(&path).expect("a temporary directory");
    path
}
