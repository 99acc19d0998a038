//! A node on a thread of its own, which a test can freeze.

use std::sync::Arc;
use std::sync::mpsc::{Receiver, Sender, channel};
use std::thread;
use std::time::Duration;

use hemlockhitch_peer::Peers;
use tokio::runtime::Builder;
use tokio::sync::mpsc;

use super::Platform;

pub struct FreezableNode {
    pub peers: Arc<Peers>,
    freezes: mpsc::UnboundedSender<Receiver<()>>,
}

impl FreezableNode {
    /// Starts a node; it stops with the test's process.
    pub fn start(platform: &Platform, name: &str) -> Self {
        let (started, peers) = channel();
        let (freezes, mut orders) = mpsc::unbounded_channel::<Receiver<()>>();
        let (platform, name) = (platform.clone(), name.to_owned());
        thread::spawn(move || {
            let runtime = Builder::new_current_thread().enable_all().build().unwrap();
            runtime.block_on(async {
                let peers = Arc::new(platform.start(&name).await);
                started.send(peers.clone()).unwrap();
                while let Some(thaw) = orders.recv().await {
                    // Blocks every task of the node, as a paused VM does.
                    let _ = thaw.recv();
                }
            });
        });
        let bound = Duration::from_secs(10);
        Self {
            peers: peers.recv_timeout(bound).unwrap(),
            freezes,
        }
    }

    /// Freezes the node until the returned sender is used or dropped.
    pub fn freeze(&self) -> Sender<()> {
        let (thaw, waiting) = channel();
        self.freezes.send(waiting).unwrap();
        thaw
    }
}
