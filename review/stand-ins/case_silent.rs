//! Two machines are lost for good; later the connections that are open to the store go silent,
//! while new ones work; then a configuration is written.

use std::collections::HashMap;
use std::thread;
use std::time::Duration;

use crate::base::{ms, now};
use crate::site::{
    Asked, BOUNDS, CONTACT, CONVERGE, Clients, Deployment, Route, configuration, statuses,
};

const LOOK: Route = Route {
    name: "r-look",
    prefix: "/leny950/",
    kind: "idempotent",
    timeout: "1000ms",
    goal: "400ms",
    service: "crate-records",
};
const ENTRY: Route = Route {
    name: "r-entry",
    prefix: "/puka111/",
    kind: "non_idempotent",
    timeout: "1000ms",
    goal: "400ms",
    service: "crate-records",
};
const MACHINES: usize = 8;
/// From the planned work to the silence.
const BEFORE: Duration = Duration::from_millis(2_500);
const ADDED: Route = Route {
    name: "r-added",
    prefix: "/nuka7/",
    kind: "idempotent",
    timeout: "1000ms",
    goal: "400ms",
    service: "crate-records",
};

pub fn run(record: &str, trouble: bool) -> bool {
    let zones = [
        ("jos-hall", "plateau"),
        ("bukuru-hall", "plateau"),
        ("vom-hall", "plateau"),
    ];
    let machines: Vec<(usize, &str)> = (0..MACHINES)
        .map(|number| (number % 3, "crate-records"))
        .collect();
    let deployment = Deployment::start(
        record,
        BOUNDS,
        &configuration(1, &[LOOK, ENTRY], &[]),
        &zones,
        &machines,
        (40, ""),
    );
    let site = &deployment.site;

    let mut looks: Vec<(u64, usize)> = (0..MACHINES)
        .map(|number| (settings_waits(&deployment, number), number))
        .collect();
    looks.sort_unstable();
    site.record.say(&format!(
        "calls for changes of the settings so far, by machine: {looks:?}"
    ));
    let lost: Vec<usize> = looks
        .iter()
        .rev()
        .take(2)
        .map(|(_, number)| *number)
        .collect();
    let rest: Vec<usize> = (0..MACHINES)
        .filter(|number| !lost.contains(number))
        .collect();
    if trouble && !is_left_out("LOSS") {
        for number in &lost {
            let mut machine = deployment.machine(*number);
            deployment.is_mute[*number].store(true, std::sync::atomic::Ordering::SeqCst);
            machine.kill_daemon(site);
            machine.tell_worker("stop");
        }
    }
    let asked = |path: &str| Asked {
        method: "GET",
        path: path.to_owned(),
        deadline_ms: 1_000,
        key: None,
        body: String::new(),
        chunked: false,
    };
    let mut clients = Clients::new();
    for number in &rest {
        clients.add(
            &deployment,
            *number,
            Duration::from_millis(150),
            asked("/leny950/1"),
        );
    }
    thread::sleep(Duration::from_millis(8_000));

    // Planned work: a worker is replaced, and the configuration changes.
    deployment.machine(rest[0]).tell_worker("stop");
    thread::sleep(Duration::from_millis(100));
    deployment
        .machine(rest[0])
        .start_worker(site, "i-new", 40, "");
    deployment
        .store
        .put("op", "config", &configuration(2, &[LOOK, ENTRY], &[]));
    site.record
        .say("a worker is replaced; configuration r2 is acknowledged");
    thread::sleep(BEFORE);
    if trouble && !is_left_out("SILENCE") {
        deployment.store.silence_open_connections();
        site.record.say("open connections to the store go silent");
    }
    thread::sleep(CONTACT + Duration::from_millis(300));
    deployment.store.put(
        "op",
        "config",
        &configuration(3, &[LOOK, ENTRY, ADDED], &[]),
    );
    let acknowledged = now();
    site.record
        .say("configuration r3 is acknowledged: it adds a route");
    let mut probes = Clients::new();
    for number in &rest {
        probes.add(
            &deployment,
            *number,
            Duration::from_millis(200),
            asked("/nuka7/1"),
        );
    }
    thread::sleep(Duration::from_millis(20_000));
    let probes = probes.end();
    let others = clients.end();
    deployment.end();
    site.record.say(&format!(
        "requests of the first route: {}",
        statuses(others.iter())
    ));
    site.record.say(&format!(
        "requests of the added route: {}",
        statuses(probes.iter())
    ));
    let late: Vec<_> = probes
        .iter()
        .filter(|one| one.at > acknowledged + CONVERGE && one.status == 404)
        .collect();
    let mut last: HashMap<usize, u64> = HashMap::new();
    for one in probes.iter().filter(|one| one.status == 404) {
        last.insert(one.machine, ms(one.at - acknowledged));
    }
    site.record.say(&format!(
        "last 404 by machine, ms after the acknowledgement: {last:?}"
    ));
    site.record.say(&format!(
        "refused with 404 though sent later than converge after the acknowledgement: {}",
        late.len()
    ));
    !late.is_empty()
}

/// Whether one of the two disruptions is left out, to compare: `LOSS=0` or `SILENCE=0`.
fn is_left_out(name: &str) -> bool {
    std::env::var(name).as_deref() == Ok("0")
}

/// Calls of a machine that wait for changes of the settings.
fn settings_waits(deployment: &Deployment, number: usize) -> u64 {
    let text = deployment.machine(number).metrics();
    let line = text
        .lines()
        .find(|line| line.contains("store_calls") && line.contains("\"settings-wait\""));
    line.and_then(|line| line.rsplit(' ').next())
        .and_then(|value| value.parse().ok())
        .unwrap_or(0)
}
