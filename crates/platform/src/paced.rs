//! The platform as one host may use it: every call waits for its turn.

use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use bytes::Bytes;
use tokio::sync::{Notify, oneshot};

use crate::{
    Access, BoxFuture, Hosts, Listed, Objects, Outcome, Page, Platform, PlatformError, Priority,
    Receipt, Row, RowKey, Scan, ScheduleEffect, ScheduleInput, ScheduleSettings, Scheduler, Table,
    Txn,
};

/// A platform whose calls are made when a [`Scheduler`] says so. Clones share the scheduler.
///
/// Each user of the platform takes its own handle by [`at`](Paced::at).
#[derive(Clone)]
pub struct Paced {
    inner: Arc<Inner>,
}

struct Inner {
    platform: Arc<dyn Platform>,
    state: Mutex<State>,
    changed: Notify,
}

struct State {
    scheduler: Scheduler,
    waiting: HashMap<u64, oneshot::Sender<()>>,
    last_id: u64,
}

impl Paced {
    /// Paces `platform`, with a task of its own on the current runtime that ends when the last
    /// handle is dropped.
    ///
    /// # Panics
    ///
    /// Panics outside a tokio runtime.
    pub fn start(platform: Arc<dyn Platform>, settings: ScheduleSettings, seed: u64) -> Self {
        let state = State {
            scheduler: Scheduler::new(settings, seed, now()),
            waiting: HashMap::new(),
            last_id: 0,
        };
        let inner = Arc::new(Inner {
            platform,
            state: Mutex::new(state),
            changed: Notify::new(),
        });
        tokio::spawn(run(Arc::downgrade(&inner)));
        Self { inner }
    }

    /// Takes in how many hosts share the platform.
    pub fn set_hosts(&self, hosts: u32) {
        self.inner.input(ScheduleInput::Fleet { hosts });
    }

    /// A handle whose calls have `priority` and wait at most `patience` for their turn.
    pub fn at(&self, priority: Priority, patience: Duration) -> Arc<dyn Platform> {
        Arc::new(Handle {
            inner: self.inner.clone(),
            priority,
            patience,
        })
    }
}

/// Ticks the scheduler when it asks for it.
async fn run(inner: std::sync::Weak<Inner>) {
    const LONGEST_SLEEP: Duration = Duration::from_secs(1);
    loop {
        let Some(strong) = inner.upgrade() else {
            return;
        };
        let wake = strong.tick();
        let sleep = wake.map_or(LONGEST_SLEEP, |at| at.saturating_duration_since(now()));
        let _ = tokio::time::timeout(sleep.min(LONGEST_SLEEP), strong.changed.notified()).await;
    }
}

fn now() -> Instant {
    tokio::time::Instant::now().into_std()
}

impl Inner {
    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn tick(&self) -> Option<Instant> {
        let mut state = self.lock();
        let now = now();
        state.scheduler.tick(now);
        state.settle(now);
        state.scheduler.next_wake(now)
    }

    fn input(&self, input: ScheduleInput) {
        let mut state = self.lock();
        let now = now();
        state.scheduler.handle(now, input);
        state.settle(now);
        drop(state);
        self.changed.notify_one();
    }

    /// Queues a call; the receiver hears of its turn, or is closed when there will be none.
    fn submit(&self, priority: Priority, access: Access, patience: Duration) -> Turn<'_> {
        let (tell, told) = oneshot::channel();
        let mut state = self.lock();
        state.last_id += 1;
        let id = state.last_id;
        state.waiting.insert(id, tell);
        drop(state);
        let deadline = now() + patience;
        self.input(ScheduleInput::Submit {
            id,
            priority,
            access,
            deadline,
        });
        Turn {
            inner: self,
            id,
            told,
            outcome: Outcome::Answered,
        }
    }
}

impl State {
    fn settle(&mut self, now: Instant) {
        while let Some(effect) = self.scheduler.poll_effect() {
            match effect {
                ScheduleEffect::Drop { id } => drop(self.waiting.remove(&id)),
                ScheduleEffect::Start { id } => {
                    let told = self.waiting.remove(&id).map(|told| told.send(()));
                    if told != Some(Ok(())) {
                        let outcome = Outcome::Answered;
                        self.scheduler
                            .handle(now, ScheduleInput::Finished { id, outcome });
                    }
                }
            }
        }
    }
}

/// A call that is queued or under way; dropping it gives its place back.
struct Turn<'a> {
    inner: &'a Inner,
    id: u64,
    told: oneshot::Receiver<()>,
    outcome: Outcome,
}

impl Drop for Turn<'_> {
    fn drop(&mut self) {
        let Self { id, outcome, .. } = *self;
        self.inner.input(ScheduleInput::Finished { id, outcome });
    }
}

struct Handle {
    inner: Arc<Inner>,
    priority: Priority,
    patience: Duration,
}

impl Handle {
    /// Makes a call at its turn.
    async fn call<'a, T>(
        &'a self,
        access: Access,
        make: impl FnOnce(&'a dyn Platform) -> BoxFuture<'a, T> + Send,
    ) -> Result<T, PlatformError> {
        let mut turn = self.inner.submit(self.priority, access, self.patience);
        if (&mut turn.told).await.is_err() {
            return Err(PlatformError::not_applied(
                "this host's share of the platform is used up",
            ));
        }
        turn.outcome = Outcome::Failed;
        let result = make(&*self.inner.platform).await;
        turn.outcome = outcome(&result);
        result
    }
}

fn outcome<T>(result: &Result<T, PlatformError>) -> Outcome {
    match result {
        Ok(_)
        | Err(PlatformError::Conflict { .. } | PlatformError::NotApplied { retry: None, .. }) => {
            Outcome::Answered
        }
        Err(_) => Outcome::Failed,
    }
}

impl Table for Handle {
    fn read<'a>(&'a self, key: &'a RowKey) -> BoxFuture<'a, Option<Row>> {
        Box::pin(self.call(Access::Read, move |p| p.read(key)))
    }

    fn scan<'a>(&'a self, scan: &'a Scan) -> BoxFuture<'a, Page> {
        Box::pin(self.call(Access::Read, move |p| p.scan(scan)))
    }

    fn transact<'a>(&'a self, txn: &'a Txn) -> BoxFuture<'a, Receipt> {
        Box::pin(self.call(Access::Write, move |p| p.transact(txn)))
    }
}

impl Objects for Handle {
    fn put<'a>(&'a self, name: &'a str, bytes: Bytes) -> BoxFuture<'a, ()> {
        Box::pin(self.call(Access::Write, move |p| Objects::put(p, name, bytes)))
    }

    fn get<'a>(&'a self, name: &'a str) -> BoxFuture<'a, Option<Bytes>> {
        Box::pin(self.call(Access::Read, move |p| p.get(name)))
    }
}

impl Hosts for Handle {
    fn list(&self) -> BoxFuture<'_, Vec<Listed>> {
        Box::pin(self.call(Access::Read, |p| p.list()))
    }
}
