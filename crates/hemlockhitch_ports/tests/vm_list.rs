//! Contract tests of the HTTP client of the VM list against the stand-in.

use std::time::Duration;

use hemlockhitch_client::HttpClient;
use hemlockhitch_ports::vm_list::{HttpVmList, VMS_PATH, Vm, VmList};
use hemlockhitch_standin::vm_list::{VmListSettings, VmListStandin, start};

const LONG_MS: u64 = 60_000;
const SHORT_MS: u64 = 200;

fn vm(name: &str, leaving: bool) -> Vm {
    Vm {
        name: name.into(),
        peer_address: "10.0.0.1:7400".to_owned(),
        data_centre: "em-a".into(),
        leaving,
    }
}

async fn standin() -> VmListStandin {
    start(([127, 0, 0, 1], 0).into()).await.unwrap()
}

fn client(standin: &VmListStandin) -> HttpVmList {
    HttpVmList::new(standin.address().to_string()).timeout_ms(LONG_MS)
}

fn lag(lag_ms: u64) -> VmListSettings {
    VmListSettings {
        lag_ms,
        ..VmListSettings::default()
    }
}

#[tokio::test]
async fn changes_become_visible_after_the_lag() {
    let standin = standin().await;
    let client = client(&standin);
    assert_eq!(client.list().await.unwrap(), []);
    standin.set_vms(vec![vm("n1", false)]);
    assert_eq!(client.list().await.unwrap(), [vm("n1", false)]);
    standin.set(lag(LONG_MS));
    standin.set_vms(vec![vm("n1", true), vm("n2", false)]);
    assert_eq!(client.list().await.unwrap(), [vm("n1", false)]);
    standin.set(lag(SHORT_MS));
    while client.list().await.unwrap().len() < 2 {
        tokio::time::sleep(Duration::from_millis(SHORT_MS)).await;
    }
    let vms = client.list().await.unwrap();
    assert_eq!(vms, [vm("n1", true), vm("n2", false)]);
}

#[tokio::test]
async fn failures_name_the_remedy_and_keep_the_list() {
    let down = VmListSettings {
        down: true,
        ..VmListSettings::default()
    };
    let late = VmListSettings {
        delay_ms: LONG_MS,
        ..VmListSettings::default()
    };
    for (name, settings, timeout_ms) in [("down", down, LONG_MS), ("late", late, SHORT_MS)] {
        let standin = standin().await;
        let client = client(&standin).timeout_ms(timeout_ms);
        standin.set_vms(vec![vm("n1", false)]);
        standin.set(settings);
        let error = client.list().await.unwrap_err().to_string();
        let remedy = "; the last list read stays in use";
        assert!(error.starts_with("VM list: "), "{name}: {error}");
        assert!(error.ends_with(remedy), "{name}: {error}");
        standin.set(VmListSettings::default());
        let vms = client.timeout_ms(LONG_MS).list().await.unwrap();
        assert_eq!(vms, [vm("n1", false)], "{name}");
    }
}

#[tokio::test]
async fn list_is_edited_over_http() {
    let standin = standin().await;
    let address = standin.address().to_string();
    let request_timeout = Duration::from_millis(LONG_MS);
    let client = HttpClient::new();
    let edited = vec![vm("n1", true)];
    let () = client
        .post_json(&address, VMS_PATH, &edited, request_timeout)
        .await
        .unwrap();
    assert_eq!(standin.vms(), edited);
    let refused = client.post_json::<()>(&address, VMS_PATH, &"no list", request_timeout);
    refused.await.unwrap_err();
    assert_eq!(standin.vms(), edited);
}
