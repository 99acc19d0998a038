//! A fleet forms, propagates changes and notices, and limits slots across all nodes.

mod support;

use hemlockhitch_ledger::call::{LedgerCall, LedgerReply, LedgerTransport};
use hemlockhitch_model::{Clock, RequestId};
use hemlockhitch_peer::slots::{Slot, SlotReport, SlotRequest, Slots};
use hemlockhitch_peer::{Notice, NoticeKind};

use support::{Platform, is_serving, until};

#[tokio::test]
async fn fleet_forms_and_propagates_changes_and_notices() {
    let platform = Platform::default();
    let clock = platform.clock;
    platform.source.accept();
    let fleet = platform.fleet(3).await;
    until("configuration loaded", || {
        fleet.iter().all(|peers| peers.feed().generation() == 1)
    })
    .await;
    assert!(fleet.iter().all(|peers| is_serving(peers, &clock)));

    let change = platform.source.accept();
    fleet[0].submitted(change);
    until("accepted", || fleet[0].in_force(2, clock.now()).accepted).await;
    assert_eq!(fleet[0].in_force(2, clock.now()).confirmed.len(), 3);

    let now = clock.now();
    let notice = Notice {
        kind: NoticeKind::RequestCrashes,
        key: "fingerprint".to_owned(),
        value: "1".to_owned(),
        expires_unix_ms: now.unix_ms + 60_000,
    };
    fleet[1].notices().post(notice.clone(), now).unwrap();
    until("notice known", || {
        fleet.iter().all(|p| {
            p.notices()
                .get(NoticeKind::RequestCrashes, "fingerprint", now)
                == Some(notice.clone())
        })
    })
    .await;

    let call = LedgerCall::FindBill(RequestId::from_u128(1));
    let reply = fleet[0].transport().call(fleet[2].address(), call).await;
    assert_eq!(reply.unwrap(), LedgerReply::Recorded);
}

#[tokio::test]
async fn slots_of_all_nodes_stay_within_the_cold_limit() {
    let platform = Platform::default();
    let clock = platform.clock;
    let fleet = platform.fleet(3).await;
    let request = SlotRequest {
        endpoint: "e-1".into(),
        cold_limit: 2,
        warm_limit: 8,
    };
    let mut held = Vec::new();
    let deadline = clock.now().mono_ms + 10_000;
    while held.len() < 2 && clock.now().mono_ms < deadline {
        for peers in &fleet {
            held.extend(peers.slots().acquire(request.clone(), clock.now()).await);
        }
        tokio::time::sleep(std::time::Duration::from_millis(50)).await;
    }
    assert_eq!(held.len(), 2);
    for peers in &fleet {
        let refused = peers.slots().acquire(request.clone(), clock.now()).await;
        assert!(refused.is_err());
    }
    for slot in held {
        slot.finish(SlotReport::Failed, clock.now());
    }
    let mut again = Vec::new();
    let deadline = clock.now().mono_ms + 10_000;
    while again.is_empty() && clock.now().mono_ms < deadline {
        again.extend(fleet[1].slots().acquire(request.clone(), clock.now()).await);
    }
    assert_eq!(again.len(), 1);
}
