//! A stand-in for an upstream, which runs every request that it gets.

use std::io;
use std::net::{SocketAddr, TcpListener};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use crate::http::Connection;
use crate::store::Store;

/// A request that an upstream has begun to work on.
#[derive(Debug, Clone)]
pub struct Run {
    pub id: String,
    pub tenant: String,
    pub at: Instant,
    /// When its answer was written; `None` if that failed or is still to come.
    pub answered: Option<Instant>,
}

/// The runs of all upstreams.
pub type Runs = Arc<Mutex<Vec<Run>>>;

/// What all upstreams of a service have in common.
#[derive(Debug, Clone)]
pub struct Kind {
    pub service: &'static str,
    pub slots: u32,
    pub work: Duration,
}

#[derive(Debug)]
struct Upstream {
    id: String,
    kind: Kind,
    runs: Runs,
}

/// Starts an upstream in a zone and registers it.
pub fn start(
    store: &Store,
    ip: [u8; 4],
    id: &str,
    zone: &str,
    kind: &Kind,
    runs: &Runs,
) -> io::Result<SocketAddr> {
    let listener = TcpListener::bind(SocketAddr::from((ip, 0)))?;
    let addr = listener.local_addr()?;
    let born = SystemTime::now().duration_since(UNIX_EPOCH);
    let born = born.expect("the clock is set").as_millis();
    let Kind { service, slots, .. } = kind;
    store.put(
        "servers",
        id,
        &format!(
            r#"{{"address":"{addr}","born":{born},"info":{{"service":"{service}","version":"v1","zone":"{zone}","slots":{slots}}},"status":{{"state":"ready","sequence":1,"cold_remaining_s":0}}}}"#
        ),
    );
    let upstream = Arc::new(Upstream {
        id: id.to_owned(),
        kind: kind.clone(),
        runs: runs.clone(),
    });
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let upstream = upstream.clone();
            thread::spawn(move || {
                // A connection ends with an error if the host closes it.
                let _ = upstream.serve(Connection::new(stream));
            });
        }
    });
    Ok(addr)
}

impl Upstream {
    fn serve(&self, mut connection: Connection) -> io::Result<()> {
        while let Some(head) = connection.read_head()? {
            connection.skip_body(&head)?;
            let id = &self.id;
            if head.target() == "/health" {
                let answer =
                    format!("HTTP/1.1 200 OK\r\nInstance-Id: {id}\r\nContent-Length: 0\r\n\r\n");
                connection.write(answer.as_bytes())?;
                continue;
            }
            if head.header("expect-instance").is_some_and(|e| e != id) {
                let answer = format!(
                    "HTTP/1.1 421 Misdirected Request\r\nInstance-Id: {id}\r\nContent-Length: 0\r\n\r\n"
                );
                connection.write(answer.as_bytes())?;
                continue;
            }
            let attempt = head.header("attempt-id").unwrap_or("").to_owned();
            let tenant = head.header("tenant-name").unwrap_or("").to_owned();
            let run = {
                let mut runs = self.runs.lock().expect("no thread panics with the lock");
                runs.push(Run {
                    id: attempt.clone(),
                    tenant,
                    at: Instant::now(),
                    answered: None,
                });
                runs.len() - 1
            };
            thread::sleep(self.kind.work);
            let body = format!("run of {attempt} at {id}");
            let answer = format!(
                "HTTP/1.1 200 OK\r\nAttempt-Id: {attempt}\r\nServer-Stamp: {id}.{run}\r\nContent-Length: {}\r\n\r\n{body}",
                body.len()
            );
            connection.write(answer.as_bytes())?;
            let mut runs = self.runs.lock().expect("no thread panics with the lock");
            runs[run].answered = Some(Instant::now());
        }
        Ok(())
    }
}
