//! HTTP client for the platform's services, with conditional requests (RFC 9110, section 13).
//!
//! | call | request | response |
//! |---|---|---|
//! | read | `GET /table/{table}/{key}` | 200 with `ETag`, 304, 404 |
//! | list | `GET /table/{table}?prefix=` | 200, `[{key, tag, value}]` |
//! | insert | `PUT /table/{table}/{key}`, `If-None-Match: *` | 201 with `ETag`, 412 |
//! | replace | the same, `If-Match: tag` | 200 with `ETag`, 412 |
//! | store | `PUT /objects/{key}`, `If-None-Match: *` | 201, 412 |
//! | fetch | `GET /objects/{key}` | 200, 404 |
//! | keys | `GET /objects?prefix=` | 200, `[key]` |
//! | VMs | `GET /vms` | 200 with `ETag`, `[vm]`; 304 |
//!
//! 429 and 503 mean that the call had no effect.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use bytes::Bytes;
use curranthook_http::{Exchange, client::Pool, exchange};
use http::{Method, StatusCode, header};
use parking_lot::Mutex;
use serde::Deserialize;

use crate::{BoxFuture, Error, Objects, Row, Table, Tag, Vm, Vms, Write};

/// The timeout of one call. A longer timeout would delay callers during an outage.
const CALL_TIMEOUT: Duration = Duration::from_secs(2);

/// A client for one of the platform's services.
#[derive(Debug, Clone)]
pub struct Client {
    addr: SocketAddr,
    pool: Arc<Pool>,
    timeout: Duration,
    /// The list of VMs as last read. Clones share it, and the lock is never held during a call.
    vms: Arc<Mutex<Option<CachedVms>>>,
}

/// A list of VMs with its entity tag.
#[derive(Debug, Clone)]
struct CachedVms {
    tag: Tag,
    vms: Vec<Vm>,
}

#[derive(Debug, Deserialize)]
struct RowEntry {
    key: String,
    tag: Tag,
    value: String,
}

impl Client {
    /// Creates a client for the service at `addr`.
    pub fn new(addr: SocketAddr, pool: Arc<Pool>) -> Self {
        Self { addr, pool, timeout: CALL_TIMEOUT, vms: Arc::default() }
    }

    /// Sets the timeout of one call, two seconds by default.
    pub fn with_timeout(self, timeout: Duration) -> Self {
        Self { timeout, ..self }
    }

    async fn send(
        &self,
        method: Method,
        path: String,
        condition: Option<(&'static str, &str)>,
        body: Bytes,
    ) -> Result<http::Response<Bytes>, Error> {
        let mut exchange =
            Exchange::new(self.addr, method, path).with_body(body).with_timeout(self.timeout);
        if let Some((name, value)) = condition {
            exchange = exchange.with_header(name, value);
        }
        let res = exchange.run(&self.pool).await.map_err(Error::from)?;
        match res.status() {
            StatusCode::TOO_MANY_REQUESTS | StatusCode::SERVICE_UNAVAILABLE => {
                Err(Error::Down(res.status().to_string()))
            }
            status if status.is_server_error() => Err(Error::Lost(status.to_string())),
            _ => Ok(res),
        }
    }

    async fn write(
        &self,
        path: String,
        condition: (&'static str, &str),
        value: Bytes,
    ) -> Result<Write, Error> {
        let res = self.send(Method::PUT, path, Some(condition), value).await?;
        match res.status() {
            StatusCode::OK | StatusCode::CREATED => Ok(Write::Done(parse_etag(&res)?)),
            StatusCode::PRECONDITION_FAILED => Ok(Write::Conflict),
            status => Err(Error::Malformed(status.to_string())),
        }
    }
}

impl From<exchange::Error> for Error {
    fn from(e: exchange::Error) -> Self {
        if e.is_unsent() { Self::Down(e.to_string()) } else { Self::Lost(e.to_string()) }
    }
}

fn parse_etag(res: &http::Response<Bytes>) -> Result<Tag, Error> {
    let etag = res.headers().get(header::ETAG).and_then(|it| it.to_str().ok());
    etag.map(|it| Tag(it.to_owned())).ok_or_else(|| Error::Malformed("no ETag".to_owned()))
}

fn parse_json<'a, T: Deserialize<'a>>(res: &'a http::Response<Bytes>) -> Result<T, Error> {
    serde_json::from_slice(res.body()).map_err(|e| Error::Malformed(e.to_string()))
}

impl Table for Client {
    fn get<'a>(&'a self, table: &'a str, key: &'a str) -> BoxFuture<'a, Option<Row>> {
        self.get_newer(table, key, None)
    }

    fn get_newer<'a>(
        &'a self,
        table: &'a str,
        key: &'a str,
        known: Option<&'a Tag>,
    ) -> BoxFuture<'a, Option<Row>> {
        Box::pin(async move {
            let condition = known.map(|tag| ("if-none-match", tag.0.as_str()));
            let path = format!("/table/{table}/{key}");
            let res = self.send(Method::GET, path, condition, Bytes::new()).await?;
            match res.status() {
                StatusCode::OK => {
                    let tag = parse_etag(&res)?;
                    Ok(Some(Row { key: key.to_owned(), tag, value: res.into_body() }))
                }
                StatusCode::NOT_MODIFIED | StatusCode::NOT_FOUND => Ok(None),
                status => Err(Error::Malformed(status.to_string())),
            }
        })
    }

    fn list<'a>(&'a self, table: &'a str, prefix: &'a str) -> BoxFuture<'a, Vec<Row>> {
        Box::pin(async move {
            let path = format!("/table/{table}?prefix={prefix}");
            let res = self.send(Method::GET, path, None, Bytes::new()).await?;
            let rows: Vec<RowEntry> = parse_json(&res)?;
            let to_row = |it: RowEntry| Row { key: it.key, tag: it.tag, value: it.value.into() };
            Ok(rows.into_iter().map(to_row).collect())
        })
    }

    fn insert<'a>(&'a self, table: &'a str, key: &'a str, value: Bytes) -> BoxFuture<'a, Write> {
        let path = format!("/table/{table}/{key}");
        Box::pin(self.write(path, ("if-none-match", "*"), value))
    }

    fn replace<'a>(
        &'a self,
        table: &'a str,
        key: &'a str,
        tag: &'a Tag,
        value: Bytes,
    ) -> BoxFuture<'a, Write> {
        let path = format!("/table/{table}/{key}");
        Box::pin(self.write(path, ("if-match", &tag.0), value))
    }
}

impl Objects for Client {
    fn put_if_absent<'a>(&'a self, key: &'a str, value: Bytes) -> BoxFuture<'a, Write> {
        Box::pin(self.write(format!("/objects/{key}"), ("if-none-match", "*"), value))
    }

    fn get<'a>(&'a self, key: &'a str) -> BoxFuture<'a, Option<Bytes>> {
        Box::pin(async move {
            let path = format!("/objects/{key}");
            let res = self.send(Method::GET, path, None, Bytes::new()).await?;
            match res.status() {
                StatusCode::OK => Ok(Some(res.into_body())),
                StatusCode::NOT_FOUND => Ok(None),
                status => Err(Error::Malformed(status.to_string())),
            }
        })
    }

    fn list<'a>(&'a self, prefix: &'a str) -> BoxFuture<'a, Vec<String>> {
        Box::pin(async move {
            let path = format!("/objects?prefix={prefix}");
            parse_json(&self.send(Method::GET, path, None, Bytes::new()).await?)
        })
    }
}

impl Vms for Client {
    fn all(&self) -> BoxFuture<'_, Vec<Vm>> {
        Box::pin(async move {
            let cached = self.vms.lock().clone();
            let condition = cached.as_ref().map(|it| ("if-none-match", it.tag.0.as_str()));
            let res = self.send(Method::GET, "/vms".to_owned(), condition, Bytes::new()).await?;
            if let (StatusCode::NOT_MODIFIED, Some(cached)) = (res.status(), cached) {
                return Ok(cached.vms);
            }
            let vms: Vec<Vm> = parse_json(&res)?;
            // Without a tag, the next call can't be conditional and reads the whole list again.
            *self.vms.lock() = parse_etag(&res).ok().map(|tag| CachedVms { tag, vms: vms.clone() });
            Ok(vms)
        })
    }
}
