//! A short seeded run of the fault soak with the real daemon, and the seeds that once
//! broke a promise. The long runs are made by `lynxcleat-soak`.

use std::path::{Path, PathBuf};
use std::time::Duration;

use lynxcleat_soak::{SoakOptions, run};
use rstest::rstest;

/// Seed 3 broke "not run": a daemon that had read no host list vouched for all hosts.
#[rstest]
#[case::fresh(1)]
#[case::no_host_list(3)]
#[tokio::test]
async fn promises_hold_under_the_faults_of_a_seed(#[case] seed: u64) {
    let folder = Path::new(env!("CARGO_TARGET_TMPDIR")).join(format!("soak-{seed}"));
    let options = SoakOptions {
        seed,
        hosts: 6,
        callers: 4,
        time: Duration::from_secs(12),
        program: PathBuf::from(env!("CARGO_BIN_EXE_lynxcleatd")),
        folder,
    };
    let report = run(&options).await.expect("a run");
    assert!(report.tries > 0);
    assert!(
        report.violations.is_empty(),
        "{:#?}\n{:#?}",
        report.violations,
        report.evidence
    );
}
