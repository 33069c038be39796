/// Why the platform gave no answer.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum Error {
    /// It refused or can't be reached; a write surely had no effect.
    #[error("the platform is down: {0}")]
    Down(String),
    /// The answer was lost; a write may have taken effect.
    #[error("the platform's answer was lost: {0}")]
    Lost(String),
    /// It answered something that can't be understood.
    #[error("the platform's answer can't be read: {0}")]
    Malformed(String),
}
