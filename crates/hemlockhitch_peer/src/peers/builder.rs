//! Builder that starts the peer protocol of a node.

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
use crate::client::{CallTimeouts, PeerClients};
use crate::error::{PeerError, PeerErrorKind};
use crate::exchange;
use crate::feed::{ConfigurationFeed, ConfigurationSource, ConfigurationSync, follow_store};
use crate::fitness::LastContact;
use crate::member::{Identity, MemberTable, NodeId};
use crate::notice::Notices;
use crate::ownership::{BucketReconciler, Ownership, keep_lease_alive};
use crate::settings::PeerSettings;
use crate::shared::Shared;
use crate::slots::{
    GrantTable, HeldSlots, PeerSlots, renew_grants, send_releases, watch_cold_notices,
};
use crate::traffic::Traffic;

/// Capacity of the queue of incoming hand-overs.
const HAND_OVER_QUEUE_LEN: usize = 256;

/// Builder of [`Peers`].
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

    /// Sets the address to listen on; port 0 selects a free port.
    #[must_use]
    pub fn listen(mut self, listen: SocketAddr) -> Self {
        self.listen = listen;
        self
    }

    /// Sets the address that peers call, if it differs from the listen address.
    #[must_use]
    pub fn advertise(mut self, address: impl Into<String>) -> Self {
        self.advertise = Some(address.into());
        self
    }

    /// Sets the settings of the peer protocol.
    #[must_use]
    pub fn settings(mut self, settings: PeerSettings) -> Self {
        self.settings = settings;
        self
    }

    /// Starts to listen and starts the background tasks of the node.
    ///
    /// The node joins the fleet in the background; [`Peers::fitness`] returns whether
    /// it may serve.
    ///
    /// # Errors
    ///
    /// Fails when the settings are inconsistent or the address is in use.
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
        let (notice_sender, outgoing_notices) = mpsc::unbounded_channel();
        let incarnation = clock.now().unix_ms;
        let shared =
            Arc::new(self.shared(address.clone(), incarnation, Notices::new(notice_sender)));
        let sync = ConfigurationSync::new(shared.clone());
        let (hand_over_sender, hand_over_receiver) = mpsc::channel(HAND_OVER_QUEUE_LEN);
        let (released, released_slots) = mpsc::unbounded_channel();
        let (submitted, unconfirmed) = mpsc::unbounded_channel();
        let (drain_sender, drain_receiver) = oneshot::channel::<DrainRequest>();

        let service = PeerService {
            shared: shared.clone(),
            sync: sync.clone(),
            hand_over_sender,
            ledger,
            clock: clock.clone(),
        };
        shared.spawn(serve(shared.clone(), listener, service));
        shared.spawn(exchange::read_vm_list(shared.clone(), vm_list));
        let exchanging = exchange::run(shared.clone(), sync.clone(), clock.clone());
        shared.spawn(exchanging);
        shared.spawn(exchange::join(shared.clone(), sync.clone()));
        shared.spawn(exchange::send_notices(shared.clone(), outgoing_notices));
        shared.spawn(follow_store(sync.clone(), source, clock.clone()));
        shared.spawn(keep_lease_alive(
            shared.clone(),
            store.clone(),
            clock.clone(),
        ));
        let reconciler = BucketReconciler {
            shared: shared.clone(),
            store: store.clone(),
            clock: clock.clone(),
            hand_overs: hand_over_receiver,
        };
        shared.spawn(reconciler.run());
        shared.spawn(send_releases(shared.clone(), released_slots, clock.clone()));
        let notices = shared.notices.subscribe();
        shared.spawn(watch_cold_notices(shared.clone(), notices));
        shared.spawn(renew_grants(shared.clone(), clock.clone()));
        let confirming = confirm(shared.clone(), sync.clone(), unconfirmed, clock.clone());
        shared.spawn(confirming);
        let draining = drain(shared.clone(), sync.clone(), store, drain_receiver, clock);
        shared.spawn(draining);
        Ok(Peers {
            slots: PeerSlots::new(shared.clone(), released),
            shared,
            sync,
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
            last_contact: LastContact::default(),
            clients: PeerClients::new(call_timeouts(&settings), traffic.clone()),
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

fn call_timeouts(settings: &PeerSettings) -> CallTimeouts {
    CallTimeouts {
        short: Duration::from_millis(settings.call_timeout_ms),
        slot: Duration::from_millis(settings.slot_timeout_ms),
        long: Duration::from_millis(settings.long_timeout_ms),
    }
}
