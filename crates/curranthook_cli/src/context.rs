use std::sync::Arc;

use curranthook_platform::{Objects, Table};
use curranthook_types::Clock;

use crate::{Error, store::Retry};

/// Shared state of commands: services, clock, operator name and retry policy.
#[derive(Debug)]
pub struct Context {
    /// The platform's services, or `None` if no address was configured.
    pub platform: Option<Platform>,
    /// The clock for timestamps and ages.
    pub clock: Arc<dyn Clock>,
    /// Name of the operator who runs the command; it is recorded in the published document.
    pub operator: String,
    /// Retry policy for determining whether a write with a lost response took effect.
    pub retry: Retry,
}

/// The platform's services that commands use.
#[derive(Debug)]
pub struct Platform {
    /// The table service.
    pub table: Arc<dyn Table>,
    /// The object store.
    pub objects: Arc<dyn Objects>,
}

impl Context {
    /// Creates a context without a platform, which is enough for commands that only read files.
    ///
    /// ```
    /// # use curranthook_cli::Context;
    /// # use curranthook_types::clock;
    /// let ctx = Context::new(std::sync::Arc::new(clock::System), "lan");
    /// assert!(ctx.platform.is_none());
    /// ```
    pub fn new(clock: Arc<dyn Clock>, operator: &str) -> Self {
        Self { platform: None, clock, operator: operator.to_owned(), retry: Retry::default() }
    }

    /// Returns the table service, or an error that explains how to configure the platform.
    ///
    /// ```
    /// # use curranthook_cli::{Context, Error};
    /// # use curranthook_types::clock;
    /// let ctx = Context::new(std::sync::Arc::new(clock::System), "lan");
    /// assert!(matches!(ctx.table(), Err(Error::NoPlatform)));
    /// ```
    pub fn table(&self) -> Result<&dyn Table, Error> {
        self.platform.as_ref().map(|it| &*it.table).ok_or(Error::NoPlatform)
    }

    /// Returns the object store, or an error that explains how to configure the platform.
    ///
    /// ```
    /// # use curranthook_cli::{Context, Error};
    /// # use curranthook_types::clock;
    /// let ctx = Context::new(std::sync::Arc::new(clock::System), "lan");
    /// assert!(matches!(ctx.objects(), Err(Error::NoPlatform)));
    /// ```
    pub fn objects(&self) -> Result<&dyn Objects, Error> {
        self.platform.as_ref().map(|it| &*it.objects).ok_or(Error::NoPlatform)
    }
}

/// Generates a random 128-bit publication id in hexadecimal.
pub(crate) fn new_publication_id() -> String {
    format!("{:032x}", rand::random::<u128>())
}
