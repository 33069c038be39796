/// Why a call to the platform failed.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum Error {
    /// The platform refused the call or can't be reached. A write had no effect.
    #[error("the platform is down: {0}")]
    Down(String),
    /// The response was lost. A write may have taken effect.
    #[error("the platform's answer was lost: {0}")]
    Lost(String),
    /// The response can't be parsed or has an unexpected status.
    #[error("the platform's answer can't be read: {0}")]
    Malformed(String),
}
