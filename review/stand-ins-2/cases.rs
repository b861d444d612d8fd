//! The cases.

use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use crate::machine::{CONTROL, Scene, Seen};
use crate::record::unix_ms;
use crate::worker::Worker;

/// What a case found.
pub enum Verdict {
    Held(String),
    Broken(String),
}

type Played = Result<Verdict, String>;

pub fn play(case: &str, scene: &mut Scene, is_troubled: bool) -> Played {
    match case {
        "reuse" => reuse(scene, is_troubled),
        "upload" => upload(scene, is_troubled),
        "born" => born(scene, is_troubled),
        "stranger" => stranger(scene, is_troubled),
        "refused" => refused(scene, is_troubled),
        "term" => term(scene, is_troubled),
        "caller" => caller(scene, is_troubled),
        other => Err(format!("no case {other}")),
    }
}

/// A route of the configuration.
struct Route {
    name: &'static str,
    prefix: &'static str,
    kind: &'static str,
    times: (&'static str, &'static str),
    attempts: u32,
    service: &'static str,
}

fn configuration(version: u64, routes: &[Route], services: &[&str]) -> String {
    let rows: Vec<String> = routes
        .iter()
        .map(|route| {
            format!(
                r#"["{}","shop.example","{}","{}","{}","{}",1,null,{},"{}"]"#,
                route.name,
                route.prefix,
                route.kind,
                route.times.0,
                route.times.1,
                route.attempts,
                route.service
            )
        })
        .collect();
    let services: Vec<String> = services
        .iter()
        .map(|service| format!(r#"["{service}","/health",220,"h1",false]"#))
        .collect();
    format!(
        r#"{{"version":"r{version}","routes":{{"columns":["name","host","prefix","kind","timeout","goal","priority","split","attempts","service"],"rows":[{}]}},"services":{{"columns":["name","healthPath","maxConns","protocol","tls"],"rows":[{}]}},"limits":{{"maxHeaderBytes":16384,"maxBodyBytes":67108864,"headerTimeout":"3000ms","idleTimeout":"15000ms"}}}}"#,
        rows.join(","),
        services.join(",")
    )
}

fn pause_ms(ms: u64) {
    thread::sleep(Duration::from_millis(ms));
}

/// Sends requests one after the other until each worker of the first machines has run one.
fn warm(scene: &Scene, from: usize, target: &str, count: usize) -> Result<(), String> {
    let has_run = |nth: usize| {
        scene.machines[nth]
            .worker()
            .reached()
            .iter()
            .any(|one| one.ran)
    };
    for turn in 0..400 {
        if (0..count).all(has_run) {
            return Ok(());
        }
        let id = format!("warm-{turn}-{}", target.len());
        scene.request(from, ("GET", target), &id, 2_000, b"");
        pause_ms(10);
    }
    Err("not every worker was given a request".to_owned())
}

/// Requests of clients, each in a thread of its own.
struct Clients<'a, 'scope, 'env> {
    scope: &'scope thread::Scope<'scope, 'env>,
    scene: &'a Scene,
    seen: Arc<Mutex<Vec<Seen>>>,
}

impl<'a: 'scope, 'scope> Clients<'a, 'scope, '_> {
    fn send(
        &self,
        from: usize,
        call: (&'static str, &'static str),
        id: String,
        deadline_ms: u64,
        body: &'static [u8],
    ) {
        let (scene, seen) = (self.scene, Arc::clone(&self.seen));
        self.scope.spawn(move || {
            let one = scene.request(from, call, &id, deadline_ms, body);
            seen.lock().expect("lock").push(one);
        });
    }
}

/// A worker falls silent for good; `reuse` later its address is given to a worker of another service.
fn reuse(scene: &mut Scene, is_troubled: bool) -> Played {
    let routes = [
        Route {
            name: "r-label",
            prefix: "/label/",
            kind: "idempotent",
            times: ("3s", "1500ms"),
            attempts: 2,
            service: "verdict",
        },
        Route {
            name: "r-reject",
            prefix: "/reject/",
            kind: "non_idempotent",
            times: ("10s", "1500ms"),
            attempts: 2,
            service: "verdict",
        },
        Route {
            name: "r-photo",
            prefix: "/photo/",
            kind: "idempotent",
            times: ("6s", "1200ms"),
            attempts: 2,
            service: "gallery",
        },
    ];
    scene.store.put(
        "op",
        "config",
        &configuration(7, &routes, &["verdict", "gallery"]),
    );
    scene.start(&[[("verdict", 2); 6].as_slice(), &[("gallery", 2); 2]].concat())?;
    warm(scene, 6, "/label/20/warm", 6)?;
    let first = scene.machines[0].worker();
    pause_ms(4_000);
    let scene = &*scene;
    let seen = Arc::new(Mutex::new(Vec::new()));
    thread::scope(|scope| {
        let clients = Clients {
            scope,
            scene,
            seen: Arc::clone(&seen),
        };
        for nth in 0..12 {
            clients.send(
                6 + nth % 2,
                ("GET", "/label/480/a"),
                format!("label-{nth}"),
                3_000,
                b"",
            );
            pause_ms(8);
        }
        pause_ms(60);
        if is_troubled {
            first.fall_silent();
        }
        for nth in 0..24 {
            clients.send(
                6 + nth % 2,
                ("POST", "/reject/480/b"),
                format!("reject-{nth}"),
                10_000,
                b"part 7 rejected",
            );
            pause_ms(15);
        }
        if is_troubled {
            // `reuse` is 2 s.
            pause_ms(2_000);
            scene.machines[0].clear_worker();
            first.leave_address();
            if let Err(error) = scene.change_service(0, "gallery") {
                scene.record.note(&error);
            }
            let next = Worker::start(
                &scene.record,
                ("i-gallery-9", "gallery"),
                scene.machines[0].app(),
                (unix_ms(), 2),
            );
            scene.machines[0].set_worker(next);
        }
    });
    let photo = scene.request(1, ("GET", "/photo/20/c"), "photo-1", 3_000, b"");
    let all = [6, 7, 0].map(|nth: usize| scene.machines[nth].worker());
    let wrong: Vec<String> = all
        .iter()
        .filter(|worker| worker.service == "gallery")
        .flat_map(|worker| {
            worker
                .reached()
                .into_iter()
                .map(|one| (worker.id.clone(), one))
        })
        .filter(|(_, one)| one.ran && !one.target.starts_with("/photo/"))
        .map(|(worker, one)| format!("{worker} of gallery ran {} {}", one.target, one.id))
        .collect();
    let answered = seen
        .lock()
        .expect("lock")
        .iter()
        .filter(|one| one.status == 200)
        .count();
    let summary = format!(
        "{answered} of 36 requests answered with 200; a request to gallery got {}",
        photo.status
    );
    match wrong.is_empty() {
        true => Ok(Verdict::Held(summary)),
        false => Ok(Verdict::Broken(format!(
            "ROUTE: {}; {summary}",
            wrong.join(", ")
        ))),
    }
}

/// `drain` in the settings of the scene.
const DRAIN: Duration = Duration::from_millis(2_000);
/// `contact` and `converge` in the settings of the scene.
const CONTACT_MS: u64 = 3_000;
const CONVERGE: Duration = Duration::from_millis(2_000);

/// A worker says that it leaves until it is acknowledged. Returns when that was.
fn leave(scene: &Scene, nth: usize, worker: &Worker) -> Result<Duration, String> {
    worker.leave();
    for _ in 0..20 {
        if worker.beat(scene.machines[nth].at(CONTROL), "draining") {
            return Ok(scene.record.now());
        }
        pause_ms(100);
    }
    Err("the leaving was not acknowledged".to_owned())
}

/// Requests that reached a worker later than `drain` after the acknowledgement, and were taken.
fn late(worker: &Worker, acknowledged: Duration) -> Vec<String> {
    let reached = worker.reached();
    let is_late = |at: Duration| at > acknowledged + DRAIN;
    let late = reached.iter().filter(|one| one.ran && is_late(one.at));
    late.map(|one| {
        format!(
            "{} {:.3} s after it",
            one.id,
            (one.at - acknowledged).as_secs_f64()
        )
    })
    .collect()
}

fn drained(worker: &Worker, acknowledged: Duration, summary: &str) -> Played {
    let late = late(worker, acknowledged);
    Ok(match late.is_empty() {
        true => Verdict::Held(summary.to_owned()),
        false => Verdict::Broken(format!(
            "DRAIN: after the acknowledged leaving of {} it was reached by {} requests: {}; {summary}",
            worker.id,
            late.len(),
            late.join(", ")
        )),
    })
}

/// Some operations at once, from the machines after the first. Returns how each was answered.
fn operations(scene: &Scene, name: &str, count: usize) -> Vec<Seen> {
    let seen = Arc::new(Mutex::new(Vec::new()));
    thread::scope(|scope| {
        let clients = Clients {
            scope,
            scene,
            seen: Arc::clone(&seen),
        };
        for nth in 0..count {
            clients.send(
                1 + nth % 3,
                ("POST", "/issue/300/x"),
                format!("{name}-{nth}"),
                2_000,
                b"one tyre",
            );
            pause_ms(5);
        }
    });
    let seen = seen.lock().expect("lock");
    seen.clone()
}

/// What became of requests: served, refused, and neither.
fn tally(seen: &[Seen]) -> String {
    let count = |holds: fn(u16) -> bool| seen.iter().filter(|one| holds(one.status)).count();
    let served = count(|status| status == 200);
    let refused = count(|status| status == 503);
    let lost = count(|status| status != 200 && status != 503);
    format!(
        "{served} of {} served, {refused} refused, {lost} lost",
        seen.len()
    )
}

/// A worker that was told that its leaving is known serves on for `drain` and a little longer, and
/// ends.
fn end_later(
    scene: &Scene,
    nth: usize,
    worker: &Arc<Worker>,
    after_ms: u64,
) -> thread::JoinHandle<()> {
    let (worker, machine) = (Arc::clone(worker), Arc::clone(&scene.machines[nth]));
    thread::spawn(move || {
        pause_ms(after_ms);
        worker.deregister(machine.at(CONTROL));
        worker.end("ends as it said");
        machine.clear_worker();
    })
}

const ISSUE: Route = Route {
    name: "r-issue",
    prefix: "/issue/",
    kind: "non_idempotent",
    times: ("2s", "1s"),
    attempts: 2,
    service: "stock",
};

const LOOK: Route = Route {
    name: "r-look",
    prefix: "/look/",
    kind: "idempotent",
    times: ("2s", "400ms"),
    attempts: 2,
    service: "stock",
};

/// Uploads whose bodies begin late, to a worker that leaves meanwhile.
fn upload(scene: &mut Scene, is_troubled: bool) -> Played {
    let batch = Route {
        name: "r-batch",
        prefix: "/batch/",
        kind: "upload",
        times: ("12s", "2s"),
        attempts: 2,
        service: "stock",
    };
    scene.store.put(
        "op",
        "config",
        &configuration(7, &[LOOK, batch], &["stock", "other"]),
    );
    scene.start(&[[("stock", 4); 8].as_slice(), &[("other", 4); 2]].concat())?;
    warm(scene, 8, "/look/20/warm", 8)?;
    let first = scene.machines[0].worker();
    pause_ms(4_000);
    let scene = &*scene;
    let mut acknowledged = Err("it did not leave".to_owned());
    let (mut served, mut refused) = (0, 0);
    thread::scope(|scope| {
        let uploads: Vec<_> = (0..24)
            .map(|nth| {
                pause_ms(20);
                scope.spawn(move || {
                    scene.upload(
                        8 + nth % 2,
                        "/batch/400/y",
                        &format!("upload-{nth}"),
                        Duration::from_secs(5),
                    )
                })
            })
            .collect();
        pause_ms(700);
        acknowledged = match is_troubled {
            true => leave(scene, 0, &first),
            false => Ok(scene.record.now()),
        };
        if is_troubled {
            end_later(scene, 0, &first, 4_350);
        }
        let ends: Vec<u16> = uploads
            .into_iter()
            .filter_map(|upload| upload.join().ok())
            .collect();
        served = ends.iter().filter(|status| **status == 200).count();
        refused = ends.iter().filter(|status| **status == 503).count();
    });
    let acknowledged = acknowledged?;
    let summary = format!(
        "{served} of 24 uploads served, {refused} refused, {} lost",
        24 - served - refused
    );
    match is_troubled {
        true => drained(&first, acknowledged, &summary),
        false => Ok(Verdict::Held(summary)),
    }
}

/// A worker starts again under its id after the time of day has jumped back, and leaves later.
fn born(scene: &mut Scene, is_troubled: bool) -> Played {
    scene.store.put(
        "op",
        "config",
        &configuration(7, &[LOOK, ISSUE], &["stock", "other"]),
    );
    scene.start(&[[("stock", 6); 7].as_slice(), &[("other", 6)]].concat())?;
    warm(scene, 7, "/look/20/warm", 7)?;
    pause_ms(2_000);
    let ahead = if is_troubled { 2_000 } else { 0 };
    scene.record.note(&format!(
        "the time of day of sidecar-east-1 is {ahead} ms ahead"
    ));
    let mut worker = scene.machines[0].worker();
    for ahead in [ahead, 0] {
        worker.end("crashes");
        scene.machines[0].clear_worker();
        pause_ms(700);
        if ahead == 0 {
            scene
                .record
                .note("the time of day of sidecar-east-1 is right");
        }
        worker = Worker::start(
            &scene.record,
            (&worker.id, "stock"),
            scene.machines[0].app(),
            (unix_ms() + ahead, 6),
        );
        scene.machines[0].set_worker(Arc::clone(&worker));
        pause_ms(700);
    }
    pause_ms(CONTACT_MS + 1_500);
    let before = operations(scene, "before", 42);
    let took = worker.reached().len();
    pause_ms(1_000);
    let acknowledged = leave(scene, 0, &worker)?;
    let ending = end_later(scene, 0, &worker, 2_750);
    pause_ms(2_550);
    let after = operations(scene, "after", 42);
    let _ = ending.join();
    pause_ms(500);
    let summary = format!(
        "before: {}, {took} of them by the worker that started again; after: {}",
        tally(&before),
        tally(&after)
    );
    drained(&worker, acknowledged, &summary)
}

/// A heartbeat of another writer names a service that there is not; later the worker leaves while
/// the store is down.
fn stranger(scene: &mut Scene, is_troubled: bool) -> Played {
    let only = std::env::var("ONLY").unwrap_or_default();
    scene.store.put(
        "op",
        "config",
        &configuration(7, &[LOOK, ISSUE], &["stock", "other"]),
    );
    scene.start(&[("stock", 6), ("stock", 6), ("stock", 6), ("other", 6)])?;
    warm(scene, 3, "/look/20/warm", 3)?;
    let workers = [scene.machines[0].worker()];
    pause_ms(CONTACT_MS + 1_000);
    let worker = &workers[0];
    if is_troubled && only != "store" {
        let body = worker.heartbeat("nosuch", "ready", worker.last_seq() + 1_000);
        let status = scene.report(0, &format!("{}/heartbeat", worker.id), &body);
        scene
            .record
            .note(&format!("a heartbeat of another writer: {body}: {status}"));
    }
    pause_ms(2_000);
    let before = operations(scene, "before", 18);
    pause_ms(500);
    if is_troubled && only != "beat" {
        scene.record.note("the store falls silent");
        scene.store.set_silent(true);
    }
    pause_ms(400);
    let acknowledged = leave(scene, 0, worker)?;
    let ending = end_later(scene, 0, worker, 2_400);
    pause_ms(2_200);
    let after = operations(scene, "after", 18);
    // It was silent for less than 4.5 s.
    scene.store.set_silent(false);
    scene.record.note("the store answers");
    let _ = ending.join();
    pause_ms(1_000);
    drained(
        worker,
        acknowledged,
        &format!("before: {}; after: {}", tally(&before), tally(&after)),
    )
}

/// A configuration with a longer idle time, or with what VALUE names in its place.
fn alter(configuration: String) -> String {
    match std::env::var("VALUE").unwrap_or_default().as_str() {
        "attempts" => configuration.replacen(",null,2,", ",null,10,", 1),
        "priority" => configuration.replacen(",1,null,", ",null,null,", 1),
        "conns" => configuration.replacen(",220,", ",70000,", 1),
        _ => configuration.replace("15000ms", "900s"),
    }
}

/// The idle time is changed, and a route is moved by the next version.
fn refused(scene: &mut Scene, is_troubled: bool) -> Played {
    scene.store.put(
        "op",
        "config",
        &configuration(7, &[LOOK], &["stock", "other"]),
    );
    scene.start(&[("stock", 6), ("stock", 6), ("other", 6), ("other", 6)])?;
    let workers = [0, 1].map(|nth: usize| scene.machines[nth].worker());
    warm(scene, 3, "/look/20/warm", 2)?;
    pause_ms(CONTACT_MS);
    let fresh = Route {
        name: "r-fresh",
        prefix: "/fresh/",
        service: "other",
        ..LOOK
    };
    let moved = Route {
        service: "other",
        ..LOOK
    };
    let services = ["stock", "other"];
    let altered = |configuration: String| match is_troubled {
        true => alter(configuration),
        false => configuration,
    };
    let first = altered(configuration(8, &[LOOK], &services));
    scene.store.put("op", "config", &first);
    scene.record.note(&format!("the store has {first}"));
    pause_ms(1_000);
    let second = altered(configuration(9, &[moved, fresh], &services));
    scene.store.put("op", "config", &second);
    let acknowledged = scene.record.now();
    scene.record.note(&format!("the store has {second}"));
    pause_ms(4_000);
    let seen = Arc::new(Mutex::new(Vec::new()));
    let scene = &*scene;
    thread::scope(|scope| {
        let clients = Clients { scope, scene, seen };
        for nth in 0..18 {
            clients.send(
                1 + nth % 3,
                ("GET", "/look/40/x"),
                format!("after-{nth}"),
                2_000,
                b"",
            );
            pause_ms(5);
        }
    });
    let fresh = scene.request(3, ("GET", "/fresh/20/z"), "fresh-1", 2_000, b"");
    let old = workers.iter().flat_map(|worker| worker.reached());
    let late = old
        .filter(|one| one.ran && one.at > acknowledged + CONVERGE)
        .count();
    let summary = format!("a request on the new route got {}", fresh.status);
    Ok(match late == 0 && fresh.status == 200 {
        true => Verdict::Held(summary),
        false => Verdict::Broken(format!(
            "CONFIG: {late} of 18 requests sent 4 s after the acknowledgement of r9 were run by the service of r7; {summary}"
        )),
    })
}

/// A worker crashes for good, and its address is given to a worker of another service: requests that
/// begin at that machine.
fn caller(scene: &mut Scene, is_troubled: bool) -> Played {
    let photo = Route {
        name: "r-photo",
        prefix: "/photo/",
        service: "other",
        ..LOOK
    };
    scene.store.put(
        "op",
        "config",
        &configuration(7, &[LOOK, photo], &["stock", "other"]),
    );
    scene.start(&[("stock", 6), ("stock", 6), ("other", 6), ("other", 6)])?;
    let first = scene.machines[0].worker();
    warm(scene, 3, "/look/20/warm", 2)?;
    pause_ms(2_000);
    first.end("crashes for good");
    scene.machines[0].clear_worker();
    // `reuse` is 2 s.
    pause_ms(2_100);
    let service = if is_troubled { "other" } else { "stock" };
    scene.change_service(0, service)?;
    let next = Worker::start(
        &scene.record,
        ("i-next-9", service),
        scene.machines[0].app(),
        (unix_ms(), 6),
    );
    scene.machines[0].set_worker(next);
    pause_ms(CONTACT_MS + 2_000);
    for nth in 0..20 {
        let target = if nth % 2 == 0 {
            "/look/20/x"
        } else {
            "/photo/20/x"
        };
        scene.request(0, ("GET", target), &format!("from-first-{nth}"), 2_000, b"");
    }
    let reached: Vec<_> = (0..4)
        .flat_map(|nth| scene.machines[nth].worker().reached())
        .collect();
    let of_first = reached
        .iter()
        .filter(|one| one.ran && one.id.starts_with("from-first-"));
    let wrong = of_first.clone().filter(|one| one.caller != service).count();
    let summary = format!(
        "{} requests that began at the machine of {service} were run",
        of_first.count()
    );
    Ok(match wrong {
        0 => Verdict::Held(summary),
        _ => Verdict::Broken(format!(
            "UNASKED: {summary}, {wrong} of them with another X-Caller-Service"
        )),
    })
}

/// A machine is stopped as planned while requests that began there wait for a slot.
fn term(scene: &mut Scene, is_troubled: bool) -> Played {
    let issue = Route {
        times: ("10s", "1500ms"),
        ..ISSUE
    };
    scene.store.put(
        "op",
        "config",
        &configuration(7, &[LOOK, issue], &["stock", "other"]),
    );
    scene.start(&[("stock", 2), ("stock", 2), ("other", 2), ("other", 2)])?;
    let workers = [0, 1].map(|nth: usize| scene.machines[nth].worker());
    warm(scene, 3, "/look/20/warm", 2)?;
    for nth in 0..30 {
        scene.request(
            2 + nth % 2,
            ("POST", "/issue/100/x"),
            &format!("usual-{nth}"),
            10_000,
            b"one tyre",
        );
    }
    pause_ms(3_500);
    let scene = &*scene;
    let seen = Arc::new(Mutex::new(Vec::new()));
    let long = Arc::new(Mutex::new(Vec::new()));
    thread::scope(|scope| {
        let longer = Clients {
            scope,
            scene,
            seen: Arc::clone(&long),
        };
        for nth in 0..4 {
            longer.send(
                3,
                ("POST", "/issue/5900/x"),
                format!("long-{nth}"),
                10_000,
                b"one tyre",
            );
            pause_ms(60);
        }
        // The platform asks once a second; after two misses it sends no new clients.
        let asked_at = scene.record.now();
        let ask = move |nth: u32| {
            let due = asked_at + Duration::from_millis(1_000) * nth;
            thread::sleep(due.saturating_sub(scene.record.now()));
            let is_ready = scene.machines[2].is_ready();
            scene.record.note(&format!(
                "the platform asks sidecar-east-3: {}",
                if is_ready { "ready" } else { "not ready" }
            ));
        };
        ask(0);
        scope.spawn(move || [1, 2, 3].map(ask));
        pause_ms(50);
        if is_troubled {
            scene
                .record
                .note("SIGTERM to the process of sidecar-east-3");
            scene.machines[2].signal("TERM");
        }
        pause_ms(1_250);
        let clients = Clients {
            scope,
            scene,
            seen: Arc::clone(&seen),
        };
        for nth in 0..6 {
            clients.send(
                2,
                ("POST", "/issue/100/x"),
                format!("last-{nth}"),
                10_000,
                b"one tyre",
            );
            pause_ms(90);
        }
    });
    if is_troubled {
        scene.machines[2].forget();
    }
    let seen = seen.lock().expect("lock");
    let lost = seen.iter().filter(|one| one.status == 0).count();
    let ran = |id: &str| {
        workers
            .iter()
            .any(|worker| worker.reached().iter().any(|one| one.id == id))
    };
    let reached = (0..6).filter(|nth| ran(&format!("last-{nth}"))).count();
    let summary = format!(
        "of the requests sent 1.3 to 1.8 s after SIGTERM: {}, {reached} reached a worker; long ones: {}",
        tally(&seen),
        tally(&long.lock().expect("lock"))
    );
    Ok(match lost {
        0 => Verdict::Held(summary),
        _ => Verdict::Broken(format!(
            "LOST: {lost} connections ended without an answer; {summary}"
        )),
    })
}
