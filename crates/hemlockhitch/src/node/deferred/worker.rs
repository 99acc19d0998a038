//! Takes jobs from the queue.

use std::sync::Arc;
use std::time::Duration;

use hemlockhitch_model::{Clock, NodeName, SystemClock};
use hemlockhitch_peer::{Fitness, Peers};
use hemlockhitch_ports::key_value::{HttpKeyValue, LeaseId};
use hemlockhitch_router::Router;
use tokio::sync::watch;
use tokio::task::JoinSet;
use tokio::time::sleep;

use super::super::backend::NodeBackend;
use super::{NodeQueue, job, lease};

/// Jobs that one node runs at a time.
const MAX_RUNNING: usize = 8;

/// The pause between two polls of a node for each node of the fleet, in
/// milliseconds; the store then sees the same rate of polls from any fleet.
const POLL_MS_PER_NODE: u64 = 400;

/// Ended jobs that are deleted at each poll once they are kept no longer.
const EXPIRED_PER_POLL: usize = 16;

/// Polls after which ended jobs are looked at.
const POLLS_PER_EXPIRY: u64 = 64;

/// Runs deferred work on one node.
#[derive(Clone)]
pub(in super::super) struct Worker {
    pub(in super::super) node: NodeName,
    pub(in super::super) queue: NodeQueue,
    pub(in super::super) store: HttpKeyValue,
    pub(in super::super) router: Router<NodeBackend>,
    pub(in super::super) peers: Arc<Peers>,
    pub(in super::super) clock: SystemClock,
    pub(in super::super) lease_ttl_ms: u64,
}

impl Worker {
    /// Runs jobs until it is aborted; jobs that run then are left to other nodes.
    pub(in super::super) async fn run(self) {
        let (sender, lease) = watch::channel(None);
        let mut tasks = JoinSet::new();
        tasks.spawn(lease::keep(self.store.clone(), self.lease_ttl_ms, sender));
        let mut polls: u64 = 0;
        loop {
            while tasks.try_join_next().is_some() {}
            let held = *lease.borrow();
            if let Some(held) = held.filter(|_| self.is_serving()) {
                self.fill(&mut tasks, held).await;
            }
            if polls.is_multiple_of(POLLS_PER_EXPIRY) {
                self.expire().await;
            }
            polls += 1;
            sleep(self.poll_pause()).await;
        }
    }

    /// Takes jobs while there is room; one task of `tasks` keeps the lease.
    async fn fill(&self, tasks: &mut JoinSet<()>, lease: LeaseId) {
        while tasks.len() <= MAX_RUNNING {
            match self.queue.take(&self.node, lease, self.clock.now()).await {
                Ok(Some(claimed)) => {
                    let queue = self.queue.clone();
                    let router = self.router.clone();
                    tasks.spawn(job::run(queue, router, self.clock, claimed));
                }
                Ok(None) => return,
                Err(error) => {
                    tracing::warn!(event = "HH1002", %error, "no deferred work taken");
                    return;
                }
            }
        }
    }

    async fn expire(&self) {
        if let Err(error) = self
            .queue
            .delete_expired(EXPIRED_PER_POLL, self.clock.now())
            .await
        {
            tracing::warn!(event = "HH1003", %error, "ended deferred work not deleted");
        }
    }

    fn is_serving(&self) -> bool {
        self.peers.fitness(self.clock.now()) == Fitness::Serving
    }

    fn poll_pause(&self) -> Duration {
        let nodes = u64::try_from(self.peers.members().len()).unwrap_or(u64::MAX);
        Duration::from_millis(nodes.max(1).saturating_mul(POLL_MS_PER_NODE))
    }
}
