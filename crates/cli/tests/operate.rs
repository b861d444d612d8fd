//! The operators' program, as operators use it.

use std::path::PathBuf;
use std::process::{Command, Output};

use lynxcleat_standin::{PlatformFaults, PlatformStandin};
use serde_json::Value;

struct Desk {
    platform: PlatformStandin,
    folder: PathBuf,
}

impl Desk {
    fn new(name: &str) -> Self {
        let folder = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(name);
        std::fs::create_dir_all(&folder).expect("a folder");
        Desk {
            platform: PlatformStandin::start("127.0.0.1:0").expect("platform"),
            folder,
        }
    }

    fn run(&self, args: &[&str]) -> Output {
        Command::new(env!("CARGO_BIN_EXE_lynxcleat"))
            .args(args)
            .env("LYNXCLEAT_PLATFORM", self.platform.url())
            .current_dir(&self.folder)
            .output()
            .expect("lynxcleat")
    }

    /// Help shows the environment's value, which differs from run to run.
    fn help(&self, command: &[&str]) -> String {
        let output = Command::new(env!("CARGO_BIN_EXE_lynxcleat"))
            .args(command)
            .arg("--help")
            .env_remove("LYNXCLEAT_PLATFORM")
            .output()
            .expect("lynxcleat");
        String::from_utf8_lossy(&output.stdout).into_owned()
    }

    fn good(&self, args: &[&str]) -> String {
        let output = self.run(args);
        assert!(output.status.success(), "{args:?}: {output:?}");
        String::from_utf8_lossy(&output.stdout).into_owned()
    }

    fn refused(&self, args: &[&str], code: i32) -> String {
        let output = self.run(args);
        assert_eq!(output.status.code(), Some(code), "{args:?}: {output:?}");
        String::from_utf8_lossy(&output.stderr).into_owned()
    }

    /// Accepts a first tree with one service.
    fn first(&self) {
        let tree = r#"{"base": 0, "tree": {"settings": {"slots": 6},
            "places": {"east": {"services": {"stock": {}}}}}}"#;
        std::fs::write(self.folder.join("first.json"), tree).expect("written");
        self.good(&["settings", "accept", "--who", "ann", "first.json"]);
    }
}

#[test]
fn pull_set_diff_accept_history_and_audit() {
    let desk = Desk::new("operate");
    desk.first();
    desk.good(&["settings", "pull", "tree.json"]);
    let path = "places.east.services.stock.slots";
    let set = desk.good(&["settings", "set", "--file", "tree.json", path, "9"]);
    assert_eq!(set, format!("{path}: (inherited) -> 9\n"));
    assert!(
        desk.good(&["settings", "check", "tree.json"])
            .contains("good")
    );
    assert_eq!(desk.good(&["settings", "diff", "tree.json"]), set);
    let accept = [
        "settings",
        "accept",
        "--who",
        "ben",
        "--note",
        "rush",
        "--change",
        "c7",
        "tree.json",
    ];
    assert!(
        desk.good(&accept)
            .contains("change c7 accepted as generation 2")
    );
    assert!(
        desk.good(&accept).contains("as generation 2"),
        "the second time changes nothing"
    );
    let status = desk.good(&["settings", "status", "--change", "c7"]);
    assert!(status.contains("generation 2"));
    let history = desk.good(&["settings", "history", "--format", "json"]);
    let history: Value = serde_json::from_str(&history).expect("JSON");
    assert_eq!(history[1]["who"], "ben");
    assert_eq!(history[1]["note"], "rush");
    assert_eq!(history.as_array().expect("rows").len(), 2);
    let audit = desk.good(&["audit", "--after", "1"]);
    assert_eq!(audit.lines().count(), 1, "{audit}");
    assert!(audit.contains("ben") && audit.contains(path) && audit.contains("-> 9"));
    let shown = desk.good(&[
        "settings",
        "show",
        "--place",
        "east",
        "--service",
        "stock",
        "--origin",
    ]);
    let slots = shown
        .lines()
        .find(|line| line.starts_with("slots "))
        .expect("a line");
    assert!(
        slots.contains('9') && slots.ends_with("places.east.services.stock"),
        "{slots}"
    );
    let unset = desk.good(&["settings", "unset", "--file", "tree.json", path]);
    assert!(unset.ends_with("9 -> (inherited)\n"), "{unset}");
}

#[test]
fn two_desks_conflict_on_one_path_and_merge_on_two() {
    let desk = Desk::new("desks");
    desk.first();
    for file in ["a.json", "b.json", "c.json"] {
        desk.good(&["settings", "pull", file]);
    }
    desk.good(&["settings", "set", "--file", "a.json", "root.slots", "7"]);
    desk.good(&["settings", "set", "--file", "b.json", "root.slots", "8"]);
    desk.good(&[
        "settings",
        "set",
        "--file",
        "c.json",
        "places.east.hold_limit",
        "3",
    ]);
    desk.good(&["settings", "accept", "--who", "a", "a.json"]);
    let conflict = desk.refused(&["settings", "accept", "--who", "b", "b.json"], 4);
    assert!(
        conflict.contains("root.slots: 6 -> 7") && conflict.contains("6 -> 8"),
        "{conflict}"
    );
    let merged = desk.good(&["settings", "accept", "--who", "c", "c.json"]);
    assert!(merged.contains("generation 3, merged"), "{merged}");
    let tree = desk.good(&["settings", "show"]);
    let tree: Value = serde_json::from_str(&tree).expect("JSON");
    assert_eq!(tree["settings"]["slots"], 7);
    assert_eq!(tree["places"]["east"]["settings"]["hold_limit"], 3);
}

#[test]
fn bad_input_is_refused_with_its_path_and_loses_nothing() {
    let desk = Desk::new("bad-input");
    desk.first();
    desk.good(&["settings", "pull", "tree.json"]);
    let before = std::fs::read(desk.folder.join("tree.json")).expect("read");
    let set = |path: &str, value: &str| {
        desk.refused(&["settings", "set", "--file", "tree.json", path, value], 2)
    };
    assert!(set("root.slotz", "1").contains("root.slotz: unknown field"));
    assert!(set("root.slots", "0").contains("outside 1..=4096"));
    assert!(set("root.policy", "best").contains("is not one of"));
    assert!(set("east.slots", "1").contains("not a path"));
    assert_eq!(
        std::fs::read(desk.folder.join("tree.json")).expect("read"),
        before
    );
    std::fs::write(desk.folder.join("plain.json"), "{\"settings\": {}}").expect("written");
    let refused = desk.refused(&["settings", "accept", "--who", "x", "plain.json"], 2);
    assert!(refused.contains("not a working file"), "{refused}");
    desk.refused(&["settings", "show", "--place", "nowhere"], 2);
    desk.refused(&["settings", "accept", "--who", "x", "tree.json"], 1);
    desk.refused(&["settings", "check", "missing.json"], 1);
}

#[test]
fn with_the_platform_down_the_operator_is_told_that_nothing_was_changed() {
    let desk = Desk::new("down");
    desk.first();
    desk.good(&["settings", "pull", "tree.json"]);
    desk.good(&["settings", "set", "--file", "tree.json", "root.slots", "7"]);
    desk.platform.set_faults(PlatformFaults {
        down: true,
        ..PlatformFaults::default()
    });
    let refused = desk.refused(&["settings", "accept", "--who", "x", "tree.json"], 1);
    assert!(refused.contains("nothing was changed"), "{refused}");
}

#[test]
fn help_tells_every_command() {
    let desk = Desk::new("help");
    let commands: [&[&str]; 3] = [&[], &["settings"], &["settings", "accept"]];
    let texts: String = commands.iter().map(|command| desk.help(command)).collect();
    insta::assert_snapshot!(texts);
}

#[test]
fn the_embedded_run_answers_and_reports() {
    let desk = Desk::new("dev");
    let report = desk.good(&["dev", "--seconds", "2", "--report", "json"]);
    let report: Value = serde_json::from_str(&report).expect("one JSON object");
    for field in [
        "calls",
        "answered",
        "refused_not_run",
        "unknown",
        "wrong_answers",
        "p50_ms",
        "p99_ms",
        "p999_ms",
        "direct_p50_ms",
        "direct_p99_ms",
        "added_p50_ms",
        "added_p99_ms",
    ] {
        assert!(report[field].is_number(), "{field}");
    }
    assert!(report["answered"].as_u64() > Some(100));
    assert_eq!(
        (
            report["wrong_answers"].as_u64(),
            report["run_twice"].as_u64()
        ),
        (Some(0), Some(0))
    );
}

#[test]
fn lists_are_set_and_shown_as_names_joined_by_commas() {
    let desk = Desk::new("operate-lists");
    desk.first();
    desk.good(&["settings", "pull", "tree.json"]);
    let set = |path, value| ["settings", "set", "--file", "tree.json", path, value];
    let refused = desk.run(&set("root.home_regions", "bengal"));
    let said = String::from_utf8_lossy(&refused.stderr).into_owned();
    assert!(!refused.status.success());
    assert!(
        said.contains("no place stands in region \"bengal\""),
        "{said}"
    );
    desk.good(&set("places.east.region", "bengal"));
    let changed = desk.good(&set("root.home_regions", "bengal"));
    assert_eq!(changed, "root.home_regions: (inherited) -> [\"bengal\"]\n");
    assert!(
        desk.good(&["settings", "check", "tree.json"])
            .contains("good")
    );
    desk.good(&["settings", "accept", "--who", "ann", "tree.json"]);
    let shown = desk.good(&["settings", "show", "--place", "east", "--service", "stock"]);
    let value = |name: &str| {
        let line = shown.lines().find(|line| line.starts_with(name));
        let words = line.expect("a line").split_whitespace();
        words.skip(1).collect::<String>()
    };
    assert_eq!(
        (value("region ").as_str(), value("home_regions").as_str()),
        ("bengal", "bengal")
    );
    assert!(
        desk.good(&["settings", "fields"])
            .contains("names joined by commas")
    );
}
