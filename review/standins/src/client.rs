//! Clients that ask the directory where to connect and send requests at a steady pace.

use std::io;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

use crate::http::{Connection, Response, fetch};
use crate::json::Json;

/// The time in which a client waits for a directory, and for a new connection.
const CONNECT_TIME: Duration = Duration::from_secs(1);
/// The part of a directory's time to live that counts at most (`ttl_max_s`).
const TTL_MAX: Duration = Duration::from_secs(5);

static LAST_ID: AtomicU64 = AtomicU64::new(0);

/// How a request ended at its client.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum End {
    /// A complete answer with this status.
    Answer(u16),
    /// No connection could be opened.
    NoConnection,
    /// The connection ended without a complete answer.
    Cut,
    /// No answer came before the deadline.
    Deadline,
}

/// A request of a client.
#[derive(Debug, Clone)]
pub struct Sent {
    pub id: String,
    pub what: &'static str,
    pub to: Option<SocketAddr>,
    pub at: Instant,
    pub ended: Instant,
    pub end: End,
    /// Whether its connection had carried a request before.
    pub kept: bool,
}

/// What a group of clients sends.
#[derive(Debug, Clone)]
pub struct Traffic {
    pub what: &'static str,
    pub method: &'static str,
    pub host: &'static str,
    pub path: &'static str,
    pub key: &'static str,
    pub deadline: Duration,
    /// The time between two requests of a client.
    pub period: Duration,
    /// Whether clients begin at the same moment, and not spread over the period.
    pub at_once: bool,
    /// Whether clients keep connections open between requests.
    pub keep: bool,
    /// The size of bodies, and the rate at which a client sends them.
    pub body: Option<(usize, f64)>,
    /// How long a client keeps an answer of the directory, as a multiple of its time to live.
    pub patience: u32,
}

/// All requests of all clients.
pub type Log = Arc<Mutex<Vec<Sent>>>;

/// A client that runs until it is stopped.
#[derive(Debug)]
pub struct Client {
    stop: Arc<AtomicBool>,
    thread: JoinHandle<()>,
}

impl Client {
    /// Starts a client that asks these directories, the nearest first.
    pub fn start(number: u64, traffic: Traffic, directories: Vec<SocketAddr>, log: Log) -> Self {
        let stop = Arc::new(AtomicBool::new(false));
        let stopped = stop.clone();
        let thread = thread::spawn(move || {
            let mut session = Session {
                traffic,
                directories,
                log,
                addresses: Vec::new(),
                valid_until: Instant::now(),
                open: None,
                random: number.wrapping_mul(0x9e37_79b9_7f4a_7c15) | 1,
            };
            let mut next = Instant::now();
            if !session.traffic.at_once {
                next += session.spread();
            }
            while !stopped.load(Ordering::Relaxed) {
                let now = Instant::now();
                if now < next {
                    thread::sleep((next - now).min(Duration::from_millis(20)));
                    continue;
                }
                session.send();
                next = (next + session.traffic.period).max(now);
            }
        });
        Self { stop, thread }
    }

    pub fn ask_to_stop(&self) {
        self.stop.store(true, Ordering::Relaxed);
    }

    pub fn join(self) {
        self.thread.join().expect("clients do not panic");
    }
}

/// Asks all clients to stop and waits for their last requests.
pub fn stop(clients: Vec<Client>) {
    clients.iter().for_each(Client::ask_to_stop);
    clients.into_iter().for_each(Client::join);
}

struct Session {
    traffic: Traffic,
    directories: Vec<SocketAddr>,
    log: Log,
    addresses: Vec<SocketAddr>,
    valid_until: Instant,
    open: Option<(SocketAddr, Connection)>,
    random: u64,
}

impl Session {
    fn random(&mut self) -> u64 {
        self.random ^= self.random << 13;
        self.random ^= self.random >> 7;
        self.random ^= self.random << 17;
        self.random
    }

    /// Returns a random part of the period, so that clients do not send at the same moments.
    fn spread(&mut self) -> Duration {
        let part = self.random() % 1_000;
        self.traffic.period * u32::try_from(part).expect("below 1,000") / 1_000
    }

    /// Asks the directories again once the answer has expired. Keeps the last one if none answers.
    fn look_up(&mut self) {
        if Instant::now() < self.valid_until {
            return;
        }
        let target = format!(
            "/v1/resolve?name={}&region=cymru&zone=cymru-a",
            self.traffic.host
        );
        for directory in &self.directories {
            let Ok(answer) = fetch(*directory, &target, CONNECT_TIME) else {
                continue;
            };
            let Some(found) = Json::parse(&String::from_utf8_lossy(&answer.body)) else {
                continue;
            };
            let addresses: Vec<SocketAddr> = found
                .list("addresses")
                .iter()
                .filter_map(|a| match a {
                    Json::Text(text) => text.parse().ok(),
                    _ => None,
                })
                .collect();
            if answer.head.status() != 200 || addresses.is_empty() {
                continue;
            }
            let ttl = Duration::from_secs_f64(found.number("ttl_s").unwrap_or(1.0)).min(TTL_MAX);
            self.valid_until = Instant::now() + ttl * self.traffic.patience;
            // Connections to addresses that are missing are not used any more.
            self.open.take_if(|(addr, _)| !addresses.contains(addr));
            self.addresses = addresses;
            return;
        }
    }

    fn send(&mut self) {
        self.look_up();
        let number = LAST_ID.fetch_add(1, Ordering::Relaxed);
        let id = format!("{number:016x}");
        let at = Instant::now();
        let kept = self.open.is_some();
        let (to, end) = self.attempt(&id, at);
        let sent = Sent {
            id,
            what: self.traffic.what,
            to,
            at,
            ended: Instant::now(),
            end,
            kept,
        };
        let mut log = self.log.lock().expect("no thread panics with the lock");
        log.push(sent);
    }

    fn attempt(&mut self, id: &str, at: Instant) -> (Option<SocketAddr>, End) {
        let (addr, mut connection) = match self.open.take() {
            Some(open) => open,
            None => {
                if self.addresses.is_empty() {
                    return (None, End::NoConnection);
                }
                let index = self.random() % self.addresses.len() as u64;
                let addr = self.addresses[usize::try_from(index).expect("an index")];
                match Connection::open(addr, CONNECT_TIME) {
                    Ok(connection) => (addr, connection),
                    Err(_) => {
                        // The address that has failed is left out until the next look-up.
                        self.addresses.retain(|a| *a != addr);
                        return (Some(addr), End::NoConnection);
                    }
                }
            }
        };
        match self.exchange(&mut connection, id, at) {
            Ok(Some(response)) => {
                let status = response.head.status();
                if self.traffic.keep && !response.closes {
                    self.open = Some((addr, connection));
                }
                (Some(addr), End::Answer(status))
            }
            Ok(None) => (Some(addr), End::Cut),
            Err(_) if at.elapsed() >= self.traffic.deadline => (Some(addr), End::Deadline),
            Err(_) => (Some(addr), End::Cut),
        }
    }

    fn exchange(
        &self,
        connection: &mut Connection,
        id: &str,
        at: Instant,
    ) -> io::Result<Option<Response>> {
        let Traffic {
            method,
            host,
            path,
            key,
            deadline,
            body,
            ..
        } = &self.traffic;
        let length = body.map_or(String::new(), |(size, _)| {
            format!("Content-Length: {size}\r\n")
        });
        let head = format!(
            "{method} {path} HTTP/1.1\r\nHost: {host}\r\nAttempt-Id: {id}\r\nDeadline-Ms: {}\r\nAuthorization: Token {key}\r\n{length}\r\n",
            deadline.as_millis()
        );
        connection.stream.set_read_timeout(Some(*deadline))?;
        connection.stream.set_write_timeout(Some(*deadline))?;
        connection.write(head.as_bytes())?;
        if let Some((size, rate)) = *body {
            let piece = vec![b'x'; 64 << 10];
            let mut done = 0;
            while done < size {
                let part = piece.len().min(size - done);
                connection.write(&piece[..part])?;
                done += part;
                #[expect(clippy::cast_precision_loss)]
                let due = at + Duration::from_secs_f64(done as f64 / rate);
                thread::sleep(due.saturating_duration_since(Instant::now()));
            }
        }
        let left = deadline.saturating_sub(at.elapsed());
        connection
            .stream
            .set_read_timeout(Some(left.max(Duration::from_millis(1))))?;
        connection.read_response()
    }
}
