//! Call counters.

use serde::{Deserialize, Serialize};

use super::Service;

/// Counters of the calls to each service.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub struct Counts {
    /// Calls to the table.
    pub table: Calls,
    /// Calls to the object store.
    pub objects: Calls,
    /// Calls to the list of VMs.
    pub vms: Calls,
}

/// Counters of the calls to one service.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub struct Calls {
    /// Reads executed.
    pub reads: u64,
    /// Writes executed, whether or not their condition held.
    pub writes: u64,
    /// Reads that got a 304 response.
    pub not_modified: u64,
    /// Calls rejected because the service was down or above its rate limit.
    pub refused: u64,
}

impl Counts {
    pub(super) fn for_service(&mut self, service: Service) -> &mut Calls {
        match service {
            Service::Table => &mut self.table,
            Service::Objects => &mut self.objects,
            Service::Vms => &mut self.vms,
        }
    }
}
