//! Faults injected into the platform.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::Service;

/// The active faults.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Faults {
    /// The fault that affects calls to the table.
    pub table: Fault,
    /// The fault that affects calls to the object store.
    pub objects: Fault,
    /// The fault that affects reads of the VM list.
    pub vms: Fault,
}

/// A fault that affects calls to one of the platform's services.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Fault {
    /// How the fault affects a call.
    pub mode: Mode,
    /// The delay before a slow or lost call takes effect, in milliseconds.
    pub delay_ms: u64,
    /// Affects only calls whose key has this prefix; the key of a row is `{table}/{key}`.
    pub key_prefix: String,
    /// Affects only the next N writes.
    pub next: Option<u64>,
    /// Affects and counts reads too where otherwise only writes are: with `next`, and in mode
    /// `lost`.
    pub any: bool,
}

/// How the fault affects a call.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Mode {
    /// The call works.
    #[default]
    Up,
    /// The call gets a 503 response and has no effect.
    Down,
    /// The call takes effect after the delay.
    Slow,
    /// The call takes effect after the delay, then the connection is closed without a response.
    Lost,
}

/// Whether a call reads or writes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Access {
    Read,
    Write,
}

impl Faults {
    pub(super) fn next_effect(
        &mut self,
        service: Service,
        key: &str,
        access: Access,
    ) -> (Mode, Duration) {
        match service {
            Service::Table => self.table.next_effect(key, access),
            Service::Objects => self.objects.next_effect(key, access),
            Service::Vms => self.vms.next_effect(key, access),
        }
    }
}

impl Fault {
    fn next_effect(&mut self, key: &str, access: Access) -> (Mode, Duration) {
        let writes_only = (self.next.is_some() || self.mode == Mode::Lost) && !self.any;
        let is_exempt =
            (writes_only && access == Access::Read) || !key.starts_with(&self.key_prefix);
        if is_exempt || self.next == Some(0) {
            return (Mode::Up, Duration::ZERO);
        }
        self.next = self.next.map(|n| n - 1);
        (self.mode, Duration::from_millis(self.delay_ms))
    }
}
