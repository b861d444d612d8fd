//! A worker deregisters while the store is down; the process beside it is killed; a heartbeat of
//! the worker from before arrives late.

use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;

use crate::base::{call, ms, now};
use crate::site::{
    Asked, BOUNDS, CONTACT, Clients, DRAIN, Deployment, Route, configuration, statuses,
};

const ROUTES: &[Route] = &[
    Route {
        name: "r-look",
        prefix: "/leny950/",
        kind: "idempotent",
        timeout: "1000ms",
        goal: "400ms",
        service: "picking-log",
    },
    Route {
        name: "r-entry",
        prefix: "/puka111/",
        kind: "non_idempotent",
        timeout: "1000ms",
        goal: "400ms",
        service: "picking-log",
    },
];
const MACHINES: usize = 4;
const LEAVING: usize = 1;

pub fn run(record: &str, trouble: bool) -> bool {
    let zones = [
        ("jos-hall", "plateau"),
        ("bukuru-hall", "plateau"),
        ("vom-hall", "plateau"),
    ];
    let machines: Vec<(usize, &str)> = (0..MACHINES).map(|_| (0, "picking-log")).collect();
    let deployment = Deployment::start(
        record,
        BOUNDS,
        &configuration(1, ROUTES, &[]),
        &zones,
        &machines,
        (40, ""),
    );
    let site = &deployment.site;
    let mut clients = Clients::new();
    for number in (0..MACHINES).filter(|number| *number != LEAVING) {
        for (method, path) in [("GET", "/leny950/1"), ("POST", "/puka111/1")] {
            let asked = Asked {
                method,
                path: path.to_owned(),
                deadline_ms: 1_000,
                key: None,
                body: String::new(),
                chunked: false,
            };
            clients.add(&deployment, number, Duration::from_millis(60), asked);
        }
    }
    thread::sleep(Duration::from_millis(4_000));

    let late = {
        deployment.is_mute[LEAVING].store(true, Ordering::SeqCst);
        thread::sleep(Duration::from_millis(1_100));
        let mut machine = deployment.machine(LEAVING);
        let (path, body) = machine.heartbeat(site, "ready");
        (machine.control, path, body)
    };
    site.record
        .say("the worker sends a heartbeat, which is held up on its way");
    if trouble {
        deployment.store.set_down(true);
        site.record.say("the store is down");
    }
    thread::sleep(Duration::from_millis(300));
    let answer = deployment.machine(LEAVING).deregister();
    let acknowledged = now();
    deployment.machine(LEAVING).tell_worker("leave");
    let status = answer.map_or(0, |answer| answer.status());
    site.record
        .say(&format!("the worker's deregistration is answered {status}"));
    assert_eq!(status, 200, "not acknowledged");
    thread::sleep(Duration::from_millis(200));
    if trouble {
        let mut machine = deployment.machine(LEAVING);
        machine.kill_daemon(site);
        drop(machine);
        thread::sleep(Duration::from_millis(500));
        deployment.machine(LEAVING).start_daemon(site);
    }
    thread::sleep(Duration::from_millis(1_000));
    deployment.store.set_down(false);
    site.record.say("the store is back");
    thread::sleep(CONTACT + Duration::from_millis(500));
    let (to, path, body) = late;
    let answer = call(to, "POST", &path, &body, Duration::from_secs(1));
    site.record.say(&format!(
        "the heartbeat that was held up arrives, answered {}",
        answer.map_or(0, |answer| answer.status())
    ));
    thread::sleep(Duration::from_millis(5_000));
    deployment.machine(LEAVING).tell_worker("stop");
    site.record.say("the worker ends");
    thread::sleep(Duration::from_millis(2_000));
    let sent = clients.end();
    deployment.end();
    site.record
        .say(&format!("answers: {}", statuses(sent.iter())));
    let begun = site.begun.lock().expect("lock").clone();
    let late: Vec<_> = begun
        .iter()
        .filter(|one| one.machine == LEAVING && one.at > acknowledged + DRAIN)
        .collect();
    if let (Some(first), Some(last)) = (late.first(), late.last()) {
        site.record.say(&format!(
            "the first of them reached it {} ms after the acknowledgement, the last {} ms",
            ms(first.at - acknowledged),
            ms(last.at - acknowledged)
        ));
    }
    let lost = sent.iter().filter(|one| {
        one.status != 200
            && begun
                .iter()
                .any(|begun| begun.id == one.id && begun.machine == LEAVING)
    });
    site.record.say(&format!(
        "requests that it began and that were not answered with its answer: {}",
        statuses(lost)
    ));
    site.record.say(&format!(
        "requests that reached the worker later than drain after the acknowledgement: {}",
        late.len()
    ));
    !late.is_empty()
}
