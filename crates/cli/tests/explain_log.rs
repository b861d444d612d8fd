//! `explain --log`: what daemons' logs say of one call.

use std::path::PathBuf;
use std::process::{Command, Output};

/// Lines as daemons write them, the first file with a collector's words before each.
const ROUTER: &str = r#"  3.5 host-a {"time":"2026-01-01T00:00:03.5Z","level":"INFO","message":"call routed","attributes":{"call":"c1","verdict":"not-run: Refused(TooLate)","attempts":"[{\"host\":\"host-b\",\"considered\":[{\"host\":\"host-b\",\"score\":-0.5,\"load\":3.0,\"slowness\":4.0,\"slowness_age_us\":20000}],\"sent_us\":90,\"result\":\"refused: TooLate\"}]"}}
  3.6 host-a {"time":"2026-01-01T00:00:03.6Z","level":"INFO","message":"call routed","attributes":{"call":"c2","verdict":"run: status 200"}}
not a line of ours
"#;
const TARGET: &str = r#"{"time":"2026-01-01T00:00:03.4Z","level":"INFO","message":"call at the target","attributes":{"call":"c1","outcome":"refused: TooLate","in_flight":"6"}}
"#;

fn explain(name: &str, arguments: &[&str]) -> Output {
    let folder = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(name);
    std::fs::create_dir_all(&folder).expect("folder");
    std::fs::write(folder.join("router.log"), ROUTER).expect("written");
    std::fs::write(folder.join("target.log"), TARGET).expect("written");
    Command::new(env!("CARGO_BIN_EXE_lynxcleat"))
        .current_dir(folder)
        .arg("explain")
        .args(arguments)
        .output()
        .expect("lynxcleat")
}

#[test]
fn a_call_is_followed_across_daemons_in_order_of_time() {
    let logs = ["--log", "router.log", "--log", "target.log", "c1"];
    let output = explain("explain-follow", &logs);
    assert!(output.status.success(), "{output:?}");
    insta::assert_snapshot!(String::from_utf8_lossy(&output.stdout));
}

#[test]
fn a_call_that_no_log_knows_is_said_to_be_unknown() {
    let output = explain("explain-unknown", &["--log", "router.log", "c9"]);
    assert!(!output.status.success());
    let said = String::from_utf8_lossy(&output.stderr).into_owned();
    assert!(said.contains("no line about call \"c9\""), "{said}");
}

#[test]
fn without_a_daemon_or_a_log_the_command_says_what_it_needs() {
    let output = explain("explain-nothing", &["c1"]);
    assert!(!output.status.success());
    let said = String::from_utf8_lossy(&output.stderr).into_owned();
    assert!(said.contains("--log"), "{said}");
}
