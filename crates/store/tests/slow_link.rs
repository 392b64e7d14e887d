//! Guards against a limit on the duration of a whole call: what takes longer to cross a slow link
//! than the limit would never arrive, since each attempt starts from the first byte again.

use std::net::Ipv4Addr;
use std::time::{Duration, Instant};

use bytes::Bytes;
use wagtail_standin::link;
use wagtail_standin::platform;
use wagtail_store::{
    HttpClient, HttpSettings, Objects, PlatformError, RowKey, Scan, Table, Txn, Write,
};
use wagtail_types::AttemptId;

/// The rate of the link in each direction.
const BYTES_PER_SECOND: u32 = 500_000;
/// Takes longer than [`HttpSettings`] lets a connection be silent.
const LARGE_BYTES: usize = 1_500_000;

struct Fixture {
    platform: platform::Running,
    _link: link::Link,
    client: HttpClient,
}

impl Fixture {
    /// Starts a platform and a client that reaches it over a slow link.
    async fn start() -> Self {
        let any_port = (Ipv4Addr::LOCALHOST, 0).into();
        let platform = platform::start(any_port).await.expect("starts");
        let link = link::start(platform.addr, BYTES_PER_SECOND).expect("starts");
        let client = HttpClient::new(HttpSettings::new(link.addr));
        Self {
            platform,
            _link: link,
            client,
        }
    }
}

fn large_body() -> Bytes {
    (0..LARGE_BYTES)
        .map(|i| u8::try_from(i % 251).unwrap_or(0))
        .collect()
}

// A host without configuration must be able to read a snapshot that is large for its link.
#[tokio::test]
async fn a_large_object_is_read_over_a_slow_link() {
    let fixture = Fixture::start().await;
    let put = fixture.platform.memory.put("snapshot", large_body()).await;
    put.expect("stores");
    let read = fixture.client.get("snapshot").await;
    assert_eq!(read.map(|bytes| bytes == Some(large_body())), Ok(true));
}

// A change that is large for the operator's link must be stored, and so must the snapshot.
#[tokio::test]
async fn a_large_object_is_stored_over_a_slow_link() {
    let fixture = Fixture::start().await;
    assert_eq!(fixture.client.put("snapshot", large_body()).await, Ok(()));
    let stored = fixture.platform.memory.get("snapshot").await;
    assert_eq!(stored.map(|bytes| bytes == Some(large_body())), Ok(true));
}

// A host that is behind by a large change must be able to read it.
#[tokio::test]
async fn a_large_page_is_read_over_a_slow_link() {
    const ROWS: usize = 30;
    let fixture = Fixture::start().await;
    let value = "v".repeat(LARGE_BYTES / ROWS);
    let mut txn = Txn::new(AttemptId(1));
    for row in 0..ROWS {
        let key = RowKey::new("config", &format!("row-{row}"));
        txn = txn.write(Write::put(key, &value).mark(1));
    }
    let written = fixture.platform.memory.transact(&txn).await;
    written.expect("applies");
    let scan = Scan {
        space: "config".to_owned(),
        after: None,
        limit: ROWS,
        with: None,
    };
    let page = fixture.client.scan(&scan).await;
    assert_eq!(page.map(|page| page.rows.len()), Ok(ROWS));
}

// The other side of the limit: a platform that falls silent in the middle of an answer is given up.
#[tokio::test]
async fn a_call_that_makes_no_progress_is_given_up() {
    let listener = tokio::net::TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await;
    let listener = listener.expect("binds");
    let addr = listener.local_addr().expect("is bound");
    tokio::spawn(async move {
        use tokio::io::{AsyncReadExt, AsyncWriteExt};
        let (mut stream, _) = listener.accept().await.expect("a connection");
        let _ = stream.read(&mut [0; 1_024]).await;
        let part = b"HTTP/1.1 200 OK\r\ncontent-length: 100\r\n\r\npart";
        stream.write_all(part).await.expect("sends");
        std::future::pending::<()>().await;
    });
    let client = HttpClient::new(HttpSettings::new(addr));
    let start = Instant::now();
    let read = client.get("snapshot").await;
    let given_up = matches!(read, Err(PlatformError::Unavailable { .. }));
    assert!(given_up, "{read:?}");
    assert!(start.elapsed() >= Duration::from_secs(1));
}
