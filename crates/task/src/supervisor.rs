//! Supervision of duties.

use std::collections::HashMap;
use std::fmt::Display;

use derive_more::Display;
use tokio::task::{AbortHandle, Id, JoinSet};

use crate::panic::Panic;

/// How a duty ended.
#[derive(Debug, Clone, PartialEq, Eq, Display)]
pub enum End {
    /// Its task returned.
    #[display("it returned")]
    Returned,
    /// Its task panicked.
    #[display("{_0}")]
    Panicked(Panic),
}

/// Runs duties and reports their ends. All end when it is dropped.
#[derive(Debug)]
pub struct Supervisor<D> {
    tasks: JoinSet<()>,
    duties: HashMap<Id, D>,
    #[cfg(feature = "faults")]
    scope: String,
}

impl<D: Copy + Display> Supervisor<D> {
    /// Creates a supervisor without duties. `scope` distinguishes the supervisors of a process for
    /// the injection of faults.
    #[cfg_attr(not(feature = "faults"), expect(unused_variables))]
    pub fn new(scope: &dyn Display) -> Self {
        Self {
            tasks: JoinSet::new(),
            duties: HashMap::new(),
            #[cfg(feature = "faults")]
            scope: scope.to_string(),
        }
    }

    /// Starts a duty on the current runtime.
    pub fn spawn(&mut self, duty: D, work: impl Future<Output = ()> + Send + 'static) {
        #[cfg(feature = "faults")]
        let work = crate::faults::expose(&self.scope, &duty, work);
        let task = self.tasks.spawn(work);
        self.add(duty, &task);
    }

    /// Starts a duty on the current thread. Must be called within a [`tokio::task::LocalSet`].
    pub fn spawn_local(&mut self, duty: D, work: impl Future<Output = ()> + 'static) {
        #[cfg(feature = "faults")]
        let work = crate::faults::expose(&self.scope, &duty, work);
        let task = self.tasks.spawn_local(work);
        self.add(duty, &task);
    }

    fn add(&mut self, duty: D, task: &AbortHandle) {
        self.duties.insert(task.id(), duty);
    }

    /// Waits for the next end of a duty. Waits forever if none runs. Loses no end when it is dropped.
    pub async fn next_end(&mut self) -> (D, End) {
        loop {
            let (id, end) = match self.tasks.join_next_with_id().await {
                Some(Ok((id, ()))) => (id, End::Returned),
                Some(Err(e)) => {
                    let id = e.id();
                    let end = e.try_into_panic().map(|p| End::Panicked(Panic::new(&*p)));
                    // Only a runtime that shuts down cancels tasks; they count as returned.
                    (id, end.unwrap_or(End::Returned))
                }
                None => std::future::pending().await,
            };
            if let Some(duty) = self.duties.remove(&id) {
                return (duty, end);
            }
        }
    }
}
