//! Parsed events don't depend on chunk boundaries.

use curranthook_load::sse::Reader;
use proptest::prelude::*;
use yare::parameterized;

fn parse_chunks(chunks: &[&[u8]]) -> Vec<String> {
    let mut reader = Reader::default();
    chunks.iter().flat_map(|it| reader.push(it)).collect()
}

#[parameterized(
    one_event = { "data: a\n\n", &["a"] },
    carriage_returns = { "data: a\r\n\r\ndata: b\r\n\r\n", &["a", "b"] },
    no_space = { "data:a\n\n", &["a"] },
    two_lines = { "data: a\ndata: b\n\n", &["a\nb"] },
    other_fields = { "event: x\nid: 4\ndata: a\n: comment\n\n", &["a"] },
    empty_data = { "data:\n\n", &[""] },
    unfinished = { "data: a\n\ndata: b\n", &["a"] },
    only_comment = { ": ping\n\n", &[] },
)]
fn parses_events(text: &str, events: &[&str]) {
    assert_eq!(parse_chunks(&[text.as_bytes()]), events);
}

proptest! {
    #[test]
    fn chunk_boundaries_do_not_matter(texts in prop::collection::vec("[a-z äö€𝄞]{0,12}", 1..6), chunk_size in 1_usize..9) {
        let stream: String = texts.iter().map(|it| format!("data: {it}\n\n")).collect();
        let chunks: Vec<&[u8]> = stream.as_bytes().chunks(chunk_size).collect();
        prop_assert_eq!(parse_chunks(&chunks), texts);
    }
}
