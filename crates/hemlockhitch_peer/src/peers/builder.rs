//! Starts the peer protocol of a node.

use std::net::SocketAddr;
use std::sync::atomic::AtomicBool;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use hemlockhitch_ledger::call::LedgerService;
use hemlockhitch_model::{Clock, DataCentreName, NodeName};
use hemlockhitch_ports::key_value::KeyValue;
use hemlockhitch_ports::vm_list::VmList;
use tokio::net::TcpListener;
use tokio::sync::{mpsc, oneshot};

use super::listen::serve;
use super::server::PeerService;
use super::{DrainRequest, Peers, confirm, drain};
use crate::client::{CallBounds, PeerClients};
use crate::error::{PeerError, PeerErrorKind};
use crate::exchange;
use crate::feed::{ConfigurationFeed, ConfigurationSource, Spread, follow_store};
use crate::fitness::Contact;
use crate::member::{Identity, MemberTable, NodeId};
use crate::notice::Notices;
use crate::ownership::{BucketReconciler, Ownership, keep_lease_alive};
use crate::settings::PeerSettings;
use crate::shared::Shared;
use crate::slots::{GrantTable, HeldSlots, PeerSlots, renew_grants, send_releases, watch_cold};
use crate::traffic::Traffic;

/// How many hand-overs may wait.
const WAITING_TAKES: usize = 256;

/// Collects what a node needs to speak with its peers.
#[derive(Clone, Debug)]
pub struct PeersBuilder {
    node: NodeName,
    data_centre: DataCentreName,
    listen: SocketAddr,
    advertise: Option<String>,
    settings: PeerSettings,
}

impl PeersBuilder {
    pub(super) fn new() -> Self {
        Self {
            node: NodeName::from("node"),
            data_centre: DataCentreName::from("local"),
            listen: SocketAddr::from(([127, 0, 0, 1], 0)),
            advertise: None,
            settings: PeerSettings::default(),
        }
    }

    /// Sets the name of the node, which is the name of its VM.
    #[must_use]
    pub fn node(mut self, node: impl Into<NodeName>) -> Self {
        self.node = node.into();
        self
    }

    /// Sets the data centre of the node.
    #[must_use]
    pub fn data_centre(mut self, data_centre: impl Into<DataCentreName>) -> Self {
        self.data_centre = data_centre.into();
        self
    }

    /// Sets the address to listen on; port 0 takes any free port.
    #[must_use]
    pub fn listen(mut self, listen: SocketAddr) -> Self {
        self.listen = listen;
        self
    }

    /// Sets the address that peers call, where it is not the one listened on.
    #[must_use]
    pub fn advertise(mut self, address: impl Into<String>) -> Self {
        self.advertise = Some(address.into());
        self
    }

    /// Sets intervals, bounds and counts.
    #[must_use]
    pub fn settings(mut self, settings: PeerSettings) -> Self {
        self.settings = settings;
        self
    }

    /// Listens and starts the tasks of the node.
    ///
    /// The node joins in the background: [`Peers::fitness`] says when it may
    /// serve.
    ///
    /// # Errors
    ///
    /// Fails when the settings contradict each other or the address is taken.
    pub async fn start<K, V, S, L, C>(
        self,
        store: K,
        vm_list: V,
        source: S,
        ledger: L,
        clock: C,
    ) -> Result<Peers, PeerError>
    where
        K: KeyValue,
        V: VmList,
        S: ConfigurationSource,
        L: LedgerService,
        C: Clock,
    {
        self.settings.check()?;
        let (listener, address) = self.bind().await?;
        let (outgoing, notices_out) = mpsc::unbounded_channel();
        let incarnation = clock.now().unix_ms;
        let shared = Arc::new(self.shared(address.clone(), incarnation, Notices::new(outgoing)));
        let spread = Spread::new(shared.clone());
        let (takes, waiting_takes) = mpsc::channel(WAITING_TAKES);
        let (ended, ended_slots) = mpsc::unbounded_channel();
        let (submitted, to_confirm) = mpsc::unbounded_channel();
        let (drain_sender, drain_receiver) = oneshot::channel::<DrainRequest>();

        let service = PeerService {
            shared: shared.clone(),
            spread: spread.clone(),
            takes,
            ledger,
            clock: clock.clone(),
        };
        shared.spawn(serve(shared.clone(), listener, service));
        shared.spawn(exchange::read_vm_list(shared.clone(), vm_list));
        let exchanging = exchange::run(shared.clone(), spread.clone(), clock.clone());
        shared.spawn(exchanging);
        shared.spawn(exchange::join(shared.clone(), spread.clone()));
        shared.spawn(exchange::spread_notices(shared.clone(), notices_out));
        shared.spawn(follow_store(spread.clone(), source, clock.clone()));
        shared.spawn(keep_lease_alive(
            shared.clone(),
            store.clone(),
            clock.clone(),
        ));
        let reconciler = BucketReconciler {
            shared: shared.clone(),
            store: store.clone(),
            clock: clock.clone(),
            hand_overs: waiting_takes,
        };
        shared.spawn(reconciler.run());
        shared.spawn(send_releases(shared.clone(), ended_slots, clock.clone()));
        let cold_notices = shared.notices.subscribe();
        shared.spawn(watch_cold(shared.clone(), cold_notices));
        shared.spawn(renew_grants(shared.clone(), clock.clone()));
        let confirming = confirm(shared.clone(), spread.clone(), to_confirm, clock.clone());
        shared.spawn(confirming);
        let draining = drain(shared.clone(), spread.clone(), store, drain_receiver, clock);
        shared.spawn(draining);
        Ok(Peers {
            slots: PeerSlots::new(shared.clone(), ended),
            shared,
            spread,
            address,
            submitted,
            drain: Mutex::new(Some(drain_sender)),
        })
    }

    async fn bind(&self) -> Result<(TcpListener, String), PeerError> {
        let failed = |error: std::io::Error| {
            PeerError::new(PeerErrorKind::Listen, format!("{}: {error}", self.listen))
        };
        let listener = TcpListener::bind(self.listen).await.map_err(failed)?;
        let bound = listener.local_addr().map_err(failed)?;
        let address = self.advertise.clone().unwrap_or_else(|| bound.to_string());
        Ok((listener, address))
    }

    fn shared(&self, address: String, incarnation: u64, notices: Notices) -> Shared {
        let settings = self.settings;
        let identity = Identity {
            name: self.node.clone(),
            address,
            data_centre: self.data_centre.clone(),
        };
        let own_id = NodeId::of(&self.node);
        let table = MemberTable::new(identity, incarnation, settings.suspicion_ms);
        let members = Arc::new(Mutex::new(table));
        let traffic = Traffic::default();
        let grant_table = GrantTable::new(settings.grant_ttl_ms, settings.endpoint_buckets);
        Shared {
            settings,
            own_id,
            ownership: Ownership::new(own_id, settings.endpoint_buckets, members.clone()),
            members,
            feed: ConfigurationFeed::new(),
            contact: Contact::default(),
            clients: PeerClients::new(call_bounds(&settings), traffic.clone()),
            traffic,
            notices,
            grant_table: Mutex::new(grant_table),
            held_slots: Mutex::new(HeldSlots::default()),
            loaded: AtomicBool::new(false),
            stopped: AtomicBool::new(false),
            tasks: Mutex::default(),
        }
    }
}

fn call_bounds(settings: &PeerSettings) -> CallBounds {
    CallBounds {
        short: Duration::from_millis(settings.call_timeout_ms),
        slot: Duration::from_millis(settings.slot_timeout_ms),
        long: Duration::from_millis(settings.long_timeout_ms),
    }
}
