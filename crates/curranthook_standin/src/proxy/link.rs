//! One link of the proxy.

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

use super::pump;

/// What a link does with connections and bytes.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Mode {
    /// Passes everything.
    #[default]
    Pass,
    /// Resets open connections and refuses new ones.
    Cut,
    /// Refuses new connections; open ones go on.
    Refuse,
    /// Connections that are open now go silent for good, with no FIN and no RST. New ones work.
    SilenceOpen,
    /// All connections go silent for good, new ones too.
    SilenceAll,
    /// Only bytes towards the target still pass.
    OneWayUp,
    /// Only bytes from the target still pass.
    OneWayDown,
    /// Holds bytes back until the mode changes.
    Pause,
}

/// The fault of a link. Whatever is left out works again, but the target stays.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Fault {
    /// What happens to connections and bytes.
    pub mode: Mode,
    /// How much later bytes come out, each way.
    pub delay_ms: u64,
    /// Passes so many more bytes from the target, then resets the connection that reached this,
    /// and no other.
    pub cut_after_bytes_down: Option<u64>,
    /// Passes so many more bytes to the target, then swallows all that come on that connection,
    /// and on no other.
    pub swallow_up_after_bytes: Option<u64>,
    /// A new target, for connections yet to come.
    pub target: Option<SocketAddr>,
}

/// What a link has done.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Status {
    /// Where it listens.
    pub listen: SocketAddr,
    /// Where its bytes go.
    pub target: SocketAddr,
    /// The fault in force, with what is left of its allowances.
    pub fault: Fault,
    /// Connections open now.
    pub open: usize,
    /// Connections accepted so far.
    pub accepted: u64,
    /// Bytes passed to the target.
    pub bytes_up: u64,
    /// Bytes passed from the target.
    pub bytes_down: u64,
    /// Bytes swallowed, both ways.
    pub swallowed: u64,
}

/// Which way bytes go.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Way {
    Up,
    Down,
}

/// What happens to a connection after some bytes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum End {
    /// It goes on.
    None,
    /// It is reset.
    Reset,
}

/// Bytes are held back until this signal comes.
#[derive(Debug)]
struct Held(Stop);

/// A link.
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
    /// Set, and replaced, whenever the fault changes.
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

    fn silences(self, way: Way) -> bool {
        match self {
            Self::SilenceAll => true,
            Self::OneWayUp => way == Way::Down,
            Self::OneWayDown => way == Way::Up,
            Self::Pass | Self::Cut | Self::Refuse | Self::SilenceOpen | Self::Pause => false,
        }
    }
}

impl Connection {
    fn silence(&mut self, way: Way) {
        match way {
            Way::Up => self.silent_up = true,
            Way::Down => self.silent_down = true,
        }
    }

    fn is_silent(&self, way: Way) -> bool {
        match way {
            Way::Up => self.silent_up,
            Way::Down => self.silent_down,
        }
    }
}

impl Link {
    /// Opens a link on a free port.
    pub fn open(target: SocketAddr, ex: &runtime::Handle) -> io::Result<Arc<Self>> {
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
        ex.spawn(Arc::clone(&link).listen(listener, Arc::clone(ex))).detach();
        Ok(link)
    }

    /// Where it listens.
    pub fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// What it has done.
    pub fn status(&self) -> Status {
        let state = self.state.lock();
        Status { open: state.open.len(), fault: state.fault.clone(), ..state.status.clone() }
    }

    /// Puts `fault` in force and waits until the port is open or closed accordingly.
    pub async fn set(&self, fault: Fault) {
        const POLL: Duration = Duration::from_millis(1);
        self.state.lock().set(fault);
        while self.is_changing() {
            Timer::after(POLL).await;
        }
    }

    /// Whether the port is still to be opened or closed.
    fn is_changing(&self) -> bool {
        let state = self.state.lock();
        state.is_listening == state.fault.mode.refuses()
    }

    /// Accepts connections while the mode lets it. The port is closed while it doesn't, so that
    /// callers are refused by the system, as by a host whose process is gone.
    async fn listen(self: Arc<Self>, mut listener: Async<TcpListener>, ex: runtime::Handle) {
        const PAUSE: Duration = Duration::from_millis(5);
        loop {
            self.accept(&listener, &ex).await;
            drop(listener);
            self.state.lock().is_listening = false;
            while let Some(changed) = self.refusing() {
                changed.wait().await;
            }
            listener = loop {
                match Async::<TcpListener>::bind(self.addr) {
                    Ok(listener) => break listener,
                    Err(_) => Timer::after(PAUSE).await,
                };
            };
            self.state.lock().is_listening = true;
        }
    }

    /// While it refuses connections, the signal that this may have changed.
    fn refusing(&self) -> Option<Stop> {
        let state = self.state.lock();
        state.fault.mode.refuses().then(|| state.changed.1.clone())
    }

    async fn accept(self: &Arc<Self>, listener: &Async<TcpListener>, ex: &runtime::Handle) {
        loop {
            let changed = self.state.lock().changed.1.clone();
            if self.refusing().is_some() {
                return;
            }
            let accepted = async { listener.accept().await.ok().map(|(stream, _)| stream) };
            let until_change = async {
                changed.wait().await;
                None
            };
            if let Some(stream) = future::or(accepted, until_change).await {
                ex.spawn(Arc::clone(self).connection(stream)).detach();
            }
        }
    }

    async fn connection(self: Arc<Self>, caller: Async<TcpStream>) {
        let (id, target, reset) = self.state.lock().add();
        let work = async {
            match Async::<TcpStream>::connect(target).await {
                Ok(target) => pump::run(&self, id, &caller, &target).await,
                Err(_) => pump::reset_on_drop(&caller),
            }
        };
        let cut = async {
            reset.wait().await;
            pump::reset_on_drop(&caller);
        };
        future::or(cut, work).await;
        self.state.lock().open.remove(&id);
    }

    /// How many of `n_bytes` that were read on connection `id` pass, and what comes then. The
    /// rest of them is swallowed. Waits while bytes are held back.
    pub(super) async fn judge(&self, id: u64, way: Way, n_bytes: usize) -> (usize, End) {
        loop {
            let verdict = self.state.lock().judge(id, way, n_bytes);
            match verdict {
                Ok(verdict) => return verdict,
                Err(Held(changed)) => changed.wait().await,
            }
        }
    }

    /// Whether connection `id` passes nothing that way any more, not even its end.
    pub(super) fn is_silent(&self, id: u64, way: Way) -> bool {
        let state = self.state.lock();
        let is_silent = state.open.get(&id).is_some_and(|conn| conn.is_silent(way));
        is_silent || state.fault.mode.silences(way)
    }

    /// How much later bytes come out.
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
                    conn.silence(Way::Up);
                    conn.silence(Way::Down);
                }
            }
            Mode::Pass | Mode::Refuse | Mode::OneWayUp | Mode::OneWayDown | Mode::Pause => {}
        }
        self.fault = fault;
        let (trigger, _) = std::mem::replace(&mut self.changed, stop::new());
        trigger.set();
    }

    fn add(&mut self) -> (u64, SocketAddr, Stop) {
        let id = self.status.accepted;
        self.status.accepted += 1;
        let (reset, stop) = stop::new();
        // A connection accepted just before a cut is one of those to be reset.
        if self.fault.mode == Mode::Cut {
            reset.set();
        }
        let is_silent = self.fault.mode == Mode::SilenceAll;
        let conn = Connection { reset, silent_up: is_silent, silent_down: is_silent };
        self.open.insert(id, conn);
        (id, self.status.target, stop)
    }

    fn judge(&mut self, id: u64, way: Way, n_bytes: usize) -> Result<(usize, End), Held> {
        let Some(conn) = self.open.get_mut(&id) else { return Ok((0, End::Reset)) };
        if self.fault.mode.silences(way) {
            // One lost byte spoils the stream, so what follows stays lost too.
            conn.silence(way);
        }
        if conn.is_silent(way) {
            self.status.swallowed += n_bytes as u64;
            return Ok((0, End::None));
        }
        if self.fault.mode == Mode::Pause {
            return Err(Held(self.changed.1.clone()));
        }
        let (n_passed, end) = match way {
            Way::Up => match spend(&mut self.fault.swallow_up_after_bytes, n_bytes) {
                Some(n_left) => {
                    conn.silence(way);
                    (n_left, End::None)
                }
                None => (n_bytes, End::None),
            },
            Way::Down => match spend(&mut self.fault.cut_after_bytes_down, n_bytes) {
                Some(n_left) => (n_left, End::Reset),
                None => (n_bytes, End::None),
            },
        };
        match way {
            Way::Up => self.status.bytes_up += n_passed as u64,
            Way::Down => self.status.bytes_down += n_passed as u64,
        }
        self.status.swallowed += (n_bytes - n_passed) as u64;
        Ok((n_passed, end))
    }
}

/// Takes `n_bytes` off the allowance. When they are more than is left, the allowance is spent
/// and gone, and the result is how many of them it still covers.
fn spend(allowance: &mut Option<u64>, n_bytes: usize) -> Option<usize> {
    let left = allowance.as_mut()?;
    let n_left = usize::try_from(*left).unwrap_or(usize::MAX);
    if n_bytes <= n_left {
        *left -= n_bytes as u64;
        return None;
    }
    *allowance = None;
    Some(n_left)
}
