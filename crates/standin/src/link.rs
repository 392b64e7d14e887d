//! A stand-in for a slow network link: forwards TCP connections at a limited rate.

use std::io;
use std::net::{Ipv4Addr, SocketAddr};
use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::task::{AbortHandle, JoinSet};
use tokio::time::sleep;

/// Small, so that bytes wait at their sender, as behind a real link, instead of in the stand-in.
const BUFFER_BYTES: u32 = 32 * 1024;
const BACKLOG: u32 = 128;
const FORWARD_INTERVAL: Duration = Duration::from_millis(20);

/// A running link, whose connections close when this handle is dropped.
#[derive(Debug)]
pub struct Link {
    /// The address that forwards to the target.
    pub addr: SocketAddr,
    task: AbortHandle,
}

impl Drop for Link {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// Starts a link on a free loopback port that forwards to `target`. Each connection carries
/// `bytes_per_second` in each direction.
///
/// # Errors
///
/// Returns an error if no port can be bound.
pub fn start(target: SocketAddr, bytes_per_second: u32) -> io::Result<Link> {
    let socket = TcpSocket::new_v4()?;
    socket.set_recv_buffer_size(BUFFER_BYTES)?;
    socket.bind((Ipv4Addr::LOCALHOST, 0).into())?;
    let listener = socket.listen(BACKLOG)?;
    let addr = listener.local_addr()?;
    let task = tokio::spawn(accept_all(listener, target, bytes_per_second)).abort_handle();
    Ok(Link { addr, task })
}

async fn accept_all(listener: TcpListener, target: SocketAddr, rate: u32) {
    let mut open = JoinSet::new();
    loop {
        tokio::select! {
            accepted = listener.accept() => {
                if let Ok((stream, _)) = accepted {
                    open.spawn(forward_both(stream, target, rate));
                }
            }
            Some(_) = open.join_next() => {}
        }
    }
}

async fn forward_both(near: TcpStream, target: SocketAddr, rate: u32) -> io::Result<()> {
    let socket = TcpSocket::new_v4()?;
    socket.set_recv_buffer_size(BUFFER_BYTES)?;
    let far = socket.connect(target).await?;
    near.set_nodelay(true)?;
    far.set_nodelay(true)?;
    let (near_read, near_write) = near.into_split();
    let (far_read, far_write) = far.into_split();
    tokio::try_join!(
        forward(near_read, far_write, rate),
        forward(far_read, near_write, rate)
    )?;
    Ok(())
}

async fn forward(mut from: OwnedReadHalf, mut to: OwnedWriteHalf, rate: u32) -> io::Result<()> {
    let per_second = f64::from(rate.max(1));
    let mut piece = vec![0; piece_bytes(rate)];
    loop {
        let count = from.read(&mut piece).await?;
        if count == 0 {
            return to.shutdown().await;
        }
        sleep(Duration::from_secs_f64(count as f64 / per_second)).await;
        to.write_all(&piece[..count]).await?;
    }
}

/// Returns how many bytes are forwarded at once.
fn piece_bytes(rate: u32) -> usize {
    let per_interval = u128::from(rate) * FORWARD_INTERVAL.as_millis() / 1_000;
    usize::try_from(per_interval).unwrap_or(usize::MAX).max(1)
}
