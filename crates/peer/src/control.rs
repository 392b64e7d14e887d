//! Control messages on their way to one host.

use std::rc::Rc;

use tokio::sync::mpsc;
use tokio::time::timeout;

use crate::client::Connection;
use crate::codec;
use crate::message::Control;
use crate::worker::{Remote, Shared};

const BATCH: usize = 64;

/// Sends what arrives in the queue, for as long as the host is known.
pub(crate) async fn send_all(
    shared: Rc<Shared>,
    remote: Rc<Remote>,
    mut queue: mpsc::Receiver<Control>,
) {
    let mut batch = Vec::with_capacity(BATCH);
    while queue.recv_many(&mut batch, BATCH).await > 0 {
        match remote.control.get(&shared, &remote).await {
            Ok(connection) => send(&shared, connection, &batch),
            Err(_) => shared.counters.messages_dropped.add(batch.len() as u64),
        }
        batch.clear();
    }
}

/// Sends a batch and closes the connection if no answer comes.
fn send(shared: &Rc<Shared>, connection: Rc<Connection>, batch: &[Control]) {
    let mut request = connection.client.control_request();
    let count = u32::try_from(batch.len()).unwrap_or(u32::MAX);
    let mut list = request.get().init_messages(count);
    for (index, message) in (0..).zip(batch) {
        codec::control::write(list.reborrow().get(index), message);
    }
    shared.counters.messages_out.add(u64::from(count));
    let answer = request.send().promise;
    let stall = shared.settings.limits.stall;
    tokio::task::spawn_local(async move {
        let closed = connection.closed();
        let answered = async {
            tokio::select! {
                answer = answer => answer.is_ok(),
                () = closed.wait() => false,
            }
        };
        if !timeout(stall, answered).await.unwrap_or(false) {
            connection.close();
        }
    });
}
