//! Forwards the bytes of one connection.

use std::{io, net::Shutdown, net::TcpStream, time::Duration};

use async_io::{Async, Timer};
use futures_lite::{AsyncReadExt, AsyncWriteExt, future};
use socket2::SockRef;

use super::link::{Direction, Link, Outcome};

/// The size of the read buffer, in bytes.
const BUFFER_BYTES: usize = 64 * 1024;

/// Makes the socket send an RST instead of a FIN when dropped.
pub(super) fn reset_on_drop(stream: &Async<TcpStream>) {
    let _best_effort = SockRef::from(stream.get_ref()).set_linger(Some(Duration::ZERO));
}

/// Forwards bytes in both directions until both have ended or one is reset.
pub(super) async fn run(
    link: &Link,
    id: u64,
    caller: &Async<TcpStream>,
    target: &Async<TcpStream>,
) {
    let _best_effort = caller.get_ref().set_nodelay(true);
    let _best_effort = target.get_ref().set_nodelay(true);
    // If the streams are dropped before both directions have ended, the connection was cut and
    // must send an RST. A regular end reverts this.
    reset_on_drop(target);
    let up = forward(link, id, Direction::Up, caller, target);
    let down = forward(link, id, Direction::Down, target, caller);
    match future::try_zip(up, down).await {
        Ok(_) => {
            let _best_effort = SockRef::from(target.get_ref()).set_linger(None);
        }
        Err(_) => reset_on_drop(caller),
    }
}

async fn forward(
    link: &Link,
    id: u64,
    direction: Direction,
    from: &Async<TcpStream>,
    to: &Async<TcpStream>,
) -> io::Result<()> {
    let (mut from, mut to) = (from, to);
    let mut buf = vec![0; BUFFER_BYTES];
    loop {
        let read = from.read(&mut buf).await;
        let delay = link.delay();
        if !delay.is_zero() {
            Timer::after(delay).await;
        }
        let n_read = match read {
            Ok(n_read) if 0 < n_read => n_read,
            ended => {
                // A paused link delays the end of the stream as well.
                link.admit(id, direction, 0).await;
                if link.is_silent(id, direction) {
                    // The peer must not notice that this side has closed.
                    return future::pending().await;
                }
                ended?;
                return to.get_ref().shutdown(Shutdown::Write);
            }
        };
        let (n_forwarded, outcome) = link.admit(id, direction, n_read).await;
        to.write_all(&buf[..n_forwarded]).await?;
        if outcome == Outcome::Reset {
            return Err(io::ErrorKind::ConnectionReset.into());
        }
    }
}
