//! A worker: it runs requests in slots, tells its load and its leaving, and says what it ran.

use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::Duration;

use crate::http::{self, Connection, Message};
use crate::record::Record;

/// A request that reached a worker.
#[derive(Clone, Debug)]
pub struct Reached {
    pub id: String,
    pub target: String,
    /// Its X-Caller-Service.
    pub caller: String,
    /// When its head was there.
    pub at: Duration,
    /// Whether it was run.
    pub ran: bool,
    pub body: usize,
}

#[derive(Default)]
struct Load {
    running: u32,
    waiting: u32,
    streams: Vec<TcpStream>,
}

/// One incarnation of a worker.
pub struct Worker {
    pub id: String,
    pub service: String,
    pub address: SocketAddr,
    /// Unix millisecond of its start, by the clock of its machine.
    pub born: u64,
    pub slots: u32,
    record: Arc<Record>,
    seq: AtomicU64,
    load: Mutex<Load>,
    freed: Condvar,
    is_leaving: AtomicBool,
    is_dark: AtomicBool,
    has_ended: AtomicBool,
    reached: Mutex<Vec<Reached>>,
}

impl Worker {
    /// Starts and listens.
    pub fn start(
        record: &Arc<Record>,
        (id, service): (&str, &str),
        address: SocketAddr,
        (born, slots): (u64, u32),
    ) -> Arc<Self> {
        let listener = bind(address);
        listener.set_nonblocking(true).expect("non-blocking");
        let worker = Arc::new(Worker {
            id: id.to_owned(),
            service: service.to_owned(),
            address,
            born,
            slots,
            record: Arc::clone(record),
            seq: AtomicU64::new(0),
            load: Mutex::default(),
            freed: Condvar::new(),
            is_leaving: AtomicBool::new(false),
            is_dark: AtomicBool::new(false),
            has_ended: AtomicBool::new(false),
            reached: Mutex::default(),
        });
        record.note(&format!(
            "worker {id} of {service} starts at {address}, born {born}"
        ));
        let served = Arc::clone(&worker);
        thread::spawn(move || served.listen(listener));
        worker
    }

    fn listen(self: Arc<Self>, listener: TcpListener) {
        while !self.has_ended() {
            // One that fell silent accepts nothing; what connects hears nothing.
            if self.is_dark() {
                thread::sleep(Duration::from_millis(2));
                continue;
            }
            match listener.accept() {
                Ok((stream, _)) => {
                    let _ = stream.set_nonblocking(false);
                    if let Ok(copy) = stream.try_clone() {
                        self.load.lock().expect("lock").streams.push(copy);
                    }
                    let worker = Arc::clone(&self);
                    thread::spawn(move || worker.serve(stream));
                }
                Err(_) => thread::sleep(Duration::from_millis(1)),
            }
        }
    }

    fn is_dark(&self) -> bool {
        self.is_dark.load(Ordering::SeqCst)
    }

    /// Whether it sends no heartbeats of a ready one.
    pub fn is_quiet(&self) -> bool {
        self.is_dark() || self.is_leaving.load(Ordering::SeqCst)
    }

    pub fn has_ended(&self) -> bool {
        self.has_ended.load(Ordering::SeqCst)
    }

    /// Ends: its listener and all its connections are closed.
    pub fn end(&self, why: &str) {
        self.record.note(&format!("worker {} {why}", self.id));
        self.has_ended.store(true, Ordering::SeqCst);
        for stream in &self.load.lock().expect("lock").streams {
            let _ = stream.shutdown(Shutdown::Both);
        }
        thread::sleep(Duration::from_millis(20));
    }

    /// Falls silent: what it has is never answered, and nothing is closed.
    pub fn fall_silent(&self) {
        self.record
            .note(&format!("worker {} falls silent", self.id));
        self.is_dark.store(true, Ordering::SeqCst);
    }

    /// The address of one that fell silent is free again; its connections stay silent.
    pub fn leave_address(&self) {
        self.has_ended.store(true, Ordering::SeqCst);
        thread::sleep(Duration::from_millis(20));
    }

    /// Sends a heartbeat. True where it was acknowledged.
    pub fn beat(&self, control: SocketAddr, state: &str) -> bool {
        let seq = self.seq.fetch_add(1, Ordering::SeqCst) + 1;
        let body = self.heartbeat(&self.service, state, seq);
        self.report(
            control,
            &format!("heartbeat {state} seq {seq}"),
            "heartbeat",
            &body,
        )
    }

    /// The body of a heartbeat.
    pub fn heartbeat(&self, service: &str, state: &str, seq: u64) -> String {
        format!(
            "{{\"addr\":\"{}\",\"born\":{},\"info\":{{\"service\":\"{service}\",\"version\":\"v1\",\"zone\":\"east\",\"slots\":{}}},\"status\":{{\"state\":\"{state}\",\"seq\":{seq},\"coldLeft\":\"0ms\"}}}}",
            self.address, self.born, self.slots
        )
    }

    pub fn last_seq(&self) -> u64 {
        self.seq.load(Ordering::SeqCst)
    }

    /// Says that it ends. True where that was acknowledged.
    pub fn deregister(&self, control: SocketAddr) -> bool {
        let body = format!("{{\"born\":{}}}", self.born);
        self.report(control, "deregister", "deregister", &body)
    }

    fn report(&self, control: SocketAddr, what: &str, call: &str, body: &str) -> bool {
        let path = format!("/lynxcleat/instances/{}/{call}", self.id);
        let headers = [
            ("Host", "control"),
            ("Content-Type", "application/json"),
            ("Connection", "close"),
        ];
        let answer = http::call(
            control,
            ("POST", &path),
            &headers,
            body.as_bytes(),
            Duration::from_secs(1),
        );
        let status = answer.map_or(0, |answer| answer.status());
        let is_ready_beat = what.starts_with("heartbeat ready") && status == 200;
        if !is_ready_beat || self.last_seq() == 1 {
            self.record.note(&format!(
                "worker {} says {what} (born {}): {status}",
                self.id, self.born
            ));
        }
        (200..300).contains(&status)
    }

    /// From now on it says in its answers that it leaves.
    pub fn leave(&self) {
        self.is_leaving.store(true, Ordering::SeqCst);
    }

    pub fn reached(&self) -> Vec<Reached> {
        self.reached.lock().expect("lock").clone()
    }

    fn hold_if_dark(&self) {
        while self.is_dark() {
            thread::sleep(Duration::from_millis(200));
        }
    }

    fn serve(&self, stream: TcpStream) {
        let mut connection = Connection::new(stream);
        while let Ok(head) = connection.head() {
            self.hold_if_dark();
            if self.answer(&mut connection, head).is_err() {
                return;
            }
        }
    }

    fn load_header(&self) -> String {
        let load = self.load.lock().expect("lock");
        format!("{},{},{},100", load.running, load.waiting, self.slots)
    }

    fn answer(&self, connection: &mut Connection, head: Message) -> std::io::Result<()> {
        let is_leaving = self.is_leaving.load(Ordering::SeqCst);
        let load = self.load_header();
        let mut headers = vec![("X-Server-Load", load.as_str())];
        if is_leaving {
            headers.extend([("Server-Leaving", "1"), ("Connection", "close")]);
        }
        if head.target() == "/health" {
            headers.push(("X-Instance-Id", self.id.as_str()));
            return connection.answer(if is_leaving { 503 } else { 200 }, &headers, b"");
        }
        let id = head.header("x-request-id").unwrap_or_default().to_owned();
        let named = head.header("x-target-instance").map(str::to_owned);
        let at = self.record.now();
        let is_meant = named.as_deref().is_none_or(|named| named == self.id);
        let deadline = head.header("x-deadline-ms").unwrap_or("none").to_owned();
        let caller = head
            .header("x-caller-service")
            .unwrap_or_default()
            .to_owned();
        self.record.note(&format!(
            "worker {} of {}: {} arrives, id {id}, for instance {}, deadline {deadline} ms, caller {caller}",
            self.id, self.service, head.first, named.as_deref().unwrap_or("none")
        ));
        let nth = {
            let mut reached = self.reached.lock().expect("lock");
            reached.push(Reached {
                id: id.clone(),
                target: head.target().to_owned(),
                caller: caller.clone(),
                at,
                ran: false,
                body: 0,
            });
            reached.len() - 1
        };
        let body = connection.body(&head)?;
        headers.push(("X-Request-Id", id.as_str()));
        if !is_meant {
            self.record
                .note(&format!("worker {}: 421 to {id}", self.id));
            headers.push(("X-Instance-Id", self.id.as_str()));
            return connection.answer(421, &headers, b"");
        }
        self.take_slot();
        self.hold_if_dark();
        self.record.note(&format!(
            "worker {} of {} runs {id} ({} bytes)",
            self.id,
            self.service,
            body.len()
        ));
        {
            let mut reached = self.reached.lock().expect("lock");
            (reached[nth].ran, reached[nth].body) = (true, body.len());
        }
        thread::sleep(Duration::from_millis(work_ms(head.target())));
        self.hold_if_dark();
        self.load.lock().expect("lock").running -= 1;
        self.freed.notify_one();
        if self.has_ended() {
            return Err(std::io::ErrorKind::ConnectionAborted.into());
        }
        let stamp = format!("{}.{id}", self.id);
        let load = self.load_header();
        headers[0] = ("X-Server-Load", load.as_str());
        headers.push(("X-Response-Stamp", stamp.as_str()));
        connection.answer(200, &headers, format!("ran {id}").as_bytes())
    }

    fn take_slot(&self) {
        let mut load = self.load.lock().expect("lock");
        load.waiting += 1;
        while load.running >= self.slots {
            load = self.freed.wait(load).expect("lock");
        }
        load.waiting -= 1;
        load.running += 1;
    }
}

/// The work of a request, as its path says: `/name/MS/...`.
fn work_ms(target: &str) -> u64 {
    target
        .split('/')
        .nth(2)
        .and_then(|text| text.parse().ok())
        .unwrap_or(10)
}

fn bind(address: SocketAddr) -> TcpListener {
    for _ in 0..100 {
        if let Ok(listener) = TcpListener::bind(address) {
            return listener;
        }
        thread::sleep(Duration::from_millis(10));
    }
    panic!("{address} cannot be listened on");
}
