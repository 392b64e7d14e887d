//! Commands that query an entry host whose answer takes long.

use std::ffi::OsString;
use std::net::{Ipv4Addr, SocketAddr};
use std::time::Duration;

use serde_json::json;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;
use tokio::time::{sleep, timeout};
use wagtail_ctl::cli::{Streams, run};
use wagtail_standin::{link, platform};

const TIMEOUT: Duration = Duration::from_secs(30);

/// Runs a command and returns its exit status and its errors.
async fn run_ctl(platform: SocketAddr, entry: SocketAddr, line: &str, input: &str) -> (u8, String) {
    let own = format!("--platform {platform} --entry {entry} {line}");
    let args = own.split_whitespace().map(OsString::from).collect();
    let (mut output, mut errors) = (Vec::new(), Vec::new());
    let streams = Streams {
        input: &mut input.as_bytes(),
        output: &mut output,
        errors: &mut errors,
    };
    let status = timeout(TIMEOUT, run(args, &|_| None, streams)).await;
    let errors = String::from_utf8(errors).expect("text");
    (status.expect("the command ends"), errors)
}

/// Starts an entry host that answers each request with `head` and then with `piece` at intervals,
/// `pieces` times.
async fn start_host(head: String, piece: Vec<u8>, pieces: usize, interval: Duration) -> SocketAddr {
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await;
    let listener = listener.expect("binds");
    let addr = listener.local_addr().expect("is bound");
    tokio::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            let (head, piece) = (head.clone(), piece.clone());
            tokio::spawn(async move {
                let _ = stream.read(&mut [0; 4_096]).await?;
                stream.write_all(head.as_bytes()).await?;
                for _ in 0..pieces {
                    stream.write_all(&piece).await?;
                    sleep(interval).await;
                }
                std::io::Result::Ok(())
            });
        }
    });
    addr
}

// Guards against a limit on the whole answer of an entry host: the status of a large fleet would
// never cross a slow link.
#[tokio::test]
async fn a_status_that_is_large_for_its_link_is_received() {
    const BYTES_PER_SECOND: u32 = 200_000;
    const MEMBERS: usize = 6_000;
    let platform = platform::start((Ipv4Addr::LOCALHOST, 0).into()).await;
    let platform = platform.expect("starts");
    let member =
        |n| json!({"host": format!("entry-{n}"), "zone": "cymru-a", "state": "live", "epoch": 0});
    let members: Vec<_> = (0..MEMBERS).map(member).collect();
    let status = json!({
        "host": "entry-0", "zone": "cymru-a", "epoch": 0, "mode": "current", "members": members,
    });
    let body = status.to_string().into_bytes();
    let head = format!("HTTP/1.1 200 OK\r\ncontent-length: {}\r\n\r\n", body.len());
    let host = start_host(head, body, 1, Duration::ZERO).await;
    let link = link::start(host, BYTES_PER_SECOND).expect("starts");
    let (status, errors) = run_ctl(platform.addr, link.addr, "status", "").await;
    assert_eq!((status, errors.as_str()), (0, ""));
}

// Guards against a command that waits for a change beyond its time, because an entry host goes on
// sending without end.
#[tokio::test]
async fn an_answer_without_end_does_not_prolong_the_wait() {
    let platform = platform::start((Ipv4Addr::LOCALHOST, 0).into()).await;
    let platform = platform.expect("starts");
    let head = "HTTP/1.1 200 OK\r\ncontent-length: 1000000\r\n\r\n".to_owned();
    let host = start_host(head, b" ".to_vec(), 1_000_000, Duration::from_millis(100)).await;
    let region = json!({"kind": "region", "name": "cymru", "schema": 1, "body": {}});
    let input = region.to_string();
    let (status, _) = run_ctl(platform.addr, host, "put - --wait 1", &input).await;
    assert_eq!(status, 3, "committed, and not known to be accepted");
}
