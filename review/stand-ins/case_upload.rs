//! A request of a route of kind `upload`, whose body comes in chunks, crashes each worker that
//! begins to run it, and comes again at any machine.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::Duration;

use crate::base::now;
use crate::site::{
    Asked, BOUNDS, CONTACT, Clients, Deployment, Route, configuration, send, statuses,
};

const ROUTES: &[Route] = &[
    Route {
        name: "r-upload",
        prefix: "/atelier/",
        kind: "upload",
        timeout: "2000ms",
        goal: "800ms",
        service: "atelier",
    },
    Route {
        name: "r-look",
        prefix: "/vitrine/",
        kind: "idempotent",
        timeout: "1000ms",
        goal: "400ms",
        service: "atelier",
    },
];
const MACHINES: usize = 6;
/// A worker that crashed is back after this time.
const BACK: Duration = Duration::from_millis(2_000);
/// Time between two tries of the request.
const AGAIN: Duration = Duration::from_millis(600);
const TRIES: usize = 50;
/// The retries that the rule allows from then on.
const ALLOWED: usize = 3;

pub fn run(record: &str, trouble: bool) -> bool {
    let zones = [
        ("jos-hall", "plateau"),
        ("bukuru-hall", "plateau"),
        ("vom-hall", "plateau"),
    ];
    let machines: Vec<(usize, &str)> = (0..MACHINES)
        .map(|number| (number % 3, "atelier"))
        .collect();
    let ends_on = if trouble { "bad-bundle" } else { "" };
    let deployment = Arc::new(Deployment::start(
        record,
        BOUNDS,
        &configuration(1, ROUTES, &[]),
        &zones,
        &machines,
        (40, ends_on),
    ));
    let site = &deployment.site;

    // Brings crashed workers back.
    let over = Arc::new(AtomicBool::new(false));
    let keeper = {
        let (deployment, over) = (Arc::clone(&deployment), Arc::clone(&over));
        thread::spawn(move || {
            let mut down: Vec<Option<Duration>> = vec![None; MACHINES];
            let mut lives = vec![1; MACHINES];
            while !over.load(Ordering::SeqCst) {
                for number in 0..MACHINES {
                    let runs = deployment.machine(number).worker_runs();
                    match down[number] {
                        None if !runs => {
                            deployment.is_mute[number].store(true, Ordering::SeqCst);
                            down[number] = Some(now());
                        }
                        Some(since) if now() >= since + BACK => {
                            lives[number] += 1;
                            let id = format!("i-{number}-{}", lives[number]);
                            deployment.machine(number).start_worker(
                                &deployment.site,
                                &id,
                                40,
                                ends_on,
                            );
                            deployment.is_mute[number].store(false, Ordering::SeqCst);
                            down[number] = None;
                        }
                        _ => {}
                    }
                }
                thread::sleep(Duration::from_millis(20));
            }
        })
    };

    let mut clients = Clients::new();
    for number in 0..MACHINES {
        let asked = Asked {
            method: "GET",
            path: "/vitrine/1".to_owned(),
            deadline_ms: 1_000,
            key: None,
            body: String::new(),
            chunked: false,
        };
        clients.add(&deployment, number, Duration::from_millis(150), asked);
    }
    // CHUNKED=0: the same request with a stated length, to compare.
    let chunked = std::env::var("CHUNKED").as_deref() != Ok("0");
    let bad = Asked {
        method: "POST",
        path: "/atelier/bad-bundle/7".to_owned(),
        deadline_ms: 2_000,
        key: None,
        body: "x".repeat(2_048),
        chunked,
    };
    let mut sent = Vec::new();
    for turn in 0..TRIES {
        let to = deployment.machine(turn % MACHINES).outbound;
        sent.push(send(site, turn % MACHINES, to, &bad));
        thread::sleep(AGAIN);
    }
    over.store(true, Ordering::SeqCst);
    let others = clients.end();
    keeper.join().expect("keeper");
    let crashes = site.crashes.lock().expect("lock").clone();
    let begun = site.begun.lock().expect("lock").clone();
    site.record.say(&format!(
        "the request was sent {} times: {}",
        sent.len(),
        statuses(sent.iter())
    ));
    site.record
        .say(&format!("other requests: {}", statuses(others.iter())));
    site.record
        .say(&format!("workers that crashed under it: {}", crashes.len()));
    let Some((third, ..)) = crashes.get(2) else {
        site.record
            .say("fewer than three workers crashed: the rule binds nothing");
        return false;
    };
    let from = *third + CONTACT;
    let late: Vec<_> = sent.iter().filter(|one| one.at > from).collect();
    let reached = late
        .iter()
        .filter(|one| begun.iter().any(|begun| begun.id == one.id))
        .count();
    site.record.say(&format!(
        "third crash at {} ms; sent later than contact after it: {}, of which reached workers: {reached} (allowed: {ALLOWED})",
        third.as_millis(),
        late.len()
    ));
    reached > ALLOWED
}
