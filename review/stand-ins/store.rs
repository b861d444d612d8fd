//! The platform's store: versioned rows, transactions under conditions, feeds.

use std::collections::{BTreeMap, HashMap};
use std::io::BufReader;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::base::{Json, base64, quote, read_message, respond};

/// Time that the store takes for an answer.
const ANSWER: Duration = Duration::from_millis(4);
const HISTORY: usize = 100_000;

#[derive(Clone)]
struct Change {
    table: String,
    key: String,
    value: Option<String>,
    ver: u64,
}

#[derive(Default)]
struct State {
    ver: u64,
    rows: BTreeMap<(String, String), (String, u64)>,
    history: Vec<Change>,
    is_down: bool,
    /// Connections that were opened before this count rose say nothing more.
    silenced: u64,
}

pub struct Store {
    pub address: SocketAddr,
    state: Arc<(Mutex<State>, Condvar)>,
}

impl Store {
    pub fn start(ip: &str) -> Store {
        let listener = TcpListener::bind(format!("{ip}:0")).expect("store");
        let address = listener.local_addr().expect("address");
        let state: Arc<(Mutex<State>, Condvar)> = Arc::default();
        let shared = Arc::clone(&state);
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let shared = Arc::clone(&shared);
                thread::spawn(move || serve(stream, &shared));
            }
        });
        Store { address, state }
    }

    /// The operator's write, which is answered whatever else is wrong.
    pub fn put(&self, table: &str, key: &str, value: &str) {
        let (state, changed) = &*self.state;
        put(
            &mut state.lock().expect("lock"),
            table,
            key,
            Some(base64(value.as_bytes())),
        );
        changed.notify_all();
    }

    /// Whether it answers every call with 503 and does nothing.
    pub fn set_down(&self, is_down: bool) {
        let (state, changed) = &*self.state;
        state.lock().expect("lock").is_down = is_down;
        changed.notify_all();
    }

    /// Open connections go silent for good, without a reset; new ones work.
    pub fn silence_open_connections(&self) {
        let (state, changed) = &*self.state;
        state.lock().expect("lock").silenced += 1;
        changed.notify_all();
    }

    /// Keys of a table.
    pub fn keys(&self, table: &str) -> Vec<String> {
        let state = self.state.0.lock().expect("lock");
        state
            .rows
            .keys()
            .filter(|(of, _)| of == table)
            .map(|(_, key)| key.clone())
            .collect()
    }
}

fn put(state: &mut State, table: &str, key: &str, value: Option<String>) {
    let at = (table.to_owned(), key.to_owned());
    match &value {
        Some(value) => drop(state.rows.insert(at, (value.clone(), state.ver + 1))),
        None => drop(state.rows.remove(&at)),
    }
    state.ver += 1;
    let ver = state.ver;
    state.history.push(Change {
        table: table.to_owned(),
        key: key.to_owned(),
        value,
        ver,
    });
    assert!(state.history.len() < HISTORY);
}

fn serve(stream: TcpStream, shared: &(Mutex<State>, Condvar)) {
    let _ = stream.set_nodelay(true);
    let Ok(mut out) = stream.try_clone() else {
        return;
    };
    let mut input = BufReader::new(stream);
    let opened = shared.0.lock().expect("lock").silenced;
    while let Some(request) = read_message(&mut input) {
        thread::sleep(ANSWER);
        let (path, query) = request.first[1]
            .split_once('?')
            .unwrap_or((&request.first[1], ""));
        let query: HashMap<String, String> = query
            .split('&')
            .filter_map(|pair| pair.split_once('='))
            .map(|(name, value)| (name.to_owned(), unescape(value)))
            .collect();
        let is_down = shared.0.lock().expect("lock").is_down;
        let (status, body) = match path {
            _ if is_down => ("503 Service Unavailable", "{}".to_owned()),
            "/lynxcleat/rows-get" => get(shared, &query),
            "/lynxcleat/rows-feed" => feed(shared, &query, opened),
            "/lynxcleat/rows-tx" => transaction(shared, &String::from_utf8_lossy(&request.body)),
            _ => ("404 Not Found", "{}".to_owned()),
        };
        if shared.0.lock().expect("lock").silenced > opened {
            continue;
        }
        if !respond(
            &mut out,
            status,
            "Content-Type: application/json\r\n",
            &body,
        ) {
            return;
        }
    }
}

fn get(
    shared: &(Mutex<State>, Condvar),
    query: &HashMap<String, String>,
) -> (&'static str, String) {
    let state = shared.0.lock().expect("lock");
    let empty = String::new();
    let table = query.get("table").unwrap_or(&empty);
    let from = query.get("from").unwrap_or(&empty);
    let rows: Vec<String> = state
        .rows
        .iter()
        .filter(|((of, key), _)| of == table && key >= from)
        .take(500)
        .map(|((table, key), (value, ver))| tell(table, key, Some(value), *ver))
        .collect();
    (
        "200 OK",
        format!(
            "{{\"rows\":[{}],\"more\":false,\"ver\":{},\"now\":\"1ms\"}}",
            rows.join(","),
            state.ver
        ),
    )
}

fn feed(
    shared: &(Mutex<State>, Condvar),
    query: &HashMap<String, String>,
    opened: u64,
) -> (&'static str, String) {
    let number = |name: &str| {
        query
            .get(name)
            .and_then(|text| text.parse::<u64>().ok())
            .unwrap_or(0)
    };
    let (after, until) = (
        number("after"),
        Instant::now() + Duration::from_millis(number("waitMs").min(30_000)),
    );
    let empty = String::new();
    let table = query.get("table").unwrap_or(&empty);
    let mut state = shared.0.lock().expect("lock");
    loop {
        if state.is_down || state.silenced > opened {
            return ("503 Service Unavailable", "{}".to_owned());
        }
        let rows: Vec<String> = state
            .history
            .iter()
            .filter(|change| change.ver > after && change.table == *table)
            .map(|change| {
                tell(
                    &change.table,
                    &change.key,
                    change.value.as_ref(),
                    change.ver,
                )
            })
            .collect();
        let left = until.saturating_duration_since(Instant::now());
        if !rows.is_empty() || left.is_zero() {
            return (
                "200 OK",
                format!(
                    "{{\"rows\":[{}],\"ver\":{},\"now\":\"1ms\"}}",
                    rows.join(","),
                    state.ver
                ),
            );
        }
        state = shared.1.wait_timeout(state, left).expect("lock").0;
    }
}

fn transaction(shared: &(Mutex<State>, Condvar), body: &str) -> (&'static str, String) {
    let Some(asked) = Json::parse(body) else {
        return ("400 Bad Request", "{}".to_owned());
    };
    let part = |name: &str| asked.get(name).map(Json::list).unwrap_or_default().to_vec();
    let text = |entry: &Json, name: &str| {
        entry
            .get(name)
            .map(Json::text)
            .unwrap_or_default()
            .to_owned()
    };
    let mut state = shared.0.lock().expect("lock");
    let at = |entry: &Json| (text(entry, "table"), text(entry, "key"));
    let conditions = part("ifRev");
    let holds = conditions.iter().all(|entry| {
        let found = state.rows.get(&at(entry)).map_or(0, |(_, ver)| *ver);
        found == entry.get("ver").map_or(0, Json::number)
    });
    if !holds {
        let rows: Vec<String> = conditions
            .iter()
            .filter_map(|entry| {
                let (table, key) = at(entry);
                let (value, ver) = state.rows.get(&(table.clone(), key.clone()))?;
                Some(tell(&table, &key, Some(value), *ver))
            })
            .collect();
        return (
            "412 Precondition Failed",
            format!(
                "{{\"rows\":[{}],\"ver\":{},\"now\":\"1ms\"}}",
                rows.join(","),
                state.ver
            ),
        );
    }
    for entry in part("put") {
        let (table, key) = at(&entry);
        put(&mut state, &table, &key, Some(text(&entry, "value")));
    }
    for entry in part("remove") {
        let (table, key) = at(&entry);
        put(&mut state, &table, &key, None);
    }
    let ver = state.ver;
    drop(state);
    shared.1.notify_all();
    ("200 OK", format!("{{\"ver\":{ver},\"now\":\"1ms\"}}"))
}

fn tell(table: &str, key: &str, value: Option<&String>, ver: u64) -> String {
    let value = value.map_or("null".to_owned(), |value| quote(value));
    let gone = value == "null";
    format!(
        "{{\"table\":{},\"part\":\"\",\"key\":{},\"value\":{value},\"ver\":{ver},\"gone\":{gone}}}",
        quote(table),
        quote(key)
    )
}

fn unescape(text: &str) -> String {
    let bytes = text.as_bytes();
    let (mut out, mut at) = (Vec::new(), 0);
    while at < bytes.len() {
        let digits = bytes
            .get(at + 1..at + 3)
            .and_then(|digits| std::str::from_utf8(digits).ok());
        match (
            bytes[at],
            digits.and_then(|digits| u8::from_str_radix(digits, 16).ok()),
        ) {
            (b'%', Some(byte)) => {
                out.push(byte);
                at += 3;
            }
            (byte, _) => {
                out.push(byte);
                at += 1;
            }
        }
    }
    String::from_utf8_lossy(&out).into_owned()
}
