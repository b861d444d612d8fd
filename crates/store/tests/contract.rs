//! The contract of the platform's interfaces, with the platform's faults in a table.

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
        .tries(2)
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
fn a_transaction_takes_effect_whole_or_not_at_all() {
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
        "only once"
    );
}

#[test]
fn a_scan_goes_by_prefix_in_order_of_keys_page_by_page() {
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
fn objects_are_checked_against_their_digest() {
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
        matches!(wrong, Err(PlatformError::WrongDigest(_))),
        "{wrong:?}"
    );
    client.put_object(&digest, b"content").expect("stored");
    assert_eq!(client.get_object(&digest).expect("read"), b"content");
}

#[test]
fn the_host_list_is_read_by_changes_and_lags() {
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

/// What a write says, and whether it took effect all the same.
#[rstest]
#[case::down(PlatformFaults { down: true, ..PlatformFaults::default() }, true, false)]
#[case::reply_lost(PlatformFaults { lose_replies: 1, ..PlatformFaults::default() }, true, true)]
#[case::slow(PlatformFaults { delay_ms: 1_500, ..PlatformFaults::default() }, true, true)]
#[case::a_little_slow(PlatformFaults { delay_ms: 100, ..PlatformFaults::default() }, false, true)]
fn a_write_that_fails_says_whether_it_may_have_applied(
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
fn a_platform_that_is_not_there_was_sent_nothing() {
    let (standin, client) = platform();
    let address = standin.url().replace("http://", "");
    drop(standin);
    // A listener that is closing resets what is still in its queue: that is a platform that
    // may have been sent something.
    let is_gone = || std::net::TcpStream::connect(&address).is_err();
    assert!(lynxcleat_standin::wait_until(
        std::time::Duration::from_secs(3),
        is_gone
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
fn reads_are_tried_again_and_old_rows_are_served_as_they_were() {
    let (standin, client) = platform();
    client.write(&txn(&[], &[("r", 1)])).expect("written");
    standin.set_faults(PlatformFaults {
        stale_reads_ms: 60_000,
        ..PlatformFaults::default()
    });
    assert!(client.read_one("r").expect("read").is_none(), "as it was");
    // The condition of a write is checked against the row as it is.
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
        "a platform that is down counts nothing"
    );
}
