//! Worker that claims deferred jobs from the queue.

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

/// Maximum number of jobs that a node runs concurrently.
const MAX_RUNNING: usize = 8;

/// Pause between two polls, in milliseconds per node of the fleet; the total poll rate at
/// the store is then independent of fleet size.
const POLL_MS_PER_NODE: u64 = 400;

/// Maximum number of ended jobs past their retention time that one cleanup deletes.
const MAX_DELETIONS_PER_CLEANUP: usize = 16;

/// Number of polls from one cleanup of expired jobs to the next.
const POLLS_PER_CLEANUP: u64 = 64;

/// Claims and runs deferred jobs on one node.
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
    /// Runs jobs until the task is aborted; other nodes take over the jobs that are still
    /// running.
    pub(in super::super) async fn run(self) {
        let (sender, lease) = watch::channel(None);
        let mut tasks = JoinSet::new();
        tasks.spawn(lease::keep_alive(
            self.store.clone(),
            self.lease_ttl_ms,
            sender,
        ));
        let mut polls: u64 = 0;
        loop {
            while tasks.try_join_next().is_some() {}
            let lease_id = *lease.borrow();
            if let Some(lease_id) = lease_id.filter(|_| self.is_serving()) {
                self.claim_jobs(&mut tasks, lease_id).await;
            }
            if polls.is_multiple_of(POLLS_PER_CLEANUP) {
                self.delete_expired_jobs().await;
            }
            polls += 1;
            sleep(self.poll_pause()).await;
        }
    }

    /// Claims jobs up to the concurrency limit. One of the `tasks` renews the lease, hence
    /// the inclusive bound.
    async fn claim_jobs(&self, tasks: &mut JoinSet<()>, lease: LeaseId) {
        while tasks.len() <= MAX_RUNNING {
            match self.queue.take(&self.node, lease, self.clock.now()).await {
                Ok(Some(claimed)) => {
                    let queue = self.queue.clone();
                    let router = self.router.clone();
                    tasks.spawn(job::run(queue, router, self.clock, claimed));
                }
                Ok(None) => return,
                Err(error) => {
                    tracing::warn!(event = "HH1002", %error, "failed to claim a deferred job");
                    return;
                }
            }
        }
    }

    async fn delete_expired_jobs(&self) {
        if let Err(error) = self
            .queue
            .delete_expired(MAX_DELETIONS_PER_CLEANUP, self.clock.now())
            .await
        {
            tracing::warn!(event = "HH1003", %error, "failed to delete expired deferred jobs");
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
