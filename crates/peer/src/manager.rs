//! Opens and closes the connection to one host for one purpose.

use std::cell::RefCell;
use std::rc::Rc;
use std::time::Instant;

use tokio::sync::Mutex;

use crate::backoff::Backoff;
use crate::client::{Channel, ConnectError, Connection};
use crate::handshake::HandshakeError;
use crate::worker::{Remote, Shared};

/// Opens a connection when it is needed, shares it, and reopens it with backoff after it was lost.
pub(crate) struct ConnectionManager<C> {
    backoff: Mutex<Backoff>,
    open: RefCell<Option<Rc<Connection<C>>>>,
}

impl<C: Channel> ConnectionManager<C> {
    pub(crate) fn new(shared: &Shared) -> Self {
        let limits = &shared.settings.limits;
        Self {
            backoff: Mutex::new(Backoff::new(limits.backoff_min, limits.backoff_max)),
            open: RefCell::default(),
        }
    }

    /// Returns the open connection or opens one. Concurrent callers share one attempt.
    pub(crate) async fn get(
        &self,
        shared: &Shared,
        remote: &Remote,
    ) -> Result<Rc<Connection<C>>, ConnectError> {
        if let Some(open) = self.open_connection() {
            return Ok(open);
        }
        let mut backoff = self.backoff.lock().await;
        if let Some(open) = self.open_connection() {
            return Ok(open);
        }
        if !backoff.is_ready(Instant::now()) {
            return Err(ConnectError::Backoff);
        }
        match Connection::open(shared, remote).await {
            Ok(connection) => {
                backoff.reset();
                shared.counters.connects.increment();
                let connection = Rc::new(connection);
                self.open.replace(Some(connection.clone()));
                Ok(connection)
            }
            Err(error) => {
                backoff.record_failure(Instant::now(), &mut *shared.rng.borrow_mut());
                count_failure(shared, &error);
                Err(error)
            }
        }
    }

    /// Closes the connection if it has not been used for the idle timeout.
    pub(crate) fn close_idle(&self, shared: &Shared) {
        let idle_timeout = shared.settings.limits.idle_timeout;
        let mut open = self.open.borrow_mut();
        if let Some(connection) = &*open {
            if Rc::strong_count(connection) > 1 {
                connection.touch();
            } else if connection.idle_time() >= idle_timeout {
                *open = None;
            }
        }
    }

    /// Releases the connection, because the host has another address now. It closes once the relays on
    /// it have ended.
    pub(crate) fn close(&self) {
        self.open.replace(None);
    }

    fn open_connection(&self) -> Option<Rc<Connection<C>>> {
        let open = self.open.borrow();
        let connection = open.as_ref().filter(|c| c.is_open())?;
        connection.touch();
        Some(connection.clone())
    }
}

fn count_failure(shared: &Shared, error: &ConnectError) {
    let counters = &shared.counters;
    counters.connect_failures.increment();
    match error {
        ConnectError::Handshake(HandshakeError::WrongSecret) => counters.auth_failures.increment(),
        ConnectError::Handshake(HandshakeError::Malformed) => counters.malformed.increment(),
        ConnectError::WrongHost => counters.wrong_hosts.increment(),
        _ => {}
    }
}
