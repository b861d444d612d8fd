//! The platform's store: rows with versions and conditions, and feeds.

use std::collections::BTreeMap;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::http::{Connection, Message};
use crate::json::{self, Json};

#[derive(Clone)]
struct Row {
    table: String,
    key: String,
    value: Option<String>,
    ver: u64,
}

#[derive(Default)]
struct State {
    ver: u64,
    rows: BTreeMap<(String, String), Row>,
    /// It reads calls and answers none.
    is_silent: bool,
}

impl State {
    fn put(&mut self, table: &str, key: &str, value: Option<String>, ver: u64) {
        let row = Row {
            table: table.to_owned(),
            key: key.to_owned(),
            value,
            ver,
        };
        self.rows.insert((table.to_owned(), key.to_owned()), row);
    }

    fn ver_of(&self, table: &str, key: &str) -> u64 {
        let row = self.rows.get(&(table.to_owned(), key.to_owned()));
        row.filter(|row| row.value.is_some())
            .map_or(0, |row| row.ver)
    }
}

pub struct Store {
    pub address: SocketAddr,
    state: Mutex<State>,
    changed: Condvar,
    started: Instant,
}

impl Store {
    pub fn start(ip: &str) -> Arc<Self> {
        let listener = TcpListener::bind((ip, 0)).expect("the store listens");
        let store = Arc::new(Store {
            address: listener.local_addr().expect("address"),
            state: Mutex::default(),
            changed: Condvar::new(),
            started: Instant::now(),
        });
        let served = Arc::clone(&store);
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = Arc::clone(&served);
                thread::spawn(move || store.serve(stream));
            }
        });
        store
    }

    /// A write of the operator. Returns once the store has it: that is its acknowledgement.
    pub fn put(&self, table: &str, key: &str, value: &str) {
        let mut state = self.state.lock().expect("lock");
        state.ver += 1;
        let ver = state.ver;
        state.put(table, key, Some(json::base64(value.as_bytes())), ver);
        drop(state);
        self.changed.notify_all();
    }

    /// It reads calls and answers none, or answers again. What was read meanwhile is never
    /// answered.
    pub fn set_silent(&self, is_silent: bool) {
        self.state.lock().expect("lock").is_silent = is_silent;
        self.changed.notify_all();
    }

    fn is_silent(&self) -> bool {
        self.state.lock().expect("lock").is_silent
    }

    fn serve(&self, stream: TcpStream) {
        let mut connection = Connection::new(stream);
        while let Ok(request) = connection.message() {
            if self.is_silent() {
                return hold(connection);
            }
            thread::sleep(Duration::from_millis(2));
            let path = request
                .target()
                .split('?')
                .next()
                .unwrap_or_default()
                .to_owned();
            let answer = match path.rsplit('/').next() {
                Some("rows-get") => Some(self.read(&request)),
                Some("rows-feed") => self.feed(&request),
                Some("rows-tx") => self.write(&request),
                _ => Some((404, "{}".to_owned())),
            };
            let Some((status, body)) = answer else {
                return hold(connection);
            };
            let headers = [("Content-Type", "application/json")];
            if connection
                .answer(status, &headers, body.as_bytes())
                .is_err()
            {
                return;
            }
        }
    }

    fn tell(&self, rows: &[Row], ver: u64) -> String {
        let now = self.started.elapsed().as_millis();
        let rows: Vec<String> = rows.iter().map(tell).collect();
        format!(
            "{{\"rows\":[{}],\"more\":false,\"ver\":{ver},\"now\":\"{now}ms\"}}",
            rows.join(",")
        )
    }

    fn read(&self, request: &Message) -> (u16, String) {
        let state = self.state.lock().expect("lock");
        let table = parameter(request, "table");
        let from = parameter(request, "from");
        let rows: Vec<Row> = state
            .rows
            .values()
            .filter(|row| row.table == table && row.key >= from && row.value.is_some())
            .cloned()
            .collect();
        (200, self.tell(&rows, state.ver))
    }

    fn feed(&self, request: &Message) -> Option<(u16, String)> {
        let table = parameter(request, "table");
        let after: u64 = parameter(request, "after").parse().unwrap_or(0);
        let wait: u64 = parameter(request, "waitMs").parse().unwrap_or(0);
        let until = Instant::now() + Duration::from_millis(wait);
        let mut state = self.state.lock().expect("lock");
        loop {
            if state.is_silent {
                return None;
            }
            let mut rows: Vec<Row> = state
                .rows
                .values()
                .filter(|row| row.table == table && row.ver > after)
                .cloned()
                .collect();
            rows.sort_by_key(|row| row.ver);
            let left = until.saturating_duration_since(Instant::now());
            if !rows.is_empty() || left.is_zero() {
                return Some((200, self.tell(&rows, state.ver)));
            }
            state = self.changed.wait_timeout(state, left).expect("lock").0;
        }
    }

    fn write(&self, request: &Message) -> Option<(u16, String)> {
        let body = String::from_utf8_lossy(&request.body).into_owned();
        let Some(call) = json::parse(&body) else {
            return Some((400, "{}".to_owned()));
        };
        let mut state = self.state.lock().expect("lock");
        if state.is_silent {
            return None;
        }
        let name = |entry: &Json, field: &str| entry.get(field).text().to_owned();
        let conditions = call.get("ifRev").list();
        let holds = |entry: &Json| {
            state.ver_of(&name(entry, "table"), &name(entry, "key")) == entry.get("ver").number()
        };
        if !conditions.iter().all(holds) {
            let rows: Vec<Row> = conditions
                .iter()
                .filter_map(|entry| state.rows.get(&(name(entry, "table"), name(entry, "key"))))
                .filter(|row| row.value.is_some())
                .cloned()
                .collect();
            return Some((412, self.tell(&rows, state.ver)));
        }
        state.ver += 1;
        let ver = state.ver;
        for entry in call.get("put").list() {
            state.put(
                &name(entry, "table"),
                &name(entry, "key"),
                Some(name(entry, "value")),
                ver,
            );
        }
        for entry in call.get("remove").list() {
            state.put(&name(entry, "table"), &name(entry, "key"), None, ver);
        }
        drop(state);
        self.changed.notify_all();
        let now = self.started.elapsed().as_millis();
        Some((200, format!("{{\"ver\":{ver},\"now\":\"{now}ms\"}}")))
    }
}

/// A connection on which an answer was lost says nothing more.
fn hold(connection: Connection) {
    thread::sleep(Duration::from_secs(120));
    drop(connection);
}

fn tell(row: &Row) -> String {
    let value = row
        .value
        .as_ref()
        .map_or("null".to_owned(), |value| json::quote(value));
    format!(
        "{{\"table\":{},\"part\":\"\",\"key\":{},\"value\":{value},\"ver\":{},\"gone\":{}}}",
        json::quote(&row.table),
        json::quote(&row.key),
        row.ver,
        row.value.is_none()
    )
}

fn parameter(request: &Message, name: &str) -> String {
    let query = request
        .target()
        .split_once('?')
        .map_or("", |(_, query)| query);
    let found = query.split('&').filter_map(|pair| pair.split_once('='));
    let value = found
        .filter(|(known, _)| *known == name)
        .map(|(_, value)| value)
        .next();
    unescape(value.unwrap_or_default())
}

fn unescape(text: &str) -> String {
    let mut bytes = Vec::new();
    let mut rest = text.as_bytes();
    while let Some((byte, after)) = rest.split_first() {
        rest = after;
        let digits = rest
            .get(..2)
            .and_then(|digits| std::str::from_utf8(digits).ok());
        let escaped = digits.and_then(|digits| u8::from_str_radix(digits, 16).ok());
        match escaped.filter(|_| *byte == b'%') {
            Some(escaped) => {
                bytes.push(escaped);
                rest = &rest[2..];
            }
            None => bytes.push(*byte),
        }
    }
    String::from_utf8_lossy(&bytes).into_owned()
}
