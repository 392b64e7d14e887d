//! Control messages on their way to one host.

use std::rc::Rc;

use tokio::sync::mpsc;
use tokio::time::timeout;

use crate::client::Connection;
use crate::codec::{self, text::count};
use crate::message::Control;
use crate::peer_capnp::peer::control_params;
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
            Ok(connection) => send(&shared, &connection, &batch),
            Err(_) => shared.counters.messages_dropped.add(batch.len() as u64),
        }
        batch.clear();
    }
}

/// Sends a batch and closes the connection if no answer comes. A batch that is too large for one
/// message is sent in halves, a single message that is too large is dropped.
fn send(shared: &Rc<Shared>, connection: &Rc<Connection>, batch: &[Control]) {
    let mut request = connection.client.control_request();
    let mut list = request.get().init_messages(count(batch));
    for (index, message) in (0..).zip(batch) {
        codec::control::write(list.reborrow().get(index), message);
    }
    if !fits(shared, request.get().into_reader()) {
        if let [_] = batch {
            shared.counters.messages_dropped.up();
            return;
        }
        let (first, second) = batch.split_at(batch.len() / 2);
        send(shared, connection, first);
        send(shared, connection, second);
        return;
    }
    shared.counters.messages_out.add(batch.len() as u64);
    let answer = request.send().promise;
    let stall = shared.settings.limits.stall;
    let connection = connection.clone();
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

fn fits(shared: &Shared, params: control_params::Reader<'_>) -> bool {
    const WORD_BYTES: u64 = 8;
    const CALL_WORDS: u64 = 64;
    let words = params.total_size().map_or(u64::MAX, |size| size.word_count);
    words.saturating_add(CALL_WORDS).saturating_mul(WORD_BYTES) <= shared.settings.limits.message.0
}
