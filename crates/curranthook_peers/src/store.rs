//! Writing bill lines to the object store.

use curranthook_platform::{Error, Objects, Write};
use curranthook_types::bill::{Line, Origin, Segment};

/// Stores consecutive lines that start at sequence number `first`.
///
/// The owner and its replicas may store the same lines in different segments, since a replica may
/// have received fewer. Whoever writes second finds the key taken. If that counted as success,
/// lines beyond a shorter object would be lost, so the object is read and the lines that it lacks
/// are stored under the key of the first missing line.
pub async fn put(
    objects: &dyn Objects,
    origin: &Origin,
    first: u64,
    lines: Vec<Line>,
) -> Result<(), Error> {
    let mut segment = Segment { origin: origin.clone(), first, lines };
    while !segment.lines.is_empty() {
        let json = serde_json::to_vec(&segment).expect("a segment can be written as JSON");
        match objects.put_if_absent(&segment.key(), json.into()).await? {
            Write::Done(_) => return Ok(()),
            Write::Conflict => {
                let n_stored = count_stored(objects, &segment).await?;
                segment.lines.drain(..n_stored.min(segment.lines.len()));
                segment.first += n_stored as u64;
            }
        }
    }
    Ok(())
}

async fn count_stored(objects: &dyn Objects, segment: &Segment) -> Result<usize, Error> {
    let key = segment.key();
    let invalid = |reason: &str| Error::Malformed(format!("{key}: {reason}"));
    let bytes = objects
        .get(&key)
        .await?
        .ok_or_else(|| invalid("the key exists, but the object is missing"))?;
    let stored: Segment = serde_json::from_slice(&bytes).map_err(|e| invalid(&e.to_string()))?;
    if stored.lines.is_empty() {
        return Err(invalid("the segment has no lines"));
    }
    Ok(stored.lines.len())
}

/// Splits lines by sequence number into runs without gaps, each of at most `max` lines.
pub fn contiguous_runs(
    lines: impl Iterator<Item = (u64, Line)>,
    max: usize,
) -> Vec<(u64, Vec<Line>)> {
    let mut runs: Vec<(u64, Vec<Line>)> = Vec::new();
    for (sequence, line) in lines {
        match runs.last_mut() {
            Some((first, run)) if *first + run.len() as u64 == sequence && run.len() < max => {
                run.push(line);
            }
            _ => runs.push((sequence, vec![line])),
        }
    }
    runs
}
