//! A tenant asks for three times its quota; the machine that holds its bucket is killed and
//! started again: `KILLS` times, 2 s apart, with `HERD` - 1 more each time.

use std::thread;
use std::time::Duration;

use crate::site::{Asked, BOUNDS, Clients, Deployment, Route, configuration, statuses};

const ROUTES: &[Route] = &[Route {
    name: "r-look",
    prefix: "/leny950/",
    kind: "idempotent",
    timeout: "1000ms",
    goal: "400ms",
    service: "digest-svc",
}];
const MACHINES: usize = 10;
const KEY: &str = "k-3f9a";
const WINDOW: Duration = Duration::from_secs(5);
const EXCESS: f64 = 0.1;
const SLACK: f64 = 20.0;

pub fn run(record: &str, trouble: bool) -> bool {
    let number = |name: &str, usual: u64| {
        std::env::var(name)
            .ok()
            .and_then(|text| text.parse().ok())
            .unwrap_or(usual)
    };
    let (per_s, burst, kills) = (number("RATE", 100), number("BURST", 50), number("KILLS", 4));
    let zones = [
        ("eu-central-a", "eu-central"),
        ("eu-central-b", "eu-central"),
        ("eu-central-c", "eu-central"),
    ];
    let machines: Vec<(usize, &str)> = (0..MACHINES)
        .map(|number| (number % 3, "digest-svc"))
        .collect();
    let bounds = BOUNDS.replace("\"recover\"", "\"strictRevoke\":false,\"revoke\":\"5000ms\",\"quotaWindow\":\"5s\",\"quotaExcess\":0.1,\"quotaSlack\":20,\"recover\"");
    let tenants = [("guild", KEY, per_s, burst), ("other", "k-77b1", 50, 20)];
    let deployment = Deployment::start(
        record,
        &bounds,
        &configuration(1, ROUTES, &tenants),
        &zones,
        &machines,
        (5, ""),
    );
    let site = &deployment.site;
    let mut clients = Clients::new();
    let pause = Duration::from_millis(1_000 * MACHINES as u64 * 2 / (per_s * 3));
    for machine in 0..MACHINES {
        for _ in 0..2 {
            let asked = Asked {
                method: "GET",
                path: "/leny950/1".to_owned(),
                deadline_ms: 1_000,
                key: Some(KEY.to_owned()),
                body: String::new(),
                chunked: false,
            };
            clients.add(&deployment, machine, pause, asked);
        }
    }
    thread::sleep(Duration::from_millis(3_000));
    let owner = (0..MACHINES)
        .max_by_key(|number| own_bucket(&deployment, *number))
        .expect("machines");
    site.record
        .say(&format!("the machine that holds the bucket: {owner}"));
    for _ in 0..kills {
        thread::sleep(Duration::from_millis(1_500));
        if trouble {
            let herd = number("HERD", 1) as usize;
            let killed: Vec<usize> = (0..herd).map(|step| (owner + step) % MACHINES).collect();
            for one in &killed {
                deployment.machine(*one).kill_daemon(site);
            }
            thread::sleep(Duration::from_millis(500));
            for one in &killed {
                deployment.machine(*one).start_daemon(site);
            }
        }
    }
    thread::sleep(Duration::from_millis(7_000));
    let sent = clients.end();
    deployment.end();
    site.record
        .say(&format!("answers: {}", statuses(sent.iter())));
    let begun = site.begun.lock().expect("lock").clone();
    let runs: std::collections::HashMap<&str, Duration> =
        begun.iter().map(|one| (one.id.as_str(), one.at)).collect();
    let mut ran: Vec<(Duration, Duration)> = sent
        .iter()
        .filter_map(|one| Some((one.at, *runs.get(one.id.as_str())?)))
        .collect();
    ran.sort_unstable();
    let allowed = (per_s as f64 * WINDOW.as_secs_f64() + burst as f64) * (1.0 + EXCESS) + SLACK;
    let mut worst = (0, Duration::ZERO);
    for (from, _) in &ran {
        let to = *from + WINDOW;
        let count = ran
            .iter()
            .filter(|(sent, arrived)| sent >= from && *arrived <= to)
            .count();
        worst = worst.max((count, *from));
    }
    site.record.say(&format!(
        "in the worst window, from {} ms, {} of the tenant's requests ran; allowed: {allowed}",
        worst.1.as_millis(),
        worst.0
    ));
    worst.0 as f64 > allowed
}

fn own_bucket(deployment: &Deployment, number: usize) -> u64 {
    let text = deployment.machine(number).metrics();
    let line = text
        .lines()
        .find(|line| line.contains("quota_asks") && line.contains("own-bucket"));
    line.and_then(|line| line.rsplit(' ').next())
        .and_then(|value| value.parse().ok())
        .unwrap_or(0)
}
