//! Calls counted.

use serde::{Deserialize, Serialize};

use super::Service;

/// Calls to each service.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub struct Counts {
    /// The table.
    pub table: Calls,
    /// The object store.
    pub objects: Calls,
    /// The list of VMs.
    pub vms: Calls,
}

/// Calls to one service.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub struct Calls {
    /// Reads that were carried out.
    pub reads: u64,
    /// Writes that were carried out, whether or not their condition held.
    pub writes: u64,
    /// Reads answered by 304.
    pub not_modified: u64,
    /// Calls refused because the service was down or over its rate.
    pub refused: u64,
}

impl Counts {
    pub(super) fn of(&mut self, service: Service) -> &mut Calls {
        match service {
            Service::Table => &mut self.table,
            Service::Objects => &mut self.objects,
            Service::Vms => &mut self.vms,
        }
    }
}
