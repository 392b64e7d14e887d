//! Tests the supervision of duties and the containment of panics.

use derive_more::Display;
use wagtail_task::faults::{Fault, end_duty};
use wagtail_task::{End, Supervisor, catch};

#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
enum Duty {
    #[display("first")]
    First,
    #[display("second")]
    Second,
}

fn run(test: impl Future<Output = ()>) {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build();
    runtime.expect("the runtime starts").block_on(test);
}

/// A duty that ends without anyone noticing leaves its process up and its work undone.
#[test]
fn the_end_of_each_duty_is_reported_with_its_cause() {
    run(async {
        let mut supervisor = Supervisor::new(&"reported");
        supervisor.spawn(Duty::First, std::future::pending());
        supervisor.spawn(Duty::Second, async { panic!("out of {}", "luck") });
        let (duty, end) = supervisor.next_end().await;
        assert_eq!(duty, Duty::Second);
        assert_eq!(end.to_string(), "panic: out of luck");
        assert!(end_duty(&"reported", &Duty::First, Fault::Return));
        assert_eq!(supervisor.next_end().await, (Duty::First, End::Returned));
        assert!(!end_duty(&"reported", &Duty::First, Fault::Return));
    });
}

/// An end that happens while nobody waits for one would be lost, and the process would go on.
#[test]
fn an_end_is_reported_although_the_wait_was_dropped() {
    run(async {
        let mut supervisor = Supervisor::new(&"dropped");
        supervisor.spawn(Duty::First, tokio::task::yield_now());
        tokio::select! {
            biased;
            _ = supervisor.next_end() => panic!("the duty has not run yet"),
            () = std::future::ready(()) => {}
        }
        for _ in 0..3 {
            tokio::task::yield_now().await;
        }
        assert_eq!(supervisor.next_end().await, (Duty::First, End::Returned));
    });
}

/// A panic after an await must be caught like one before it.
#[test]
fn a_panic_at_any_point_of_the_work_is_caught() {
    run(async {
        let work = async {
            tokio::task::yield_now().await;
            panic!("late");
        };
        let caught: Result<(), _> = catch(work).await;
        assert_eq!(caught.map_err(|p| p.to_string()), Err("panic: late".into()));
        assert_eq!(catch(async { 7 }).await, Ok(7));
    });
}
