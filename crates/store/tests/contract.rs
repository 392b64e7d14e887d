//! Checks that the platform in memory and the one over HTTP keep the same contract, and which
//! errors the HTTP client reports under faults.

use std::net::{Ipv4Addr, SocketAddr};
use std::sync::Arc;

use bytes::Bytes;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use wagtail_standin::platform::{Running, start};
use wagtail_store::{
    HttpClient, HttpSettings, Listed, ListedState, MemoryPlatform, Platform, PlatformError, RowKey,
    Scan, ScanCursor, Table, Txn, Write,
};
use wagtail_types::AttemptId;

fn any_port() -> SocketAddr {
    (Ipv4Addr::LOCALHOST, 0).into()
}

async fn http() -> (Running, Arc<dyn Platform>) {
    let running = start(any_port()).await.unwrap();
    let client = HttpClient::new(HttpSettings::new(running.addr));
    (running, Arc::new(client))
}

fn key(name: &str) -> RowKey {
    RowKey::new("space", name)
}

fn put(attempt: u128, name: &str, mark: u64) -> Txn {
    Txn::new(AttemptId(attempt)).write(Write::put(key(name), name).mark(mark))
}

/// Runs a test against both platforms.
async fn on_both<F: Future<Output = ()>>(contract: impl Fn(Arc<dyn Platform>) -> F) {
    contract(Arc::new(MemoryPlatform::default())).await;
    let (running, client) = http().await;
    contract(client).await;
    running.stop();
}

#[tokio::test]
async fn transactions_apply_whole_or_not_at_all() {
    on_both(|p| async move {
        let first = p.transact(&put(1, "a", 0)).await.unwrap();
        let stale = put(2, "b", 0).check(key("a"), None);
        let conflict = PlatformError::Conflict { key: key("a") };
        assert_eq!(p.transact(&stale).await, Err(conflict));
        assert_eq!(p.read(&key("b")).await, Ok(None));

        let current = put(3, "b", 0).check(key("a"), Some(first.version));
        let second = p.transact(&current).await.unwrap();
        assert!(second.version > first.version);
        let row = p.read(&key("b")).await.unwrap().unwrap();
        assert_eq!((row.version, row.attempt), (second.version, AttemptId(3)));

        let remove = Txn::new(AttemptId(4)).write(Write::remove(key("a")));
        p.transact(&remove).await.unwrap();
        assert_eq!(p.read(&key("a")).await, Ok(None));
    })
    .await;
}

#[tokio::test]
async fn scans_are_ordered_by_mark_and_key_and_resume() {
    on_both(|p| async move {
        for (attempt, (name, mark)) in [("c", 1), ("b", 2), ("a", 2), ("d", 3)].iter().enumerate() {
            p.transact(&put(attempt as u128, name, *mark))
                .await
                .unwrap();
        }
        p.transact(&put(9, "c", 4)).await.unwrap();
        let mut scan = Scan {
            space: "space".into(),
            after: None,
            limit: 2,
            with: Some(key("d")),
        };
        let mut seen = Vec::new();
        loop {
            let page = p.scan(&scan).await.unwrap();
            assert_eq!(page.with.unwrap().key, key("d"));
            seen.extend(page.rows.iter().map(|r| (r.mark, r.key.key.clone())));
            let last = page.rows.last().unwrap();
            scan.after = Some(ScanCursor {
                mark: last.mark,
                key: Some(last.key.key.clone()),
            });
            if !page.more {
                break;
            }
        }
        let want = [(2, "a"), (2, "b"), (3, "d"), (4, "c")];
        assert_eq!(seen, want.map(|(mark, name)| (mark, name.to_owned())));

        scan.after = Some(ScanCursor { mark: 2, key: None });
        assert_eq!(p.scan(&scan).await.unwrap().rows.len(), 2);
    })
    .await;
}

#[tokio::test]
async fn objects_are_immutable() {
    on_both(|p| async move {
        let bytes = Bytes::from_static(b"one");
        assert_eq!(p.get("name").await, Ok(None));
        p.put("name", bytes.clone()).await.unwrap();
        p.put("name", bytes.clone()).await.unwrap();
        let other = p.put("name", Bytes::from_static(b"two")).await;
        assert!(
            matches!(other, Err(PlatformError::NotApplied { .. })),
            "{other:?}"
        );
        assert_eq!(p.get("name").await, Ok(Some(bytes)));
    })
    .await;
}

/// Checks which error a write under a fault returns and whether the write took effect.
#[tokio::test]
async fn writes_under_faults_return_the_right_error() {
    type Setting = fn(&mut wagtail_standin::platform::Faults);
    type Expected = fn(&PlatformError) -> bool;
    let table: [(&str, Setting, Expected, bool); 4] = [
        (
            "down",
            |f| f.down = true,
            PlatformError::may_have_applied,
            false,
        ),
        (
            "answer lost",
            |f| f.lose_next = 1,
            PlatformError::may_have_applied,
            true,
        ),
        ("turned down", |f| f.refuse_next = 1, is_not_applied, false),
        (
            "rate cap",
            |f| f.writes_cap = Some(0),
            is_not_applied,
            false,
        ),
    ];
    for (name, set, expected, applied) in table {
        let (running, client) = http().await;
        running.faults.update(set);
        let error = client.transact(&put(1, "a", 0)).await.unwrap_err();
        assert!(expected(&error), "{name}: {error}");
        running
            .faults
            .set(wagtail_standin::platform::Faults::default());
        let row = client.read(&key("a")).await.unwrap();
        assert_eq!(row.is_some(), applied, "{name}");
        running.stop();
    }
}

fn is_not_applied(error: &PlatformError) -> bool {
    matches!(error, PlatformError::NotApplied { .. })
}

#[tokio::test]
async fn a_stopped_platform_is_unavailable() {
    let (running, client) = http().await;
    client.transact(&put(1, "a", 0)).await.unwrap();
    let addr = running.addr;
    drop(running);
    while tokio::net::TcpStream::connect(addr).await.is_ok() {
        tokio::task::yield_now().await;
    }
    let error = client.transact(&put(2, "a", 0)).await.unwrap_err();
    assert!(!matches!(error, PlatformError::Conflict { .. }), "{error}");
    let fresh = HttpClient::new(HttpSettings::new(addr));
    let error = Table::transact(&fresh, &put(3, "a", 0)).await.unwrap_err();
    assert!(
        matches!(error, PlatformError::Unavailable { .. }),
        "{error}"
    );
}

#[tokio::test]
async fn checks_reject_versions_from_stale_reads() {
    let (running, client) = http().await;
    client.transact(&put(1, "a", 0)).await.unwrap();
    running.faults.update(|f| f.stale = true);
    client.transact(&put(2, "a", 0)).await.unwrap();
    let old = client.read(&key("a")).await.unwrap().unwrap();
    assert_eq!(old.attempt, AttemptId(1));
    let txn = put(3, "a", 0).check(key("a"), Some(old.version));
    assert!(matches!(
        client.transact(&txn).await,
        Err(PlatformError::Conflict { .. })
    ));
    running.faults.update(|f| f.stale = false);
    let new = client.read(&key("a")).await.unwrap().unwrap();
    assert_eq!(new.attempt, AttemptId(2));
}

#[tokio::test]
async fn the_host_list_lags() {
    let (running, client) = http().await;
    let host = Listed {
        name: "entry-1".into(),
        zone: "a".into(),
        state: ListedState::Live,
    };
    running.set_host(host.clone());
    assert_eq!(client.list().await, Ok(vec![host]));
    running.faults.update(|f| f.hosts_lag_ms = 3_600_000);
    assert_eq!(client.list().await, Ok(vec![]));
    running.faults.update(|f| f.hosts_lag_ms = 0);
    running.remove_host("entry-1");
    assert_eq!(client.list().await, Ok(vec![]));
}

/// A truncated, unreadable or missing answer must leave the outcome of a write unknown and make a
/// read fail.
#[tokio::test]
async fn unusable_answers_leave_a_write_unknown_and_fail_a_read() {
    let table = [
        ("cut head", "HTTP/1.1 200 OK\r\ncont"),
        (
            "cut body",
            "HTTP/1.1 200 OK\r\ncontent-length: 14\r\n\r\n{\"versi",
        ),
        (
            "not JSON",
            "HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\nhello",
        ),
        (
            "another document",
            "HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\n{}",
        ),
        ("not HTTP", "SSH-2.0-server\r\n\r\n"),
        (
            "server error",
            "HTTP/1.1 500 Oops\r\ncontent-length: 0\r\n\r\n",
        ),
        ("nothing", ""),
    ];
    for (name, answer) in table {
        let client = HttpClient::new(HttpSettings::new(raw_server(answer).await));
        let write = client.transact(&put(1, "a", 0)).await.unwrap_err();
        assert!(write.may_have_applied(), "{name}: {write}");
        let client = HttpClient::new(HttpSettings::new(raw_server(answer).await));
        let read = client
            .scan(&Scan {
                space: "s".into(),
                after: None,
                limit: 1,
                with: None,
            })
            .await;
        let read = read.unwrap_err();
        assert!(
            matches!(read, PlatformError::Unavailable { .. }),
            "{name}: {read}"
        );
    }
}

/// Starts a server that reads part of a request, sends `answer` and closes the connection.
async fn raw_server(answer: &'static str) -> SocketAddr {
    let listener = tokio::net::TcpListener::bind(any_port()).await.unwrap();
    let addr = listener.local_addr().unwrap();
    tokio::spawn(async move {
        let (mut stream, _) = listener.accept().await.unwrap();
        let _ = stream.read(&mut [0; 4_096]).await;
        let _ = stream.write_all(answer.as_bytes()).await;
    });
    addr
}

#[tokio::test]
async fn a_timeout_leaves_a_write_unknown_and_fails_a_read() {
    let (running, _) = http().await;
    running.faults.update(|f| f.delay_ms = 3_600_000);
    let stall_timeout = std::time::Duration::from_millis(20);
    let client = HttpClient::new(HttpSettings {
        stall_timeout,
        ..HttpSettings::new(running.addr)
    });
    let write = client.transact(&put(1, "a", 0)).await.unwrap_err();
    assert!(write.may_have_applied(), "{write}");
    let read = client.read(&key("a")).await.unwrap_err();
    assert!(matches!(read, PlatformError::Unavailable { .. }), "{read}");
}
