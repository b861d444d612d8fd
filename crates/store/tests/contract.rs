//! Contract tests of the platform client, including behaviour under platform faults.

use std::collections::BTreeSet;

use lynxcleat_settings::Digest;
use lynxcleat_standin::{PlatformFaults, PlatformStandin};
use lynxcleat_store::{
    HostEntry, HostState, NO_ROW, Platform, PlatformError, Put, Txn, VersionCheck,
};
use rstest::rstest;
use serde_json::json;

fn platform() -> (PlatformStandin, Platform) {
    let standin = PlatformStandin::start("127.0.0.1:0").expect("platform");
    let client = Platform::builder(standin.url())
        .timeout_s(1)
        .max_attempts(2)
        .build();
    (standin, client)
}

fn txn(checks: &[(&str, u64)], puts: &[(&str, u64)]) -> Txn {
    Txn {
        checks: checks
            .iter()
            .map(|(key, version)| VersionCheck {
                key: (*key).to_owned(),
                version: *version,
            })
            .collect(),
        puts: puts
            .iter()
            .map(|(key, value)| Put {
                key: (*key).to_owned(),
                value: json!(value),
                ttl_ms: None,
            })
            .collect(),
    }
}

#[test]
fn transactions_are_atomic() {
    let (_standin, client) = platform();
    let first = client.write(&txn(&[("a", NO_ROW)], &[("a", 1), ("b", 1)]));
    assert!(first.expect("written").committed);
    let version = client.read_one("a").expect("read").expect("a row").version;
    let stale = txn(&[("a", version), ("b", NO_ROW)], &[("a", 2), ("c", 2)]);
    let refused = client.write(&stale).expect("answered");
    assert!(!refused.committed);
    assert_eq!(refused.conflicts[0].key, "b");
    let rows = client
        .read(&["a".to_owned(), "c".to_owned()])
        .expect("read");
    assert_eq!((rows[0].value.clone(), rows[1].version), (json!(1), NO_ROW));
    let next = txn(&[("a", version)], &[("a", 3)]);
    assert!(client.write(&next).expect("written").committed);
    assert!(
        !client.write(&next).expect("answered").committed,
        "a transaction with a stale version check must not commit again"
    );
}

#[test]
fn scans_return_pages_of_a_prefix_in_key_order() {
    let (_standin, client) = platform();
    client
        .write(&txn(&[], &[("x/3", 3), ("x/1", 1), ("y/1", 9), ("x/2", 2)]))
        .expect("written");
    let keys = |after: &str, limit| {
        let rows = client.scan("x/", after, limit).expect("scanned");
        rows.into_iter().map(|row| row.key).collect::<Vec<_>>()
    };
    assert_eq!(keys("", 2), ["x/1", "x/2"]);
    assert_eq!(keys("x/2", 2), ["x/3"]);
    assert_eq!(keys("x/3", 2), Vec::<String>::new());
}

#[test]
fn get_object_verifies_the_digest() {
    let (_standin, client) = platform();
    let digest = Digest::of(b"content");
    let missing = client.get_object(&digest);
    assert!(
        matches!(missing, Err(PlatformError::Missing(_))),
        "{missing:?}"
    );
    client
        .put_object(&digest, b"other content")
        .expect("stored");
    let wrong = client.get_object(&digest);
    assert!(
        matches!(wrong, Err(PlatformError::DigestMismatch(_))),
        "{wrong:?}"
    );
    client.put_object(&digest, b"content").expect("stored");
    assert_eq!(client.get_object(&digest).expect("read"), b"content");
}

#[test]
fn host_list_changes_are_paged_and_may_lag() {
    let (standin, client) = platform();
    let entry = |n: u32, state| HostEntry {
        host: format!("h{n}"),
        place: "east".to_owned(),
        zone: "east-1".to_owned(),
        region: String::new(),
        version: String::new(),
        service: "stock".to_owned(),
        mesh: "127.0.0.1:1".to_owned(),
        ops: "127.0.0.1:2".to_owned(),
        state,
    };
    for n in 0..5 {
        standin.put_host(entry(n, HostState::Live));
    }
    let first = client.hosts(0, 3).expect("a page");
    assert_eq!((first.hosts.len(), first.more), (3, true));
    let rest = client.hosts(first.version, 3).expect("a page");
    assert_eq!((rest.hosts.len(), rest.more), (2, false));
    standin.set_faults(PlatformFaults {
        list_lag_ms: 60_000,
        ..PlatformFaults::default()
    });
    standin.put_host(entry(0, HostState::Gone));
    assert!(
        client
            .hosts(rest.version, 3)
            .expect("a page")
            .hosts
            .is_empty()
    );
    standin.set_faults(PlatformFaults::default());
    let late = client.hosts(rest.version, 3).expect("a page");
    let names: BTreeSet<_> = late.hosts.iter().map(|host| &*host.host).collect();
    assert_eq!(names, BTreeSet::from(["h0"]));
}

/// A failed write must report whether it may have been applied. Cases: the fault, whether the
/// call fails, and whether the write is applied.
#[rstest]
#[case::down(PlatformFaults { down: true, ..PlatformFaults::default() }, true, false)]
#[case::reply_lost(PlatformFaults { lose_replies: 1, ..PlatformFaults::default() }, true, true)]
#[case::slow(PlatformFaults { delay_ms: 1_500, ..PlatformFaults::default() }, true, true)]
#[case::slow_within_timeout(PlatformFaults { delay_ms: 100, ..PlatformFaults::default() }, false, true)]
fn failed_writes_report_whether_they_may_have_applied(
    #[case] faults: PlatformFaults,
    #[case] fails: bool,
    #[case] applied: bool,
) {
    let (standin, client) = platform();
    standin.set_faults(faults);
    let outcome = client.write(&txn(&[], &[("w", 1)]));
    assert_eq!(outcome.is_err(), fails);
    if let Err(error) = outcome {
        assert!(error.is_transient());
        assert!(error.may_have_applied(), "{error}");
    }
    standin.set_faults(PlatformFaults::default());
    let found = lynxcleat_standin::wait_until(std::time::Duration::from_secs(3), || {
        client.read_one("w").expect("read").is_some() || !applied
    });
    assert!(found);
    assert_eq!(client.read_one("w").expect("read").is_some(), applied);
}

#[test]
fn a_refused_connection_proves_that_nothing_was_sent() {
    let (standin, client) = platform();
    let address = standin.url().replace("http://", "");
    drop(standin);
    // A closing listener resets connections in its backlog, and after a reset the request may
    // have been sent. Wait until connections are refused.
    let refuses_connections = || std::net::TcpStream::connect(&address).is_err();
    assert!(lynxcleat_standin::wait_until(
        std::time::Duration::from_secs(3),
        refuses_connections
    ));
    let refused = client
        .write(&txn(&[], &[("w", 1)]))
        .expect_err("no platform");
    assert!(
        matches!(refused, PlatformError::Unreachable(_)),
        "{refused}"
    );
    assert!(!refused.may_have_applied());
}

#[test]
fn reads_may_be_stale_and_report_an_outage() {
    let (standin, client) = platform();
    client.write(&txn(&[], &[("r", 1)])).expect("written");
    standin.set_faults(PlatformFaults {
        stale_reads_ms: 60_000,
        ..PlatformFaults::default()
    });
    assert!(
        client.read_one("r").expect("read").is_none(),
        "the stale read predates the row"
    );
    // The version check of a write uses the current row even while reads are stale.
    assert!(
        !client
            .write(&txn(&[("r", NO_ROW)], &[("r", 2)]))
            .expect("answered")
            .committed
    );
    standin.set_faults(PlatformFaults {
        down: true,
        ..PlatformFaults::default()
    });
    let reads = standin.counts().reads;
    assert!(client.read_one("r").is_err());
    assert_eq!(
        standin.counts().reads,
        reads,
        "the stand-in does not count reads while it is down"
    );
}
