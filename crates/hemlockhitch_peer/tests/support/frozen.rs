//! A node on its own thread, which a test can freeze.

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
    freeze_requests: mpsc::UnboundedSender<Receiver<()>>,
}

impl FreezableNode {
    /// Starts a node; it runs until the test process exits.
    pub fn start(platform: &Platform, name: &str) -> Self {
        let (started, peers) = channel();
        let (freeze_requests, mut requests) = mpsc::unbounded_channel::<Receiver<()>>();
        let (platform, name) = (platform.clone(), name.to_owned());
        thread::spawn(move || {
            let runtime = Builder::new_current_thread().enable_all().build().unwrap();
            runtime.block_on(async {
                let peers = Arc::new(platform.start(&name).await);
                started.send(peers.clone()).unwrap();
                while let Some(thaw) = requests.recv().await {
                    // Blocks the runtime and so every task of the node, like a
                    // paused VM.
                    let _ = thaw.recv();
                }
            });
        });
        let start_timeout = Duration::from_secs(10);
        Self {
            peers: peers.recv_timeout(start_timeout).unwrap(),
            freeze_requests,
        }
    }

    /// Freezes the node until the returned sender is used or dropped.
    pub fn freeze(&self) -> Sender<()> {
        let (thaw, thawed) = channel();
        self.freeze_requests.send(thawed).unwrap();
        thaw
    }
}
