//! Injection of faults by tests.

use std::collections::{BTreeMap, BTreeSet};
use std::fmt::Display;
use std::panic::PanicHookInfo;
use std::sync::{Mutex, MutexGuard, PoisonError};

use tokio::sync::oneshot;

use crate::{End, panic_message};

/// The message of injected panics.
pub const MESSAGE: &str = "injected by a test";

/// Returns whether a panic was injected. A hook should not report it: a backtrace takes up to a second, in
/// which the thread does nothing else.
pub fn is_injected(panic: &PanicHookInfo<'_>) -> bool {
    panic_message(panic.payload()) == MESSAGE
}

/// The scope and the name of a duty or of a kind of work.
type Target = (String, String);

#[derive(Debug)]
struct Faults {
    /// The duties that run.
    duties: BTreeMap<Target, oneshot::Sender<Fault>>,
    /// The kinds of work whose next piece panics.
    work: BTreeSet<Target>,
}

static FAULTS: Mutex<Faults> = Mutex::new(Faults {
    duties: BTreeMap::new(),
    work: BTreeSet::new(),
});

/// How a duty is made to end.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Fault {
    /// Its task panics.
    Panic,
    /// Its task returns.
    Return,
}

impl Fault {
    /// Returns whether a duty that was made to end would end like this.
    pub fn explains(self, end: &End) -> bool {
        match (self, end) {
            (Self::Panic, End::Panicked(panic)) => panic.to_string().contains(MESSAGE),
            (Self::Return, End::Returned) => true,
            _ => false,
        }
    }
}

fn faults() -> MutexGuard<'static, Faults> {
    FAULTS.lock().unwrap_or_else(PoisonError::into_inner)
}

fn target(scope: &dyn Display, name: &dyn Display) -> Target {
    (scope.to_string(), name.to_string())
}

/// Makes a duty of the supervisor with this scope end. Returns whether the duty runs.
pub fn end_duty(scope: &dyn Display, duty: &dyn Display, fault: Fault) -> bool {
    let duty = faults().duties.remove(&target(scope, duty));
    duty.is_some_and(|duty| duty.send(fault).is_ok())
}

/// Makes the next piece of work of a kind panic.
pub fn panic_next(scope: &dyn Display, kind: &dyn Display) {
    faults().work.insert(target(scope, kind));
}

/// Panics if [`panic_next`] was called for this kind of work.
///
/// # Panics
///
/// If a test asked for it.
pub fn hit(scope: &dyn Display, kind: &dyn Display) {
    let asked = faults().work.remove(&target(scope, kind));
    assert!(!asked, "{}", MESSAGE);
}

/// Lets [`end_duty`] end a duty.
pub(crate) fn expose<W: Future<Output = ()>>(
    scope: &dyn Display,
    duty: &dyn Display,
    work: W,
) -> impl Future<Output = ()> + use<W> {
    let (sender, fault) = oneshot::channel();
    faults().duties.insert(target(scope, duty), sender);
    async move {
        tokio::select! {
            () = work => {}
            Ok(fault) = fault => match fault {
                Fault::Panic => panic!("{}", MESSAGE),
                Fault::Return => {}
            }
        }
    }
}
