//! The compact form in which nodes send each other rows.
//!
//! A body consists of a version byte, a [`Header`], and [`Section`]s of rows. Rows in a later section
//! replace those in an earlier one. A section does not depend on its receiver, so that a relay
//! encodes it once and sends it to all its children, which may pass it on unchanged.
//!
//! The version changes if older builds could not read a body. Builds that do not know the form at
//! all exchange JSON.

use std::{
    io::{self, Read, Write},
    time::Duration,
};

use bytes::{Buf, BufMut, Bytes, BytesMut};
use flate2::{Compression, read::DeflateDecoder, write::DeflateEncoder};
use serde::{Deserialize, Serialize};
use serde_with::{DurationMilliSeconds, serde_as};

use crate::store::{Rev, Row};

/// The version of the form that this build writes, and the highest one that it reads.
pub const VERSION: u8 = 1;
/// The content type of a body in this form.
pub const CONTENT_TYPE: &str = "application/vnd.curranthook.rows";

/// Sections of fewer bytes are not compressed, as they would hardly become smaller.
const MIN_COMPRESSED_BYTES: usize = 256;
/// The maximum size of a section's rows, in bytes: several times the rows of the largest fleet.
const MAX_SECTION_BYTES: u64 = 64 * 1024 * 1024;
/// A section begins with its encoding, its revision and its length.
const SECTION_PREFIX_BYTES: usize = 13;

/// Why a body could not be decoded.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The body ends within a header or a section.
    #[error("the body is truncated")]
    Truncated,
    /// The body is in a form that this build does not know.
    #[error("unknown version {0}")]
    Version(u8),
    /// A section is in a form that this build does not know.
    #[error("unknown encoding {0} of a section")]
    Encoding(u8),
    /// A section cannot be decompressed.
    #[error("malformed section: {0}")]
    Compression(#[from] io::Error),
    /// A section is too large.
    #[error("a section has more than {MAX_SECTION_BYTES} bytes")]
    TooLarge,
    /// The header or the rows are malformed.
    #[error("malformed rows: {0}")]
    Rows(#[from] postcard::Error),
    /// A row changed after the revision up to which the body is complete.
    #[error("row {key} is of revision {row:?}, after {complete:?}")]
    FutureRow {
        /// The row's key.
        key: String,
        /// The row's revision.
        row: Rev,
        /// The revision up to which the body is complete.
        complete: Rev,
    },
}

/// What a body says about its rows.
#[serde_as]
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Header {
    /// The revision up to which the rows are complete.
    pub rev: Rev,
    /// The time since the store's last answer that reached the sender; none before the first.
    #[serde_as(as = "Option<DurationMilliSeconds<u64>>")]
    pub age: Option<Duration>,
    /// The store's clock, if the sender knows it.
    #[serde_as(as = "Option<DurationMilliSeconds<u64>>")]
    pub now: Option<Duration>,
}

/// Encoded rows.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Section {
    /// The revision that the rows correspond to.
    pub rev: Rev,
    /// The section as part of a body.
    pub bytes: Bytes,
}

/// How the rows of a section are encoded.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Encoding {
    Plain = 0,
    Deflate = 1,
}

#[serde_as]
#[derive(Debug, Serialize, Deserialize)]
struct WireRow<'a> {
    key: &'a str,
    rev: Rev,
    #[serde_as(as = "Option<serde_with::Bytes>")]
    #[serde(borrow)]
    value: Option<&'a [u8]>,
}

impl<'a> From<&'a Row> for WireRow<'a> {
    fn from(row: &'a Row) -> Self {
        Self { key: &row.key, rev: row.rev, value: row.value.as_deref() }
    }
}

impl Header {
    /// The beginning of a body, which its sections follow.
    pub fn encode(&self) -> Bytes {
        let header = postcard::to_stdvec(self).expect("a header can be encoded");
        let mut body = BytesMut::with_capacity(1 + header.len());
        body.put_u8(VERSION);
        body.put_slice(&header);
        body.freeze()
    }
}

impl Section {
    /// Encodes rows that correspond to revision `rev`.
    ///
    /// ```
    /// # use std::time::Duration;
    /// # use curranthook_gateway::replication::codec::{self, Header, Section};
    /// # use curranthook_gateway::store::{Rev, Row};
    /// let row = Row { key: "engine-1".into(), rev: Rev(7), value: Some("ready".into()) };
    /// let section = Section::new(std::slice::from_ref(&row), Rev(9));
    /// let header = Header { rev: Rev(9), age: Some(Duration::from_millis(40)), now: None };
    /// let body = [header.encode(), section.bytes].concat();
    /// assert_eq!(codec::decode(&body).unwrap(), (header, vec![row]));
    /// ```
    pub fn new(rows: &[Row], rev: Rev) -> Self {
        let rows: Vec<_> = rows.iter().map(WireRow::from).collect();
        let plain = postcard::to_stdvec(&rows);
        let plain = plain.expect("rows can be encoded");
        let (encoding, encoded) = match MIN_COMPRESSED_BYTES <= plain.len() {
            true => (Encoding::Deflate, deflate(&plain)),
            false => (Encoding::Plain, plain),
        };
        let mut bytes = BytesMut::with_capacity(SECTION_PREFIX_BYTES + encoded.len());
        bytes.put_u8(encoding as u8);
        bytes.put_u64(rev.0);
        bytes.put_u32(u32::try_from(encoded.len()).expect("a section is bounded by the store"));
        bytes.put_slice(&encoded);
        Self { rev, bytes: bytes.freeze() }
    }

    /// The first section of a body.
    pub fn first(body: &Bytes) -> Result<Self, Error> {
        let (_, sections) = split_header(body)?;
        let (parts, _) = Parts::split(sections)?;
        let len = SECTION_PREFIX_BYTES + parts.encoded.len();
        Ok(Self { rev: parts.rev, bytes: body.slice_ref(&sections[..len]) })
    }
}

fn deflate(bytes: &[u8]) -> Vec<u8> {
    let mut encoder = DeflateEncoder::new(Vec::new(), Compression::fast());
    encoder.write_all(bytes).expect("memory can be written to");
    encoder.finish().expect("memory can be written to")
}

/// Decodes a body: its header and the rows of all sections.
pub fn decode(body: &[u8]) -> Result<(Header, Vec<Row>), Error> {
    let (header, mut rest) = split_header(body)?;
    let mut rows = Vec::new();
    while !rest.is_empty() {
        let (section, after) = Parts::split(rest)?;
        section.decode(&header, &mut rows)?;
        rest = after;
    }
    Ok((header, rows))
}

fn split_header(body: &[u8]) -> Result<(Header, &[u8]), Error> {
    let (version, body) = body.split_first().ok_or(Error::Truncated)?;
    if *version != VERSION {
        return Err(Error::Version(*version));
    }
    Ok(postcard::take_from_bytes(body)?)
}

/// The parts of a section in a body.
struct Parts<'a> {
    encoding: u8,
    rev: Rev,
    encoded: &'a [u8],
}

impl<'a> Parts<'a> {
    /// Splits the first section off `bytes`. Returns the rest, too.
    fn split(mut bytes: &'a [u8]) -> Result<(Self, &'a [u8]), Error> {
        if bytes.len() < SECTION_PREFIX_BYTES {
            return Err(Error::Truncated);
        }
        let (encoding, rev, len) = (bytes.get_u8(), Rev(bytes.get_u64()), bytes.get_u32());
        let (encoded, rest) = bytes.split_at_checked(len as usize).ok_or(Error::Truncated)?;
        Ok((Self { encoding, rev, encoded }, rest))
    }

    fn decode(&self, header: &Header, rows: &mut Vec<Row>) -> Result<(), Error> {
        let inflated;
        let plain = match self.encoding {
            it if it == Encoding::Plain as u8 => self.encoded,
            it if it == Encoding::Deflate as u8 => {
                inflated = inflate(self.encoded)?;
                &inflated
            }
            other => return Err(Error::Encoding(other)),
        };
        let decoded: Vec<WireRow<'_>> = postcard::from_bytes(plain)?;
        for it in decoded {
            if header.rev < it.rev {
                let (key, row, complete) = (it.key.to_owned(), it.rev, header.rev);
                return Err(Error::FutureRow { key, row, complete });
            }
            let value = it.value.map(Bytes::copy_from_slice);
            rows.push(Row { key: it.key.into(), rev: it.rev, value });
        }
        Ok(())
    }
}

fn inflate(bytes: &[u8]) -> Result<Vec<u8>, Error> {
    let mut plain = Vec::new();
    DeflateDecoder::new(bytes).take(MAX_SECTION_BYTES + 1).read_to_end(&mut plain)?;
    match plain.len() as u64 <= MAX_SECTION_BYTES {
        true => Ok(plain),
        false => Err(Error::TooLarge),
    }
}
