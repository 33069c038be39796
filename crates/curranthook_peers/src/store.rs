//! Bill lines in the object store.

use curranthook_platform::{Error, Objects, Write};
use curranthook_types::bill::{Line, Origin, Segment};

/// Stores lines that follow one another from sequence number `first` on.
///
/// Owner and replicas may store the same lines, and not cut them alike: a replica may have got
/// fewer. Whoever comes second finds the key taken. Were that taken for success, the lines
/// beyond the shorter object would be lost; so the object is read, and what it lacks goes under
/// the key of the first missing line.
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
                let n_stored = stored(objects, &segment).await?;
                segment.lines.drain(..n_stored.min(segment.lines.len()));
                segment.first += n_stored as u64;
            }
        }
    }
    Ok(())
}

async fn stored(objects: &dyn Objects, segment: &Segment) -> Result<usize, Error> {
    let key = segment.key();
    let garbled = |why: &str| Error::Malformed(format!("{key}: {why}"));
    let bytes = objects.get(&key).await?.ok_or_else(|| garbled("taken, and not there"))?;
    let stored: Segment = serde_json::from_slice(&bytes).map_err(|e| garbled(&e.to_string()))?;
    if stored.lines.is_empty() {
        return Err(garbled("no lines"));
    }
    Ok(stored.lines.len())
}

/// Splits lines by sequence number into runs without a gap, each of at most `max` lines.
pub fn runs(lines: impl Iterator<Item = (u64, Line)>, max: usize) -> Vec<(u64, Vec<Line>)> {
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
