//! A stand-in for the platform's store: rows by table and key, and a feed of their changes.

use std::collections::BTreeMap;
use std::io;
use std::net::{SocketAddr, TcpListener};
use std::sync::{Arc, Condvar, Mutex, MutexGuard};
use std::thread;
use std::time::{Duration, Instant};

use crate::http::{Connection, Head};
use crate::json::{Json, quote};

#[derive(Debug, Clone)]
struct Row {
    /// Base64; `None` if the row was removed.
    value: Option<String>,
    version: u64,
}

#[derive(Debug)]
struct State {
    rows: BTreeMap<(String, String), Row>,
    version: u64,
    /// The write whose answer is lost, and after what time it is performed: it removes this key.
    late_removal: Option<(String, Duration)>,
    /// What happened to that write.
    notes: Vec<(Instant, String)>,
}

#[derive(Debug)]
pub struct Store {
    pub addr: SocketAddr,
    state: Mutex<State>,
    changed: Condvar,
    began: Instant,
}

impl Store {
    pub fn start(ip: [u8; 4]) -> io::Result<Arc<Self>> {
        let listener = TcpListener::bind(SocketAddr::from((ip, 0)))?;
        let store = Arc::new(Self {
            addr: listener.local_addr()?,
            state: Mutex::new(State {
                rows: BTreeMap::new(),
                version: 1,
                late_removal: None,
                notes: Vec::new(),
            }),
            changed: Condvar::new(),
            began: Instant::now(),
        });
        let acceptor = store.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = acceptor.clone();
                thread::spawn(move || {
                    // A connection ends with an error if the host closes it.
                    let _ = store.serve(Connection::new(stream));
                });
            }
        });
        Ok(store)
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("no thread panics with the lock")
    }

    pub fn put(&self, table: &str, key: &str, value: &str) {
        self.change(table, key, Some(base64(value.as_bytes())));
    }

    fn change(&self, table: &str, key: &str, value: Option<String>) {
        let mut state = self.state();
        state.version += 1;
        let version = state.version;
        let row = Row { value, version };
        state.rows.insert((table.to_owned(), key.to_owned()), row);
        drop(state);
        self.changed.notify_all();
    }

    /// Returns the keys of a table.
    pub fn keys(&self, table: &str) -> Vec<String> {
        let state = self.state();
        let rows = state.rows.iter();
        rows.filter(|((t, _), row)| t == table && row.value.is_some())
            .map(|((_, key), _)| key.clone())
            .collect()
    }

    /// Loses the answer to the next write that removes `key`, and performs it after `delay`.
    pub fn lose_removal(&self, key: &str, delay: Duration) {
        self.state().late_removal = Some((key.to_owned(), delay));
    }

    pub fn notes(&self) -> Vec<(Instant, String)> {
        self.state().notes.clone()
    }

    fn note(&self, text: String) {
        self.state().notes.push((Instant::now(), text));
    }

    fn serve(self: &Arc<Self>, mut connection: Connection) -> io::Result<()> {
        while let Some(head) = connection.read_head()? {
            let body = connection.read_body(&head)?;
            let body = String::from_utf8_lossy(&body).into_owned();
            let Some((status, answer)) = self.handle(&head, &body) else {
                // A connection on which an answer is lost delivers nothing further.
                while connection.read_head()?.is_some() {}
                return Ok(());
            };
            let length = answer.len();
            let text = format!(
                "HTTP/1.1 {status} X\r\nContent-Type: application/json\r\nContent-Length: {length}\r\n\r\n{answer}"
            );
            connection.write(text.as_bytes())?;
        }
        Ok(())
    }

    /// Returns the status and the body of the answer; `None` if it is lost.
    fn handle(self: &Arc<Self>, head: &Head, body: &str) -> Option<(u16, String)> {
        let (path, query) = head.target().split_once('?').unwrap_or((head.target(), ""));
        let parameter = |name: &str| {
            let mut pairs = query.split('&').filter_map(|p| p.split_once('='));
            pairs.find(|(n, _)| *n == name).map_or("", |(_, v)| v)
        };
        let table = parameter("table");
        match path {
            "/v1/rows-get" => Some((200, self.list(&self.state(), table, None))),
            "/v1/rows-feed" => {
                let after = parameter("after").parse().unwrap_or(0);
                let wait = Duration::from_millis(parameter("wait_ms").parse().unwrap_or(0));
                let is_quiet = |state: &mut State| {
                    let mut rows = state.rows.iter();
                    !rows.any(|((t, _), row)| t == table && row.version > after)
                };
                let (state, _) = self
                    .changed
                    .wait_timeout_while(self.state(), wait, is_quiet)
                    .expect("no thread panics with the lock");
                Some((200, self.list(&state, table, Some(after))))
            }
            "/v1/rows-tx" => self.transact(body),
            _ => Some((404, "{}".to_owned())),
        }
    }

    fn transact(self: &Arc<Self>, body: &str) -> Option<(u16, String)> {
        let Some(call) = Json::parse(body) else {
            return Some((400, "{}".to_owned()));
        };
        let late = {
            let mut state = self.state();
            let removes = |key: &str| call.list("remove").iter().any(|r| r.text("key") == key);
            state.late_removal.take_if(|(key, _)| removes(key))
        };
        let Some((key, delay)) = late else {
            return Some(self.perform(&call));
        };
        self.note(format!("answer to the removal of {key} lost"));
        let store = self.clone();
        thread::spawn(move || {
            thread::sleep(delay);
            let (status, _) = store.perform(&call);
            store.note(format!("removal of {key} performed late: {status}"));
        });
        None
    }

    fn perform(&self, call: &Json) -> (u16, String) {
        let now_s = self.began.elapsed().as_secs_f64();
        let state = self.state();
        for row in call.list("precondition") {
            let key = (row.text("table").to_owned(), row.text("key").to_owned());
            let held = state.rows.get(&key).filter(|r| r.value.is_some());
            let version = held.map_or(0, |r| r.version);
            let expected = row.number("schema_ver").unwrap_or(0.0);
            #[expect(clippy::cast_precision_loss)]
            if (version as f64 - expected).abs() > 0.5 {
                return (412, format!("{{\"rows\":[],\"now_s\":{now_s:.3}}}"));
            }
        }
        drop(state);
        for row in call.list("puts") {
            let value = row.text("value").to_owned();
            self.change(row.text("table"), row.text("key"), Some(value));
        }
        for row in call.list("remove") {
            self.change(row.text("table"), row.text("key"), None);
        }
        let version = self.state().version;
        (
            200,
            format!("{{\"schema_ver\":{version},\"now_s\":{now_s:.3}}}"),
        )
    }

    /// Lists all rows of a table, or the changes after a version.
    fn list(&self, state: &State, table: &str, after: Option<u64>) -> String {
        let listed = state.rows.iter().filter(|((t, _), row)| {
            t == table && after.map_or(row.value.is_some(), |after| row.version > after)
        });
        let mut listed: Vec<_> = listed.collect();
        if after.is_some() {
            listed.sort_by_key(|(_, row)| row.version);
        }
        let rows: Vec<String> = listed
            .into_iter()
            .map(|((table, key), row)| {
                let value = match &row.value {
                    Some(value) => format!("\"value\":{}", quote(value)),
                    None => "\"removed\":true".to_owned(),
                };
                let (table, key, version) = (quote(table), quote(key), row.version);
                format!("{{\"table\":{table},\"part\":\"\",\"key\":{key},{value},\"schema_ver\":{version}}}")
            })
            .collect();
        format!(
            "{{\"rows\":[{}],\"truncated\":false,\"schema_ver\":{},\"now_s\":{:.3}}}",
            rows.join(","),
            state.version,
            self.began.elapsed().as_secs_f64()
        )
    }
}

fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut out = String::new();
    for piece in bytes.chunks(3) {
        let mut group = [0; 3];
        group[..piece.len()].copy_from_slice(piece);
        let bits = u32::from_be_bytes([0, group[0], group[1], group[2]]);
        for i in 0..4 {
            let digit = (bits >> (18 - 6 * i)) & 63;
            out.push(if i <= piece.len() {
                char::from(DIGITS[digit as usize])
            } else {
                '='
            });
        }
    }
    out
}
