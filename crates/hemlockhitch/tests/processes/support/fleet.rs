//! A deployment under test: platform stand-ins, endpoints and nodes.

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
use super::wait::{wait_for, wait_until};

/// Token of the operator.
pub const OPERATOR_TOKEN: &str = "token-operator";

/// SHA-256 of [`OPERATOR_TOKEN`].
const OPERATOR_TOKEN_SHA256: &str =
    "af5bfcc34d20234ae0bc05473d87a67a477d51ce8ecac77a4fb895b9be222ede";

/// Timeout of one request.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(10);

/// Number of processes of each kind in a fleet.
#[derive(Clone, Copy, Debug)]
pub struct FleetSize {
    pub nodes: usize,
    pub engines: usize,
    pub services: usize,
}

/// A running deployment.
pub struct Fleet {
    pub key_value: Process,
    pub vm_list: Process,
    pub engines: Vec<Process>,
    pub services: Vec<Process>,
    pub nodes: Vec<Process>,
    client: HttpClient,
    directory: PathBuf,
    nodes_started: usize,
}

impl Fleet {
    /// Starts the processes, applies the configuration and waits until every node serves
    /// requests.
    pub async fn start(size: FleetSize) -> Self {
        let key_value = Process::standin("standin_key_value", &[]);
        let vm_list = Process::standin("standin_vm_list", &[]);
        let engines = (0..size.engines)
            .map(|_| Process::standin("standin_engine", &["--token-ms", "5"]))
            .collect();
        let services = (0..size.services)
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
            nodes_started: 0,
        };
        for _ in 0..size.nodes {
            fleet.add_node();
        }
        fleet.publish_vms().await;
        fleet.apply_initial_configuration().await;
        fleet.wait_until_ready().await;
        fleet.wait_until_serving().await;
        fleet
    }

    /// Waits until every node has served a completion.
    pub async fn wait_until_serving(&self) {
        for node in 0..self.nodes.len() {
            let caller = self.caller(node);
            wait_until("the node serves", || async {
                let reply = caller.chat(&ChatRequest::new("small", "warm-up")).await;
                reply.is_ok_and(|reply| reply.complete)
            })
            .await;
        }
    }

    /// Starts another node, which is not on the VM list until
    /// [`publish_vms`](Self::publish_vms) is called.
    pub fn add_node(&mut self) {
        let index = self.nodes_started;
        self.nodes_started += 1;
        let settings = self.write_settings(index);
        let settings = settings.display().to_string();
        self.nodes.push(Process::node(&["--settings", &settings]));
    }

    /// Replaces the VM list with the current nodes.
    pub async fn publish_vms(&self) {
        let vms: Vec<Vm> = self.nodes.iter().enumerate().map(vm).collect();
        let path = "/vms";
        let _: serde_json::Value = self
            .client
            .post_json(&self.vm_list.address(), path, &vms, REQUEST_TIMEOUT)
            .await
            .expect("the VM list is accepted");
    }

    /// Returns a client of one node.
    pub fn caller(&self, node: usize) -> Caller {
        Caller::new(self.nodes[node].named_address("callers"), CALLER_TOKEN)
    }

    /// Returns the current configuration of a node.
    pub async fn configuration(&self, node: usize) -> Result<Configuration, HttpError> {
        self.get(node, "/admin/v1/configuration").await
    }

    /// Submits rows through a node and returns its response.
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

    /// Submits rows, waits until the change is accepted and returns its generation.
    pub async fn apply(&self, node: usize, rows: Vec<Row>) -> u64 {
        let response = self
            .submit(node, rows)
            .await
            .expect("the change can be submitted");
        let ChangeAnswer::Written { generation } = response else {
            panic!("the change conflicts with another one: {response:?}");
        };
        wait_until("the change is accepted", || async {
            let path = progress_path(generation);
            let progress: Result<Progress, HttpError> = self.get(node, &path).await;
            progress.is_ok_and(|progress| progress.accepted)
        })
        .await;
        generation
    }

    /// Injects a fault into a stand-in.
    pub async fn inject_fault(&self, standin: &Process, fault: &serde_json::Value) {
        let _: serde_json::Value = self
            .client
            .post_json(&standin.address(), "/faults", fault, REQUEST_TIMEOUT)
            .await
            .expect("the stand-in accepts the fault");
    }

    /// Returns the statistics of a stand-in.
    pub async fn stats(&self, standin: &Process) -> serde_json::Value {
        let address = standin.address();
        let stats = self
            .client
            .get_json(&address, "/stats", REQUEST_TIMEOUT)
            .await;
        stats.expect("the stand-in returns its statistics")
    }

    async fn apply_initial_configuration(&self) {
        let engines: Vec<String> = self.engines.iter().map(Process::address).collect();
        let services: Vec<String> = self.services.iter().map(Process::address).collect();
        let rows = rows(&engines, &services);
        wait_for("the first change is submitted", || async {
            self.submit(0, rows.clone()).await.ok()
        })
        .await;
    }

    /// Waits until every node reports that it is ready.
    pub async fn wait_until_ready(&self) {
        for node in &self.nodes {
            let address = node.named_address("callers");
            wait_until("the node is ready", || async {
                let request = json_request(Method::GET, &address, "/readyz", Vec::new());
                let request = request.expect("the request is valid");
                let response = self.client.fetch(request, REQUEST_TIMEOUT).await;
                response.is_ok_and(|response| response.status.is_success())
            })
            .await;
        }
    }

    async fn get<T: DeserializeOwned>(&self, node: usize, path: &str) -> Result<T, HttpError> {
        self.send(Method::GET, node, path, Vec::new()).await
    }

    async fn post<T: DeserializeOwned>(
        &self,
        node: usize,
        path: &str,
        message: &impl Serialize,
    ) -> Result<T, HttpError> {
        let body = serde_json::to_vec(message).expect("the message can be serialised");
        self.send(Method::POST, node, path, body).await
    }

    async fn send<T: DeserializeOwned>(
        &self,
        method: Method,
        node: usize,
        path: &str,
        body: Vec<u8>,
    ) -> Result<T, HttpError> {
        let address = self.nodes[node].named_address("operators");
        let mut request = json_request(method, &address, path, body)?;
        let bearer = format!("Bearer {OPERATOR_TOKEN}");
        let bearer = bearer.parse().expect("the header is valid");
        request.headers_mut().insert(header::AUTHORIZATION, bearer);
        self.client.fetch_json(request, REQUEST_TIMEOUT).await
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
    fs::create_dir_all(&path).expect("the temporary directory can be created");
    path
}
