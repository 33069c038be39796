//! A TCP proxy that injects network faults.
//!
//! Each link listens on its own address and forwards bytes to its target.
//!
//! | request | meaning |
//! |---|---|
//! | `POST /links` | opens a link: takes [`NewLink`], returns `{"listen": address}` |
//! | `PUT /links/{name}` | replaces the [`link::Fault`]; omitted fields are reset, except the target |
//! | `GET /links` | returns [`link::Status`] by name |

pub mod link;
mod relay;

use std::{collections::BTreeMap, net::SocketAddr, sync::Arc};

use curranthook_http::{Body, body, runtime};
use futures_lite::future::Boxed;
use parking_lot::Mutex;
use serde::{Deserialize, Serialize};

use crate::app::{self, App, Reply, Request};

use self::link::Link;

/// A request to open a link.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct NewLink {
    /// The link's name, unique within the proxy.
    pub name: String,
    /// The address that the link forwards to.
    pub target: SocketAddr,
}

/// A proxy with any number of links.
#[derive(Debug)]
pub struct Proxy {
    runtime: runtime::Handle,
    links: Mutex<BTreeMap<String, Arc<Link>>>,
}

impl Proxy {
    /// Creates a proxy without links.
    pub fn new(runtime: runtime::Handle) -> Self {
        Self { runtime, links: Mutex::default() }
    }

    fn open_link(&self, req: &Request) -> http::Response<Body> {
        let new_link: NewLink = match req.json() {
            Ok(new_link) => new_link,
            Err(e) => return e.response(),
        };
        let mut links = self.links.lock();
        if links.contains_key(&new_link.name) {
            return app::error(409, "there is a link of that name");
        }
        match Link::open(new_link.target, &self.runtime) {
            Ok(link) => {
                let listen = link.addr();
                links.insert(new_link.name, link);
                body::json(201, &serde_json::json!({ "listen": listen }))
            }
            Err(e) => app::error(500, &e.to_string()),
        }
    }

    async fn set_fault(&self, name: &str, req: &Request) -> http::Response<Body> {
        let Some(link) = self.links.lock().get(name).cloned() else {
            return app::error(404, "no link of that name");
        };
        match req.json() {
            Ok(fault) => {
                link.set(fault).await;
                body::json(200, &link.status())
            }
            Err(e) => e.response(),
        }
    }

    fn status(&self) -> BTreeMap<String, link::Status> {
        self.links.lock().iter().map(|(name, link)| (name.clone(), link.status())).collect()
    }
}

impl App for Proxy {
    fn handle(self: Arc<Self>, req: Request) -> Boxed<Reply> {
        Box::pin(async move {
            let res = match (req.method.as_str(), req.path.strip_prefix("/links/")) {
                ("POST", None) if req.path == "/links" => self.open_link(&req),
                ("GET", None) if req.path == "/links" => body::json(200, &self.status()),
                ("PUT", Some(name)) => self.set_fault(name, &req).await,
                _ => app::error(404, "no such path"),
            };
            Ok(res)
        })
    }
}
