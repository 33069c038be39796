use std::sync::Arc;

use curranthook_platform::{Objects, Table};
use curranthook_types::Clock;

use crate::{Error, store::Retry};

/// What commands work with besides their arguments.
#[derive(Debug, Clone)]
pub struct Context {
    /// The platform, if the operator said where it is.
    pub platform: Option<Platform>,
    /// The time.
    pub clock: Arc<dyn Clock>,
    /// Who gives the command; it stands in the published document.
    pub by: String,
    /// How patiently lost answers are settled.
    pub retry: Retry,
}

/// The platform's services that commands use.
#[derive(Debug, Clone)]
pub struct Platform {
    /// The table service.
    pub table: Arc<dyn Table>,
    /// The object store.
    pub objects: Arc<dyn Objects>,
}

impl Context {
    /// The table service, or an error that says how to name it.
    pub fn table(&self) -> Result<&dyn Table, Error> {
        self.platform.as_ref().map(|it| &*it.table).ok_or(Error::NoPlatform)
    }

    /// The object store, or an error that says how to name it.
    pub fn objects(&self) -> Result<&dyn Objects, Error> {
        self.platform.as_ref().map(|it| &*it.objects).ok_or(Error::NoPlatform)
    }
}

/// A random id for a publication.
pub(crate) fn publication() -> String {
    format!("{:032x}", rand::random::<u128>())
}
