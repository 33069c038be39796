//! Versions of models.

crate::id::declare! {
    /// The id of a version of a model, written `model@version`, such as `tally-llm@3`.
}

impl Id {
    /// The model that this is a version of: the part before `@`.
    ///
    /// ```
    /// # use curranthook_types::version;
    /// assert_eq!(version::Id::new("tally-llm@3").model(), "tally-llm");
    /// ```
    pub fn model(&self) -> &str {
        self.as_str().split('@').next().unwrap_or_default()
    }
}
