//! A daemon's own settings file: every fault is told with file and path, exit 2.

use std::path::PathBuf;
use std::process::{Command, Output};

use serde_json::{Value, json};

fn good() -> Value {
    json!({
        "deployment": "test", "host": "h", "place": "east", "zone": "east-1",
        "service": "stock", "callers": "127.0.0.1:0", "mesh": "127.0.0.1:0",
        "ops": "127.0.0.1:0", "target": "127.0.0.1:1", "platform": "http://127.0.0.1:2",
        "shared_key": "sixteen bytes and more"
    })
}

fn check(name: &str, text: &str) -> Output {
    let file = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(format!("{name}.json"));
    std::fs::write(&file, text).expect("written");
    Command::new(env!("CARGO_BIN_EXE_lynxcleatd"))
        .arg("--check")
        .arg("--config")
        .arg(file)
        .output()
        .expect("lynxcleatd")
}

#[test]
fn a_good_file_is_good() {
    let output = check("good", &good().to_string());
    assert!(output.status.success(), "{output:?}");
}

#[test]
fn faults_are_told_with_file_and_path() {
    let changed = |key: &str, value: Value| {
        let mut file = good();
        file[key] = value;
        file.to_string()
    };
    let mut no_host = good();
    no_host.as_object_mut().expect("an object").remove("host");
    let faulty = [
        ("unknown-field", changed("hosts", json!("h"))),
        ("missing-key", no_host.to_string()),
        ("wrong-type", changed("seeds", json!("127.0.0.1:7000"))),
        (
            "wrong-seed-type",
            changed("seeds", json!(["127.0.0.1:7000", 5])),
        ),
        ("bad-address", changed("mesh", json!("localhost:7000"))),
        ("bad-platform", changed("platform", json!("127.0.0.1:6000"))),
        ("bad-name", changed("service", json!("Stock Room"))),
        ("empty-host", changed("host", json!(""))),
        ("short-key", changed("shared_key", json!("short"))),
        ("two-keys", changed("shared_key_file", json!("/nowhere"))),
        ("no-threads", changed("threads", json!(0))),
        ("bad-level", changed("log_level", json!("loud"))),
        ("not-json", "{\"deployment\": ".to_owned()),
        ("trailing", format!("{} x", good())),
    ];
    let mut told = String::new();
    for (name, text) in faulty {
        let output = check(name, &text);
        assert_eq!(output.status.code(), Some(2), "{name}");
        let message = String::from_utf8_lossy(&output.stderr).into_owned();
        let folder = format!("{}/", env!("CARGO_TARGET_TMPDIR"));
        told.push_str(&message.replace(&folder, ""));
    }
    insta::assert_snapshot!(told);
}

#[test]
fn a_file_that_is_not_there_is_told() {
    let output = Command::new(env!("CARGO_BIN_EXE_lynxcleatd"))
        .args(["--config", "/no/such/file.json"])
        .output()
        .expect("lynxcleatd");
    assert_eq!(output.status.code(), Some(2));
    let message = String::from_utf8_lossy(&output.stderr).into_owned();
    assert!(message.contains("/no/such/file.json"), "{message}");
}
