//! A proxied link from one listening address to one target.

use std::{
    collections::BTreeMap,
    io,
    net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream},
    sync::Arc,
    time::Duration,
};

use async_io::{Async, Timer};
use curranthook_http::{
    runtime,
    stop::{self, Stop, Trigger},
};
use futures_lite::future;
use parking_lot::Mutex;
use serde::{Deserialize, Serialize};

use super::relay;

/// How a link treats connections and bytes.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Mode {
    /// Forwards everything.
    #[default]
    Pass,
    /// Resets open connections and refuses new ones.
    Cut,
    /// Refuses new connections; open ones continue.
    Refuse,
    /// Connections open at this moment drop all bytes for good, with no FIN and no RST. New ones
    /// work.
    SilenceOpen,
    /// All connections, including new ones, drop all bytes for good.
    SilenceAll,
    /// Forwards only bytes to the target.
    OneWayUp,
    /// Forwards only bytes from the target.
    OneWayDown,
    /// Holds back all bytes until the mode changes.
    Pause,
}

/// The fault of a link. Omitted fields return to normal operation, except the target, which stays.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Fault {
    /// How connections and bytes are treated.
    pub mode: Mode,
    /// The delay added in each direction, in milliseconds.
    pub delay_ms: u64,
    /// Forwards this many more bytes from the target, then resets only the connection that
    /// exceeded the limit.
    pub cut_after_bytes_down: Option<u64>,
    /// Forwards this many more bytes to the target, then drops all further ones, only on the
    /// connection that exceeded the limit.
    pub swallow_up_after_bytes: Option<u64>,
    /// A new target, for new connections only.
    pub target: Option<SocketAddr>,
}

/// State and counters of a link.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Status {
    /// The address that the link listens on.
    pub listen: SocketAddr,
    /// The address that the link forwards to.
    pub target: SocketAddr,
    /// The active fault, with the remaining byte limits.
    pub fault: Fault,
    /// The number of open connections.
    pub open: usize,
    /// The number of connections accepted so far.
    pub accepted: u64,
    /// Bytes forwarded to the target.
    pub bytes_up: u64,
    /// Bytes forwarded from the target.
    pub bytes_down: u64,
    /// Bytes dropped, in both directions.
    pub swallowed: u64,
}

/// The direction of a byte stream: `Up` is to the target, `Down` from it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Direction {
    Up,
    Down,
}

/// What happens to a connection after bytes were forwarded.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Outcome {
    /// The connection continues.
    Continue,
    /// The connection is reset.
    Reset,
}

/// The link is paused; the signal fires when its fault changes.
#[derive(Debug)]
struct Paused(Stop);

/// A listening address whose connections are forwarded to a target, subject to a [`Fault`].
#[derive(Debug)]
pub struct Link {
    addr: SocketAddr,
    state: Mutex<State>,
}

#[derive(Debug)]
struct State {
    fault: Fault,
    status: Status,
    is_listening: bool,
    open: BTreeMap<u64, Connection>,
    /// Triggered and replaced on each change of the fault.
    changed: (Trigger, Stop),
}

#[derive(Debug)]
struct Connection {
    reset: Trigger,
    silent_up: bool,
    silent_down: bool,
}

impl Mode {
    fn refuses(self) -> bool {
        matches!(self, Self::Cut | Self::Refuse)
    }

    fn silences(self, direction: Direction) -> bool {
        match self {
            Self::SilenceAll => true,
            Self::OneWayUp => direction == Direction::Down,
            Self::OneWayDown => direction == Direction::Up,
            Self::Pass | Self::Cut | Self::Refuse | Self::SilenceOpen | Self::Pause => false,
        }
    }
}

impl Connection {
    fn silence(&mut self, direction: Direction) {
        match direction {
            Direction::Up => self.silent_up = true,
            Direction::Down => self.silent_down = true,
        }
    }

    fn is_silent(&self, direction: Direction) -> bool {
        match direction {
            Direction::Up => self.silent_up,
            Direction::Down => self.silent_down,
        }
    }
}

impl Link {
    /// Opens a link on a free port of the loopback interface.
    pub fn open(target: SocketAddr, runtime: &runtime::Handle) -> io::Result<Arc<Self>> {
        let listener = Async::<TcpListener>::bind((Ipv4Addr::LOCALHOST, 0))?;
        let addr = listener.get_ref().local_addr()?;
        let status = Status {
            listen: addr,
            target,
            fault: Fault::default(),
            open: 0,
            accepted: 0,
            bytes_up: 0,
            bytes_down: 0,
            swallowed: 0,
        };
        let state = State {
            fault: Fault::default(),
            status,
            is_listening: true,
            open: BTreeMap::new(),
            changed: stop::new(),
        };
        let link = Arc::new(Self { addr, state: Mutex::new(state) });
        runtime.spawn(Arc::clone(&link).run_listener(listener, Arc::clone(runtime))).detach();
        Ok(link)
    }

    /// The address that the link listens on.
    pub fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// The current state and counters.
    pub fn status(&self) -> Status {
        let state = self.state.lock();
        Status { open: state.open.len(), fault: state.fault.clone(), ..state.status.clone() }
    }

    /// Activates `fault` and waits until the port is open or closed accordingly.
    pub async fn set(&self, fault: Fault) {
        const POLL_INTERVAL: Duration = Duration::from_millis(1);
        self.state.lock().set(fault);
        while self.is_changing() {
            Timer::after(POLL_INTERVAL).await;
        }
    }

    /// Whether the port has yet to be opened or closed.
    fn is_changing(&self) -> bool {
        let state = self.state.lock();
        state.is_listening == state.fault.mode.refuses()
    }

    /// Accepts connections while the mode allows it. Otherwise the port is closed, so that the
    /// operating system refuses callers as on a host whose process has exited.
    async fn run_listener(
        self: Arc<Self>,
        mut listener: Async<TcpListener>,
        runtime: runtime::Handle,
    ) {
        const REBIND_DELAY: Duration = Duration::from_millis(5);
        loop {
            self.accept_until_refusing(&listener, &runtime).await;
            drop(listener);
            self.state.lock().is_listening = false;
            while let Some(changed) = self.change_if_refusing() {
                changed.wait().await;
            }
            listener = loop {
                match Async::<TcpListener>::bind(self.addr) {
                    Ok(listener) => break listener,
                    Err(_) => Timer::after(REBIND_DELAY).await,
                };
            };
            self.state.lock().is_listening = true;
        }
    }

    /// If the link refuses connections, returns the signal for the next change of the fault.
    fn change_if_refusing(&self) -> Option<Stop> {
        let state = self.state.lock();
        state.fault.mode.refuses().then(|| state.changed.1.clone())
    }

    async fn accept_until_refusing(
        self: &Arc<Self>,
        listener: &Async<TcpListener>,
        runtime: &runtime::Handle,
    ) {
        loop {
            let changed = self.state.lock().changed.1.clone();
            if self.change_if_refusing().is_some() {
                return;
            }
            let accepted = async { listener.accept().await.ok().map(|(stream, _)| stream) };
            let until_change = async {
                changed.wait().await;
                None
            };
            if let Some(stream) = future::or(accepted, until_change).await {
                runtime.spawn(Arc::clone(self).handle_connection(stream)).detach();
            }
        }
    }

    async fn handle_connection(self: Arc<Self>, caller: Async<TcpStream>) {
        let (id, target, reset) = self.state.lock().add_connection();
        let forward = async {
            match Async::<TcpStream>::connect(target).await {
                Ok(target) => relay::run(&self, id, &caller, &target).await,
                Err(_) => relay::reset_on_drop(&caller),
            }
        };
        let reset_by_fault = async {
            reset.wait().await;
            relay::reset_on_drop(&caller);
        };
        future::or(reset_by_fault, forward).await;
        self.state.lock().open.remove(&id);
    }

    /// Returns how many of the `n_bytes` read on connection `id` to forward, and what to do with
    /// the connection then. The remaining bytes are dropped. Waits while the link is paused.
    pub(super) async fn admit(
        &self,
        id: u64,
        direction: Direction,
        n_bytes: usize,
    ) -> (usize, Outcome) {
        loop {
            let admitted = self.state.lock().admit(id, direction, n_bytes);
            match admitted {
                Ok(admitted) => return admitted,
                Err(Paused(changed)) => changed.wait().await,
            }
        }
    }

    /// Whether connection `id` drops everything in that direction, including its end.
    pub(super) fn is_silent(&self, id: u64, direction: Direction) -> bool {
        let state = self.state.lock();
        let is_silent = state.open.get(&id).is_some_and(|conn| conn.is_silent(direction));
        is_silent || state.fault.mode.silences(direction)
    }

    /// The delay added in each direction.
    pub(super) fn delay(&self) -> Duration {
        Duration::from_millis(self.state.lock().fault.delay_ms)
    }
}

impl State {
    fn set(&mut self, fault: Fault) {
        self.status.target = fault.target.unwrap_or(self.status.target);
        match fault.mode {
            Mode::Cut => {
                for (_, conn) in std::mem::take(&mut self.open) {
                    conn.reset.set();
                }
            }
            Mode::SilenceOpen | Mode::SilenceAll => {
                for conn in self.open.values_mut() {
                    conn.silence(Direction::Up);
                    conn.silence(Direction::Down);
                }
            }
            Mode::Pass | Mode::Refuse | Mode::OneWayUp | Mode::OneWayDown | Mode::Pause => {}
        }
        self.fault = fault;
        let (trigger, _) = std::mem::replace(&mut self.changed, stop::new());
        trigger.set();
    }

    fn add_connection(&mut self) -> (u64, SocketAddr, Stop) {
        let id = self.status.accepted;
        self.status.accepted += 1;
        let (reset, stop) = stop::new();
        // The connection may have been accepted just before the cut, so reset it as well.
        if self.fault.mode == Mode::Cut {
            reset.set();
        }
        let is_silent = self.fault.mode == Mode::SilenceAll;
        let conn = Connection { reset, silent_up: is_silent, silent_down: is_silent };
        self.open.insert(id, conn);
        (id, self.status.target, stop)
    }

    fn admit(
        &mut self,
        id: u64,
        direction: Direction,
        n_bytes: usize,
    ) -> Result<(usize, Outcome), Paused> {
        let Some(conn) = self.open.get_mut(&id) else { return Ok((0, Outcome::Reset)) };
        if self.fault.mode.silences(direction) {
            // A TCP stream with a gap is unusable, so all later bytes are dropped too.
            conn.silence(direction);
        }
        if conn.is_silent(direction) {
            self.status.swallowed += n_bytes as u64;
            return Ok((0, Outcome::Continue));
        }
        if self.fault.mode == Mode::Pause {
            return Err(Paused(self.changed.1.clone()));
        }
        let (n_forwarded, outcome) = match direction {
            Direction::Up => match consume(&mut self.fault.swallow_up_after_bytes, n_bytes) {
                Some(n_remaining) => {
                    conn.silence(direction);
                    (n_remaining, Outcome::Continue)
                }
                None => (n_bytes, Outcome::Continue),
            },
            Direction::Down => match consume(&mut self.fault.cut_after_bytes_down, n_bytes) {
                Some(n_remaining) => (n_remaining, Outcome::Reset),
                None => (n_bytes, Outcome::Continue),
            },
        };
        match direction {
            Direction::Up => self.status.bytes_up += n_forwarded as u64,
            Direction::Down => self.status.bytes_down += n_forwarded as u64,
        }
        self.status.swallowed += (n_bytes - n_forwarded) as u64;
        Ok((n_forwarded, outcome))
    }
}

/// Subtracts `n_bytes` from the byte limit. If they exceed it, clears the limit and returns how
/// many of them were still within it.
fn consume(limit: &mut Option<u64>, n_bytes: usize) -> Option<usize> {
    let remaining = limit.as_mut()?;
    let n_remaining = usize::try_from(*remaining).unwrap_or(usize::MAX);
    if n_bytes <= n_remaining {
        *remaining -= n_bytes as u64;
        return None;
    }
    *limit = None;
    Some(n_remaining)
}
