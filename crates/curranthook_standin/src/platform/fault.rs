//! Faults of the platform.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::Service;

/// The faults in force.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Faults {
    /// Of the table.
    pub table: Fault,
    /// Of the object store.
    pub objects: Fault,
    /// Of the list of VMs.
    pub vms: Fault,
}

/// A fault of one service.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Fault {
    /// What happens to a call.
    pub mode: Mode,
    /// How long a slow call waits before it takes effect, and a lost one too.
    pub delay_ms: u64,
    /// Only calls whose key begins so; a table's key is `{table}/{key}`.
    pub key_prefix: String,
    /// Only the next so many writes.
    pub next: Option<u64>,
    /// Reads too, where otherwise only writes count: with `next`, and in mode `lost`.
    pub any: bool,
}

/// What happens to a call.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Mode {
    /// It works.
    #[default]
    Up,
    /// It gets 503 and has no effect.
    Down,
    /// It takes effect after the delay.
    Slow,
    /// It takes effect; then the connection is closed without an answer.
    Lost,
}

/// Whether a call changes anything.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Call {
    Read,
    Write,
}

impl Faults {
    pub(super) fn strike(&mut self, service: Service, key: &str, call: Call) -> (Mode, Duration) {
        match service {
            Service::Table => self.table.strike(key, call),
            Service::Objects => self.objects.strike(key, call),
            Service::Vms => self.vms.strike(key, call),
        }
    }
}

impl Fault {
    fn strike(&mut self, key: &str, call: Call) -> (Mode, Duration) {
        let writes_only = (self.next.is_some() || self.mode == Mode::Lost) && !self.any;
        let spared = (writes_only && call == Call::Read) || !key.starts_with(&self.key_prefix);
        if spared || self.next == Some(0) {
            return (Mode::Up, Duration::ZERO);
        }
        self.next = self.next.map(|n| n - 1);
        (self.mode, Duration::from_millis(self.delay_ms))
    }
}
