//! Stand-ins and nodes of the demo.

use std::net::SocketAddr;
use std::time::Duration;

use hemlockhitch::Node;
use hemlockhitch_client::{HttpClient, json_request};
use hemlockhitch_config::admin::{CHANGES_PATH, CONFIGURATION_PATH, ChangeAnswer, Progress};
use hemlockhitch_config::settings::{LimitSettings, OperatorToken, Permission, Settings};
use hemlockhitch_config::sheet::Sheet;
use hemlockhitch_config::{Change, Configuration, Row, RowEdit};
use hemlockhitch_ledger::bill::{BillReport, read_totals};
use hemlockhitch_model::{ChangeId, Clock, SystemClock};
use hemlockhitch_ports::vm_list::Vm;
use hemlockhitch_standin::engine::{EngineFault, EngineSettings, EngineStandin};
use hemlockhitch_standin::key_value::KeyValueStandin;
use hemlockhitch_standin::plain_service::PlainServiceStandin;
use hemlockhitch_standin::vm_list::VmListStandin;
use hemlockhitch_standin::{engine, key_value, plain_service, vm_list};
use http::{Method, header};
use serde::Serialize;
use serde::de::DeserializeOwned;
use tokio::time::sleep;

/// Sheet that the demo applies.
const SHEET: &[u8] = include_bytes!("../../../../examples/midlands.csv");

/// Operator's token.
const OPERATOR_TOKEN: &str = "sample-operator";

/// SHA-256 of [`OPERATOR_TOKEN`], in hexadecimal.
const OPERATOR_TOKEN_SHA256: &str =
    "40f30f190f8192b189c2172b344c07adcd78cb27df77433b28becff026e22808";

/// Data centres; each has one node, three engines and one service.
const DATA_CENTRES: [&str; 3] = ["em-a", "em-b", "em-c"];

/// Number of engines in the sheet.
const ENGINE_COUNT: usize = 9;

/// Number of plain services in the sheet.
const SERVICE_COUNT: usize = 3;

/// Index of the data centre that is taken out.
const TAKEN_OUT_INDEX: usize = 1;

/// Timeout of one request. Each condition is awaited for at most twice as long.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(10);

/// Interval between two checks of a condition.
const POLL_INTERVAL: Duration = Duration::from_millis(100);

/// Running deployment of the demo.
pub struct Deployment {
    key_value: KeyValueStandin,
    vm_list: VmListStandin,
    engines: Vec<EngineStandin>,
    services: Vec<PlainServiceStandin>,
    nodes: Vec<Node>,
    client: HttpClient,
}

impl Deployment {
    /// Starts stand-ins and nodes, and waits until the sheet is in force and the nodes are
    /// ready.
    pub async fn start() -> Result<Self, String> {
        let key_value = key_value::start(any_port()).await.map_err(error_text)?;
        let vm_list = vm_list::start(any_port()).await.map_err(error_text)?;
        let mut deployment = Self {
            key_value,
            vm_list,
            engines: Vec::new(),
            services: Vec::new(),
            nodes: Vec::new(),
            client: HttpClient::new(),
        };
        deployment.start_endpoints().await?;
        for data_centre in DATA_CENTRES {
            let settings = deployment.settings(data_centre)?;
            deployment
                .nodes
                .push(Node::start(settings).await.map_err(error_text)?);
        }
        deployment.publish_vms();
        deployment.apply_sheet().await?;
        deployment.wait_until_ready().await?;
        Ok(deployment)
    }

    /// Returns the address for callers of each node.
    pub fn caller_addresses(&self) -> Vec<String> {
        let addresses = self.nodes.iter().map(|node| node.addresses().callers);
        addresses.map(|address| address.to_string()).collect()
    }

    /// Returns the engines, ordered by data centre.
    pub fn engines(&self) -> &[EngineStandin] {
        &self.engines
    }

    /// Returns the plain services, ordered by data centre.
    pub fn services(&self) -> &[PlainServiceStandin] {
        &self.services
    }

    /// Injects a crash into an engine.
    pub fn crash_engine(&self, index: usize) {
        self.engines[index].faults().set(EngineFault::Crash);
    }

    /// Takes a data centre out and waits until the change is in force on every node.
    pub async fn take_out_data_centre(&self, data_centre: &str) -> Result<(), String> {
        let configuration = self.configuration().await?;
        let current = configuration
            .existing_rows()
            .find_map(|(_, row)| match row {
                Row::DataCentre(row) if row.name.as_str() == data_centre => Some(row.clone()),
                _ => None,
            });
        let mut row = current.ok_or("the sheet does not contain the data centre")?;
        row.out = true;
        let row = Row::DataCentre(row);
        let change = Change {
            id: ChangeId::random(),
            base_generation: configuration.generation,
            author: "demo".to_owned(),
            at_unix_ms: SystemClock::new().now().unix_ms,
            edits: vec![RowEdit {
                key: row.key(),
                row: Some(row),
            }],
        };
        self.submit(&change).await
    }

    /// Returns the number of requests started on the endpoints of the data centre that is
    /// taken out.
    pub fn runs_in_taken_out_data_centre(&self) -> u64 {
        let engines = &self.engines[TAKEN_OUT_INDEX * 3..(TAKEN_OUT_INDEX + 1) * 3];
        let started: u64 = engines.iter().map(|engine| engine.stats().started).sum();
        started + self.services[TAKEN_OUT_INDEX].stats().runs
    }

    /// Stops the nodes and returns the totals of the bills.
    pub async fn stop(&mut self) -> Result<BillReport, String> {
        let stopping = self.nodes.drain(..).map(Node::stop);
        futures_util::future::join_all(stopping).await;
        let shards = u16::try_from(Self::shards()).map_err(error_text)?;
        read_totals(&self.key_value.store(), shards)
            .await
            .map_err(error_text)
    }

    fn shards() -> u64 {
        hemlockhitch_config::settings::ControlSettings::default().shards
    }

    async fn start_endpoints(&mut self) -> Result<(), String> {
        for _ in 0..ENGINE_COUNT {
            let settings = EngineSettings::new()
                .warm_limit(16_u32)
                .cold_limit(2_u32)
                .cold_start_ms(1_500_u64)
                .token_ms(4.0);
            let engine = engine::start(any_port(), settings)
                .await
                .map_err(error_text)?;
            self.engines.push(engine);
        }
        for _ in 0..SERVICE_COUNT {
            let service = plain_service::start(any_port()).await.map_err(error_text)?;
            self.services.push(service);
        }
        Ok(())
    }

    fn settings(&self, data_centre: &str) -> Result<Settings, String> {
        let operator = OperatorToken {
            name: "demo".to_owned(),
            sha256: OPERATOR_TOKEN_SHA256.to_owned(),
            permission: Permission::Operate,
            organisation: None,
        };
        Settings::builder()
            .node(format!("node-{data_centre}"), data_centre, "east-mids")
            .key_value(self.key_value.address())
            .vm_list(self.vm_list.address())
            .operator(operator)
            .limits(LimitSettings::default())
            .build()
            .map_err(error_text)
    }

    fn publish_vms(&self) {
        let vms = self
            .nodes
            .iter()
            .zip(DATA_CENTRES)
            .map(|(node, data_centre)| Vm {
                name: format!("node-{data_centre}").into(),
                peer_address: node.addresses().peers.clone(),
                data_centre: data_centre.into(),
                leaving: false,
            });
        self.vm_list.set_vms(vms.collect());
    }

    async fn apply_sheet(&self) -> Result<(), String> {
        let mut sheet = Sheet::parse(SHEET, "midlands.csv").map_err(error_text)?;
        for (index, engine) in self.engines.iter().enumerate() {
            let name = format!("hitch-models-{}", index + 1);
            sheet.set_endpoint_address(&name, engine.address().to_string());
        }
        for (index, service) in self.services.iter().enumerate() {
            let name = format!("pull-app-{}", index + 1);
            sheet.set_endpoint_address(&name, service.address().to_string());
        }
        let configuration = self.configuration().await?;
        let change = sheet.change(&configuration, "demo", SystemClock::new().now());
        self.submit(&change).await
    }

    /// Submits a change and waits until every node has confirmed it.
    async fn submit(&self, change: &Change) -> Result<(), String> {
        let answer: ChangeAnswer = self
            .request_json(Method::POST, CHANGES_PATH, Some(change))
            .await?;
        let ChangeAnswer::Written { generation } = answer else {
            return Err(format!(
                "the change was rejected because of a conflict: {answer:?}"
            ));
        };
        let path = hemlockhitch_config::admin::progress_path(generation);
        self.wait_until("the change is accepted", async || {
            let progress: Result<Progress, String> =
                self.request_json(Method::GET, &path, NO_BODY).await;
            progress.is_ok_and(|progress| progress.accepted)
        })
        .await
    }

    async fn wait_until_ready(&self) -> Result<(), String> {
        for address in self.caller_addresses() {
            self.wait_until("the nodes are ready", async || {
                let request = json_request(Method::GET, &address, "/readyz", Vec::new());
                let Ok(request) = request else { return false };
                let answer = self.client.fetch(request, REQUEST_TIMEOUT).await;
                answer.is_ok_and(|answer| answer.status.is_success())
            })
            .await?;
        }
        Ok(())
    }

    async fn wait_until(
        &self,
        description: &str,
        condition: impl AsyncFn() -> bool,
    ) -> Result<(), String> {
        let clock = SystemClock::new();
        while !condition().await {
            if Duration::from_millis(clock.now().mono_ms) > 2 * REQUEST_TIMEOUT {
                return Err(format!("timed out waiting until {description}"));
            }
            sleep(POLL_INTERVAL).await;
        }
        Ok(())
    }

    async fn configuration(&self) -> Result<Configuration, String> {
        self.request_json(Method::GET, CONFIGURATION_PATH, NO_BODY)
            .await
    }

    /// Sends a request to the administration API of the first node and decodes the
    /// response.
    async fn request_json<T: DeserializeOwned>(
        &self,
        method: Method,
        path: &str,
        message: Option<&Change>,
    ) -> Result<T, String> {
        let address = self.nodes[0].addresses().operators.to_string();
        let body = message.map_or(Ok(Vec::new()), serialize)?;
        let mut request = json_request(method, &address, path, body).map_err(error_text)?;
        let bearer = format!("Bearer {OPERATOR_TOKEN}")
            .parse()
            .map_err(error_text)?;
        request.headers_mut().insert(header::AUTHORIZATION, bearer);
        self.client
            .fetch_json(request, REQUEST_TIMEOUT)
            .await
            .map_err(error_text)
    }
}

/// Body of requests that have none.
const NO_BODY: Option<&Change> = None;

fn serialize(message: &impl Serialize) -> Result<Vec<u8>, String> {
    serde_json::to_vec(message).map_err(error_text)
}

fn any_port() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}

fn error_text(error: impl std::fmt::Display) -> String {
    error.to_string()
}
