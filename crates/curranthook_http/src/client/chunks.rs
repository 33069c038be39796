//! Recognizes a body that is itself a message in chunks, as the head has lost their transfer coding.

/// Follows a body as if it were in chunks. RFC 9112, 7.1.
#[derive(Debug, Default)]
pub(super) struct Scan {
    state: State,
    /// Whether the first line is the size of a chunk.
    starts_with_size: bool,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum State {
    /// Inside the size of a chunk.
    Size { size: usize, n_digits: u32 },
    /// Inside the extensions that may follow the size.
    Extension { size: usize },
    /// Before the line feed after the size and its extensions.
    SizeEnd { size: usize },
    /// Inside the data of a chunk.
    Data { n_left: usize },
    /// Before the carriage return after the data.
    DataEnd,
    /// Before the line feed after the data.
    DataEndFeed,
    /// Inside a line after the last chunk.
    Trailer { is_empty: bool },
    /// Before the line feed after such a line.
    TrailerEnd { is_empty: bool },
    /// After the last line.
    Complete,
    /// After bytes that can't be part of such a message.
    Other,
}

impl Default for State {
    fn default() -> Self {
        Self::Size { size: 0, n_digits: 0 }
    }
}

impl Scan {
    /// Appends bytes of the body.
    pub fn push(&mut self, mut bytes: &[u8]) {
        while let [byte, rest @ ..] = bytes
            && self.state != State::Other
        {
            (self.state, bytes) = match self.state {
                State::Data { n_left } if bytes.len() < n_left => {
                    (State::Data { n_left: n_left - bytes.len() }, &[][..])
                }
                State::Data { n_left } => (State::DataEnd, &bytes[n_left..]),
                other => (other.next(*byte), rest),
            };
            self.starts_with_size |=
                matches!(self.state, State::Data { .. } | State::Trailer { .. });
        }
    }

    /// Whether the first line is the size of a chunk.
    pub fn starts_with_size(&self) -> bool {
        self.starts_with_size
    }

    /// Whether the body is a message in chunks from its first byte to its last.
    pub fn is_complete(&self) -> bool {
        self.state == State::Complete
    }
}

impl State {
    /// The state after a byte that is not part of a chunk's data.
    fn next(self, byte: u8) -> Self {
        match (self, byte) {
            (Self::Size { size, n_digits }, _) if byte.is_ascii_hexdigit() => {
                let digit = char::from(byte).to_digit(16).unwrap_or_default() as usize;
                let size = size.checked_mul(16).and_then(|it| it.checked_add(digit));
                size.map_or(Self::Other, |size| Self::Size { size, n_digits: n_digits + 1 })
            }
            (Self::Size { n_digits: 0, .. }, _) => Self::Other,
            (Self::Size { size, .. }, b';') => Self::Extension { size },
            (Self::Size { size, .. } | Self::Extension { size }, b'\r') => Self::SizeEnd { size },
            (Self::Extension { size }, _) if byte != b'\n' => Self::Extension { size },
            (Self::SizeEnd { size: 0 }, b'\n') => Self::Trailer { is_empty: true },
            (Self::SizeEnd { size }, b'\n') => Self::Data { n_left: size },
            (Self::DataEnd, b'\r') => Self::DataEndFeed,
            (Self::DataEndFeed, b'\n') => Self::default(),
            (Self::Trailer { is_empty }, b'\r') => Self::TrailerEnd { is_empty },
            (Self::Trailer { .. }, _) if byte != b'\n' => Self::Trailer { is_empty: false },
            (Self::TrailerEnd { is_empty: true }, b'\n') => Self::Complete,
            (Self::TrailerEnd { is_empty: false }, b'\n') => Self::Trailer { is_empty: true },
            _ => Self::Other,
        }
    }
}
