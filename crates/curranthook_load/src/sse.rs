//! Parser for server-sent events in a stream of chunks.

/// Buffers chunks and returns the data of complete events.
///
/// A chunk may end anywhere, even within a UTF-8 character, so bytes are buffered until their line
/// is complete.
///
/// ```
/// let mut reader = curranthook_load::sse::Reader::default();
/// assert!(reader.push(b"data: a\n").is_empty());
/// assert_eq!(reader.push(b"\ndata: b\n\n"), ["a", "b"]);
/// ```
#[derive(Debug, Default)]
pub struct Reader {
    line: Vec<u8>,
    data: String,
    has_data: bool,
}

impl Reader {
    /// Adds a chunk and returns the data of the events that it completes.
    pub fn push(&mut self, chunk: &[u8]) -> Vec<String> {
        let mut events = Vec::new();
        for &byte in chunk {
            if byte != b'\n' {
                self.line.push(byte);
                continue;
            }
            let line = std::mem::take(&mut self.line);
            events.extend(self.end_line(line.strip_suffix(b"\r").unwrap_or(&line)));
        }
        events
    }

    fn end_line(&mut self, line: &[u8]) -> Option<String> {
        if line.is_empty() {
            let is_complete = std::mem::take(&mut self.has_data);
            let data = std::mem::take(&mut self.data);
            return is_complete.then_some(data);
        }
        let value = line.strip_prefix(b"data:")?;
        let value = value.strip_prefix(b" ").unwrap_or(value);
        if self.has_data {
            self.data.push('\n');
        }
        self.data.push_str(&String::from_utf8_lossy(value));
        self.has_data = true;
        None
    }
}
