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
                route.name, route.prefix, route.kind, route.times.0, route.times.1, route.attempts, route.service
            )
        })
        .collect();
    let services: Vec<String> =
        services.iter().map(|service| format!(r#"["{service}","/health",220,"h1",false]"#)).collect();
    format!(
        r#"{{"version":"r{version}","routes":{{"columns":["name","host","prefix","kind","timeout","goal","priority","split","attempts","service"],"rows":[{}]}},"services":{{"columns":["name","healthPath","maxConns","protocol","tls"],"rows":[{}]}},"limits":{{"maxHeaderBytes":16384,"maxBodyBytes":67108864,"headerTimeout":"3000ms","idleTimeout":"15000ms"}}}}"#,
        rows.join(","),
        services.join(",")
    )
}

fn pause_ms(ms: u64) {
    thread::sleep(Duration::from_millis(ms));
}

/// Sends requests one after the other until each of some workers has run one.
fn warm(scene: &Scene, from: usize, target: &str, workers: &[&Arc<Worker>]) -> Result<(), String> {
    for turn in 0..400 {
        if workers.iter().all(|worker| worker.reached().iter().any(|one| one.ran)) {
            return Ok(());
        }
        scene.request(from, ("GET", target), &format!("warm-{turn}-{}", target.len()), 2_000, b"");
        pause_ms(20);
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
    fn send(&self, from: usize, call: (&'static str, &'static str), id: String, deadline_ms: u64, body: &'static [u8]) {
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
        Route { name: "r-label", prefix: "/label/", kind: "idempotent", times: ("3s", "1500ms"), attempts: 2, service: "verdict" },
        Route { name: "r-reject", prefix: "/reject/", kind: "non_idempotent", times: ("10s", "1500ms"), attempts: 2, service: "verdict" },
        Route { name: "r-photo", prefix: "/photo/", kind: "idempotent", times: ("6s", "1200ms"), attempts: 2, service: "gallery" },
    ];
    scene.store.put("op", "config", &configuration(7, &routes, &["verdict", "gallery"]));
    scene.start(&[("verdict", 2), ("verdict", 2), ("gallery", 2), ("gallery", 2)])?;
    let (first, second) = (scene.machines[0].worker(), scene.machines[1].worker());
    warm(scene, 2, "/label/20/warm", &[&first, &second])?;
    pause_ms(4_000);
    let scene = &*scene;
    let seen = Arc::new(Mutex::new(Vec::new()));
    thread::scope(|scope| {
        let clients = Clients { scope, scene, seen: Arc::clone(&seen) };
        for nth in 0..4 {
            clients.send(2 + nth % 2, ("GET", "/label/480/a"), format!("label-{nth}"), 3_000, b"");
            pause_ms(15);
        }
        pause_ms(60);
        if is_troubled {
            first.fall_silent();
        }
        for nth in 0..10 {
            clients.send(2 + nth % 2, ("POST", "/reject/480/b"), format!("reject-{nth}"), 10_000, b"part 7 rejected");
            pause_ms(30);
        }
        if is_troubled {
            // `reuse` is 2 s.
            pause_ms(2_000);
            scene.machines[0].clear_worker();
            first.leave_address();
            if let Err(error) = scene.change_service(0, "gallery") {
                scene.record.note(&error);
            }
            let next = Worker::start(&scene.record, ("i-gallery-9", "gallery"), scene.machines[0].app(), (unix_ms(), 2));
            scene.machines[0].set_worker(next);
        }
    });
    let photo = scene.request(1, ("GET", "/photo/20/c"), "photo-1", 3_000, b"");
    let all = [2, 3, 0].map(|nth: usize| scene.machines[nth].worker());
    let wrong: Vec<String> = all
        .iter()
        .filter(|worker| worker.service == "gallery")
        .flat_map(|worker| worker.reached().into_iter().map(|one| (worker.id.clone(), one)))
        .filter(|(_, one)| one.ran && !one.target.starts_with("/photo/"))
        .map(|(worker, one)| format!("{worker} of gallery ran {} {}", one.target, one.id))
        .collect();
    let answered = seen.lock().expect("lock").iter().filter(|one| one.status == 200).count();
    let summary = format!("{answered} of 14 requests answered with 200; a request to gallery got {}", photo.status);
    match wrong.is_empty() {
        true => Ok(Verdict::Held(summary)),
        false => Ok(Verdict::Broken(format!("ROUTE: {}; {summary}", wrong.join(", ")))),
    }
}

#[allow(dead_code)]
const CONTROL_PORT: u16 = CONTROL;
