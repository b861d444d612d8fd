//! Plays one case of the review: `scene CASE FILE`, with the file of its record. Exits with 1 if the rule was broken, 0 if it
//! held, 2 if the case could not run. With TROUBLE=0 it leaves the disruption out.

mod cases;
mod http;
mod json;
mod machine;
mod record;
mod store;
mod worker;

use std::path::Path;
use std::process::exit;
use std::sync::Arc;
use std::thread;
use std::time::Duration;

use cases::Verdict;
use machine::Scene;
use record::Record;

/// Longest time of a case.
const LIMIT: Duration = Duration::from_secs(110);

fn main() {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, case, file] = arguments.as_slice() else {
        eprintln!("scene CASE FILE");
        exit(2);
    };
    let is_troubled = std::env::var("TROUBLE").map_or(true, |text| text != "0");
    let record = match Record::create(Path::new(file)) {
        Ok(record) => Arc::new(record),
        Err(error) => {
            eprintln!("{file}: {error}");
            exit(2);
        }
    };
    let scene = match Scene::new(Arc::clone(&record)) {
        Ok(scene) => scene,
        Err(error) => {
            eprintln!("{error}");
            exit(2);
        }
    };
    let mut scene = scene;
    let ended = thread::scope(|scope| {
        let scene = &mut scene;
        let played = scope.spawn(move || {
            let verdict = cases::play(case, scene, is_troubled);
            let ended = scene.any_ended();
            scene.end();
            (verdict, ended)
        });
        let begun = std::time::Instant::now();
        while !played.is_finished() {
            if begun.elapsed() > LIMIT {
                record.note("the case took too long");
                exit_with_children();
            }
            thread::sleep(Duration::from_millis(50));
        }
        played.join()
    });
    let code = match ended {
        Ok((Ok(Verdict::Held(text)), None)) => say(&record, &format!("the rule held: {text}"), 0),
        Ok((Ok(Verdict::Broken(text)), _)) => {
            say(&record, &format!("the rule was BROKEN: {text}"), 1)
        }
        Ok((Ok(Verdict::Held(_)), Some(node))) => say(
            &record,
            &format!("the process of {node} ended by itself"),
            1,
        ),
        Ok((Err(error), _)) => say(&record, &format!("the case could not run: {error}"), 2),
        Err(_) => {
            scene.end();
            say(&record, "the case could not run: a stand-in failed", 2)
        }
    };
    exit(code);
}

fn say(record: &Record, text: &str, code: i32) -> i32 {
    record.note(text);
    println!("{text}");
    code
}

/// Ends the processes that were started, by their ids.
fn exit_with_children() -> ! {
    for pid in machine::started() {
        machine::send_signal(pid, "KILL");
    }
    exit(2);
}
