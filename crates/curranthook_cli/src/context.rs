use std::sync::Arc;

use curranthook_platform::{Objects, Table};
use curranthook_types::Clock;

use crate::{Error, store::Retry};

/// What commands work with besides their arguments.
#[derive(Debug)]
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
#[derive(Debug)]
pub struct Platform {
    /// The table service.
    pub table: Arc<dyn Table>,
    /// The object store.
    pub objects: Arc<dyn Objects>,
}

impl Context {
    /// A context without a platform, which does for commands that only read files.
    ///
    /// ```
    /// # use curranthook_cli::Context;
    /// # use curranthook_types::clock;
    /// let ctx = Context::new(std::sync::Arc::new(clock::System), "lan");
    /// assert!(ctx.platform.is_none());
    /// ```
    pub fn new(clock: Arc<dyn Clock>, by: &str) -> Self {
        Self { platform: None, clock, by: by.to_owned(), retry: Retry::default() }
    }

    /// The table service, or an error that says how to name it.
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

    /// The object store, or an error that says how to name it.
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

/// A random id for a publication.
pub(crate) fn publication() -> String {
    format!("{:032x}", rand::random::<u128>())
}
