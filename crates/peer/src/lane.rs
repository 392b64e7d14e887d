//! The connection to one host for one purpose, made when it is needed.

use std::cell::RefCell;
use std::rc::Rc;
use std::time::Instant;

use tokio::sync::Mutex;

use crate::backoff::Backoff;
use crate::client::{Channel, ConnectError, Connection};
use crate::handshake::HandshakeError;
use crate::worker::{Remote, Shared};

/// A connection that is made anew, after a pause, when it is lost.
pub(crate) struct Lane<C> {
    connecting: Mutex<Backoff>,
    open: RefCell<Option<Rc<Connection<C>>>>,
}

impl<C: Channel> Lane<C> {
    pub(crate) fn new(shared: &Shared) -> Self {
        let limits = &shared.settings.limits;
        Self {
            connecting: Mutex::new(Backoff::new(limits.backoff, limits.backoff_max)),
            open: RefCell::default(),
        }
    }

    /// The open connection, or a new one. Those who ask at the same time share one attempt.
    pub(crate) async fn get(
        &self,
        shared: &Shared,
        remote: &Remote,
    ) -> Result<Rc<Connection<C>>, ConnectError> {
        if let Some(open) = self.opened() {
            return Ok(open);
        }
        let mut backoff = self.connecting.lock().await;
        if let Some(open) = self.opened() {
            return Ok(open);
        }
        if !backoff.ready(Instant::now()) {
            return Err(ConnectError::Backoff);
        }
        match Connection::open(shared, remote).await {
            Ok(connection) => {
                backoff.succeed();
                shared.counters.connects.up();
                let connection = Rc::new(connection);
                self.open.replace(Some(connection.clone()));
                Ok(connection)
            }
            Err(error) => {
                backoff.fail(Instant::now(), &mut *shared.rng.borrow_mut());
                count(shared, &error);
                Err(error)
            }
        }
    }

    /// Closes a connection that nobody has used for the idle time.
    pub(crate) fn close_idle(&self, shared: &Shared) {
        let idle = shared.settings.limits.idle;
        let mut open = self.open.borrow_mut();
        if let Some(connection) = &*open {
            if Rc::strong_count(connection) > 1 {
                connection.touch();
            } else if connection.idle() >= idle {
                *open = None;
            }
        }
    }

    /// Closes the connection, as its host has moved or gone.
    pub(crate) fn close(&self) {
        self.open.replace(None);
    }

    fn opened(&self) -> Option<Rc<Connection<C>>> {
        let open = self.open.borrow();
        let connection = open.as_ref().filter(|c| c.is_open())?;
        connection.touch();
        Some(connection.clone())
    }
}

fn count(shared: &Shared, error: &ConnectError) {
    let counters = &shared.counters;
    counters.connect_failures.up();
    match error {
        ConnectError::Handshake(HandshakeError::WrongSecret) => counters.auth_failures.up(),
        ConnectError::Handshake(HandshakeError::Malformed) => counters.malformed.up(),
        ConnectError::WrongHost => counters.wrong_hosts.up(),
        _ => {}
    }
}
