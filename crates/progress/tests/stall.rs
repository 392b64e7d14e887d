//! Checks that a transfer is given up for want of progress only. Time is virtual.

use std::future::pending;
use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt, duplex};
use tokio::time::{Instant, sleep};
use wagtail_progress::{Progress, Stalled, Tracked};

const LIMIT: Duration = Duration::from_secs(1);

// Guards against a limit that counts the whole transfer: a slow and steady one must be completed.
#[tokio::test(start_paused = true)]
async fn a_slow_transfer_is_completed() {
    const PIECES: usize = 100;
    let (near, mut far) = duplex(64);
    let mut near = Tracked::new(near);
    let progress = near.progress().clone();
    tokio::spawn(async move {
        for _ in 0..PIECES {
            sleep(LIMIT * 9 / 10).await;
            far.write_all(b"piece").await.expect("the reader is there");
        }
    });
    let mut received = Vec::new();
    let read = progress.until_stalled(LIMIT, near.read_to_end(&mut received));
    assert!(matches!(read.await, Ok(Ok(_))));
    assert_eq!(received.len(), PIECES * b"piece".len());
}

// Guards against an upload that is given up while the other side takes it slowly.
#[tokio::test(start_paused = true)]
async fn bytes_written_are_progress() {
    const BYTES: usize = 64 * 50;
    let (near, mut far) = duplex(64);
    let mut near = Tracked::new(near);
    let progress = near.progress().clone();
    tokio::spawn(async move {
        let mut piece = [0; 64];
        while far.read_exact(&mut piece).await.is_ok() {
            sleep(LIMIT * 9 / 10).await;
        }
    });
    let write = progress.until_stalled(LIMIT, near.write_all(&[0; BYTES]));
    assert!(matches!(write.await, Ok(Ok(()))));
}

// Guards against a wait without end for a transfer whose other side has fallen silent.
#[tokio::test(start_paused = true)]
async fn a_silent_transfer_is_given_up_after_the_limit() {
    let (near, mut far) = duplex(64);
    let mut near = Tracked::new(near);
    let progress = near.progress().clone();
    let start = Instant::now();
    tokio::spawn(async move {
        sleep(LIMIT / 2).await;
        far.write_all(b"part").await.expect("the reader is there");
        pending::<()>().await;
    });
    let mut received = Vec::new();
    let read = progress.until_stalled(LIMIT, near.read_to_end(&mut received));
    assert_eq!(read.await.err(), Some(Stalled { limit: LIMIT }));
    assert!((LIMIT * 3 / 2..LIMIT * 2).contains(&start.elapsed()));
}

// Guards against progress of an earlier transfer that shortens the time of the next one.
#[tokio::test(start_paused = true)]
async fn the_time_starts_with_the_call() {
    let progress = Progress::default();
    sleep(LIMIT * 10).await;
    let work = progress.until_stalled(LIMIT, sleep(LIMIT / 2));
    assert_eq!(work.await, Ok(()));
}

// Guards against transfers given up in a whole fleet's worth after the process was paused: what
// arrived meanwhile must be read first.
#[tokio::test(start_paused = true)]
async fn a_pause_of_the_process_is_no_stall() {
    let progress = Progress::default();
    let work = progress.until_stalled(LIMIT, sleep(LIMIT * 6));
    tokio::pin!(work);
    assert!(poll_once(work.as_mut()).await.is_none());
    tokio::time::advance(LIMIT * 5).await;
    assert!(poll_once(work.as_mut()).await.is_none());
    tokio::time::advance(LIMIT / 2).await;
    assert!(poll_once(work.as_mut()).await.is_none());
    tokio::time::advance(LIMIT / 2).await;
    assert_eq!(poll_once(work.as_mut()).await, Some(Ok(())));
}

/// Polls a future once.
async fn poll_once<F: Future>(mut work: std::pin::Pin<&mut F>) -> Option<F::Output> {
    std::future::poll_fn(|cx| {
        std::task::Poll::Ready(match work.as_mut().poll(cx) {
            std::task::Poll::Ready(result) => Some(result),
            std::task::Poll::Pending => None,
        })
    })
    .await
}
