//! A small deployment on loopback addresses: a store, a node and workers, and the record of a run.

use std::{
    fs::File,
    io::Write,
    net::{SocketAddr, TcpListener, TcpStream},
    path::{Path, PathBuf},
    process::{Child, Command, Stdio},
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use crate::{http, store::Store};

pub const KEY: &str = "key-of-hule930";
/// The models that the workers of `tally-llm` serve.
pub const MODELS: [&str; 3] = ["m0", "m1", "m2"];
/// The body of a worker's own failure.
pub const FAILURE: &[u8] = b"{\"error\":\"the engine failed\"}";
pub const HOST: &str = "ficu95.example";

/// What was sent, answered and run.
#[derive(Clone)]
pub struct Record {
    file: Arc<Mutex<File>>,
    pub began: Instant,
}

impl Record {
    /// Begins the record in the file at `path`.
    pub fn new(path: &Path) -> Self {
        let file = File::create(path).unwrap();
        Self { file: Arc::new(Mutex::new(file)), began: Instant::now() }
    }

    pub fn ms(&self) -> u64 {
        self.began.elapsed().as_millis() as u64
    }

    pub fn line(&self, text: &str) {
        let line = format!("{:>7} ms  {text}\n", self.ms());
        self.file.lock().unwrap().write_all(line.as_bytes()).unwrap();
    }

    /// A line that also goes to the standard output.
    pub fn say(&self, text: &str) {
        println!("{text}");
        self.line(text);
    }
}

/// Whether the disruption is to be caused.
pub fn has_trouble() -> bool {
    std::env::var("TROUBLE").map_or(true, |it| it != "0")
}

/// The configuration: a route for posts and one for look-ups, as on the deployment's sheet.
pub fn config(version: u64) -> String {
    // As `herd-summary`, `weight-post` and `crate-lookup`.
    let aim = |kind: &str| if kind == "stream" { 2000 } else { 300 };
    let route =
        |prefix: &str, kind: &str, timeout: u32, attempts: u32, service: &str, more: &str| {
            format!(
                "{{\"name\":\"r-{prefix}\",\"host\":\"{HOST}\",\"prefix\":\"/{prefix}/\",\
             \"routeType\":\"{kind}\",\"timeoutMs\":{timeout},\"targetLatencyMs\":{},\
             \"priority\":2,\"service\":\"{service}\",\"maxAttempts\":{attempts},\
             \"public\":false{more}}}",
                aim(kind)
            )
        };
    let stream = ",\"sizes\":[\"m0\",\"m1\",\"m2\"],\"sessionAffinity\":true,\"resumable\":true,\
                  \"targetGapMs\":600";
    let routes = [
        route("post", "non_idempotent", 2000, 1, "crate-ledger", ""),
        route("look", "idempotent", 2000, 2, "crate-ledger", ""),
        route("stream", "stream", 15000, 3, "tally-llm", stream),
    ];
    format!(
        "{{\"version\":{version},\"routes\":[{}],\"services\":[\
         {{\"name\":\"crate-ledger\",\"healthPath\":\"/health\",\"maxConns\":96,\
         \"protocol\":\"h1\",\"tls\":false}},\
         {{\"name\":\"tally-llm\",\"healthPath\":\"/health\",\"maxConns\":360,\
         \"protocol\":\"h1\",\"tls\":false,\"engine\":{{\"concurrency\":64,\"kvCapacity\":625197,\
         \"kvBytes\":327680,\"bandwidthMbps\":1100000.0,\"stride\":4,\"models\":[\
         {{\"name\":\"m0\",\"cost\":0.0088}},{{\"name\":\"m1\",\"cost\":0.066}},\
         {{\"name\":\"m2\",\"cost\":0.13}}]}}}}],\
         \"limits\":{{\"maxHeaderBytes\":16384,\"maxBodyBytes\":4194304,\
         \"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000}},\
         \"tenants\":[{{\"name\":\"hule930\",\"apiKeys\":[\"{KEY}\"],\"priority\":1}}]}}",
        routes.join(",")
    )
}

/// A request for a stream of the session `session`, for any model or the named one.
pub fn stream_request(session: u32, model: &str, deadline_ms: u64) -> (String, Vec<u8>) {
    let id = format!("{:016x}", NEXT_ID.fetch_add(1, Ordering::Relaxed));
    let authorization = format!("Bearer {KEY}");
    let (deadline, prefix) = (deadline_ms.to_string(), format!("5c1e07a2:800,{session:08x}:410"));
    let headers = [
        ("Host", HOST),
        ("Curranthook-Attempt-Id", id.as_str()),
        ("Curranthook-Request-Deadline", deadline.as_str()),
        ("Curranthook-Model", model),
        ("Curranthook-Token-Counts", "1210,80"),
        ("Curranthook-Prompt-Prefix", prefix.as_str()),
        ("Authorization", authorization.as_str()),
    ];
    let message = http::message("POST", "/stream/2f", &headers, b"prompt");
    (id, message)
}

static NEXT_ID: AtomicU64 = AtomicU64::new(1);

/// A request with an id of its own, and that id.
pub fn request(method: &str, path: &str, deadline_ms: u64, body: &[u8]) -> (String, Vec<u8>) {
    let id = format!("{:016x}", NEXT_ID.fetch_add(1, Ordering::Relaxed));
    let authorization = format!("Bearer {KEY}");
    let deadline = deadline_ms.to_string();
    let headers = [
        ("Host", HOST),
        ("Curranthook-Attempt-Id", id.as_str()),
        ("Curranthook-Request-Deadline", deadline.as_str()),
        ("Authorization", authorization.as_str()),
    ];
    let message = http::message(method, path, &headers, body);
    (id, message)
}

/// An address of this machine that nobody listens at now.
pub fn free_addr() -> SocketAddr {
    TcpListener::bind("127.0.0.1:0").unwrap().local_addr().unwrap()
}

/// The command of the deploy file for the role that carries traffic.
fn deploy_command() -> Vec<String> {
    let text = std::fs::read_to_string("deploy/system.toml").expect("deploy/system.toml");
    let line = text.lines().find(|it| it.trim_start().starts_with("run")).expect("a command");
    let command = line.split('"').nth(1).expect("a quoted command");
    command.split(' ').map(str::to_owned).collect()
}

/// A node of the project, as a process.
pub struct Node {
    pub child: Child,
    pub callers: SocketAddr,
    pub ready: SocketAddr,
    folder: PathBuf,
}

fn spawn(command: &[String], folder: &Path) -> Child {
    let log = File::options().create(true).append(true).open(folder.join("log.txt")).unwrap();
    Command::new(&command[0])
        .args(&command[1..])
        .env("CURRANTHOOK_SETTINGS", folder.join("node.conf"))
        .stdin(Stdio::null())
        .stdout(Stdio::from(log.try_clone().unwrap()))
        .stderr(Stdio::from(log))
        .spawn()
        .expect("the node starts")
}

/// The settings of a node, like those of the deployment mst-crate.
fn settings(name: &str, store: SocketAddr, memory_mb: u32) -> (String, SocketAddr, SocketAddr) {
    let (callers, ready, control, internal) = (free_addr(), free_addr(), free_addr(), free_addr());
    let text = format!(
        "nodeName={name}\nrole=gateway\ninstanceClass=edge\nserves=edge,control\nip=127.0.0.1\n\
         zone=vn-south-a\nregion=vn-south\nzones.vn-south-a=vn-south\nlisten.frontend={callers}\n\
         listen.ready={ready}\nlisten.control={control}\ninternalPorts={0},{0}\n\
         seedNodes={control}\nbootstrap=true\ncountsAsLoss=false\nlimits.cpuShare=0.25\n\
         limits.cpuCores=1\nlimits.memoryMb={memory_mb}\nlimits.maxFds=4100\n\
         limits.bandwidthMbps=1000.0\nlimits.diskMb=0\ndiscovery=platform\nentryMode=vip\n\
         heartbeatMs=1200\n\
         invariants=base,drain,config,cost,retry,recover,engine,stream,tenants,platform,rollout\n\
         bounds.seedLagS=3\nbounds.reuseDelayS=2\nbounds.contactMs=3000\nbounds.ackMs=4000\n\
         bounds.syncS=4\nbounds.drainMs=2000\nbounds.graceS=8\nbounds.lossSlackMs=200\n\
         bounds.configApplyMs=2000\nbounds.rollbackSlackMs=250\nbounds.maxSkewMs=5000\n\
         bounds.failClosed=false\nbounds.revokeMs=5000\nbounds.retryBudgetRatio=0.9\n\
         bounds.budgetWindowS=10\nbounds.retrySlack=52\nbounds.exposeShare=0.15\n\
         bounds.exposureSlack=30\nbounds.rollbackMs=5000\nbounds.recoveryS=12\n\
         bounds.eventDelayMs=120\nbounds.retryAfterS=10\nbounds.sessionS=5\n\
         platform.address={store}\nplatform.form=table\nplatform.writesPerS=400\n\
         platform.readsPerS=2000\nplatform.txMs=4.0\nplatform.partWritesPerS=250\n\
         platform.rowBytes=65536\nplatform.across=true\nplatform.retentionS=20\n",
        internal.port()
    );
    (text, callers, ready)
}

impl Node {
    /// Starts a node with the command of the deploy file, but for the port of its metrics.
    pub fn start(name: &str, store: &Store, memory_mb: u32) -> Self {
        let folder = std::env::temp_dir().join(format!("review-{}-{name}", std::process::id()));
        std::fs::create_dir_all(&folder).unwrap();
        let (text, callers, ready) = settings(name, store.addr, memory_mb);
        let path = folder.join("node.conf");
        std::fs::write(&path, text).unwrap();
        let mut command = deploy_command();
        if let Some(at) = command.iter().position(|it| it == "--metrics-port") {
            command[at + 1] = free_addr().port().to_string();
        }
        let child = spawn(&command, &folder);
        Self { child, callers, ready, folder }
    }

    pub fn is_ready(&self) -> bool {
        let message = http::message("GET", "/v1/readiness", &[("Host", "x")], b"");
        http::call(self.ready, &message, Duration::from_secs(1)).status() == 200
    }

    /// Waits until the node says that it's ready. Returns whether it did in time.
    pub fn wait_until_ready(&self, limit: Duration) -> bool {
        let began = Instant::now();
        while began.elapsed() < limit {
            if self.is_ready() {
                return true;
            }
            thread::sleep(Duration::from_millis(50));
        }
        false
    }

    pub fn signal(&self, name: &str) {
        let pid = self.child.id().to_string();
        let _ = Command::new("kill").args([&format!("-{name}"), &pid]).status();
    }

    pub fn log(&self) -> String {
        std::fs::read_to_string(self.folder.join("log.txt")).unwrap_or_default()
    }

    pub fn exit_code(&mut self) -> Option<String> {
        self.child.try_wait().ok().flatten().map(|it| it.to_string())
    }
}

impl Drop for Node {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

/// What happened at a worker.
#[derive(Debug, Clone)]
pub struct Arrival {
    pub at: Instant,
    pub id: String,
    /// What the client calls the work: the first bytes of the body.
    pub subject: String,
    pub ended: Option<Instant>,
}

/// A worker of a plain service: it works for some time on each request and echoes its id.
#[derive(Clone)]
pub struct Worker {
    pub id: String,
    pub addr: SocketAddr,
    service: String,
    pub arrivals: Arc<Mutex<Vec<Arrival>>>,
    is_gone: Arc<AtomicBool>,
    /// The part in 100 of its plain requests that the worker fails after it has run them, and the
    /// number of those that ended.
    pub fails: Arc<AtomicU64>,
    n_ended: Arc<AtomicU64>,
    /// What the worker does with some of the requests for streams.
    pub special: Arc<Mutex<Special>>,
    connections: Arc<Mutex<Vec<TcpStream>>>,
}

impl Worker {
    /// Starts a worker that works for `work` on each request and answers with `n_answer` bytes.
    pub fn start(
        id: &str,
        service: &str,
        work: Duration,
        n_answer: usize,
        record: &Record,
    ) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let worker = Self {
            id: id.to_owned(),
            addr: listener.local_addr().unwrap(),
            service: service.to_owned(),
            arrivals: Arc::default(),
            is_gone: Arc::default(),
            fails: Arc::default(),
            n_ended: Arc::default(),
            special: Arc::default(),
            connections: Arc::default(),
        };
        let (server, record) = (worker.clone(), record.clone());
        thread::spawn(move || {
            for stream in listener.incoming() {
                let Ok(stream) = stream else { continue };
                if server.is_gone.load(Ordering::SeqCst) {
                    return;
                }
                let (server, record) = (server.clone(), record.clone());
                thread::spawn(move || server.serve(stream, work, n_answer, &record));
            }
        });
        worker
    }

    /// The worker's entry in the store.
    pub fn entry(&self, state: &str) -> String {
        let slots = if self.service == "tally-llm" { 64 } else { 6 };
        format!(
            "{{\"service\":\"{}\",\"address\":\"{}\",\"zone\":\"vn-south-a\",\"version\":\"v1\",\
             \"concurrency\":{slots},\"state\":\"{state}\",\"coldLeftMs\":0,\"seq\":1,\"born\":1000}}",
            self.service, self.addr
        )
    }

    /// The process ends: its port closes, and so do its connections.
    pub fn exit(&self) {
        self.is_gone.store(true, Ordering::SeqCst);
        // Lets the thread that accepts connections notice.
        let _ = TcpStream::connect(self.addr);
        for it in self.connections.lock().unwrap().drain(..) {
            let _ = it.shutdown(std::net::Shutdown::Both);
        }
    }

    fn serve(&self, mut stream: TcpStream, work: Duration, n_answer: usize, record: &Record) {
        let _ = stream.set_nodelay(true);
        let (Ok(read), Ok(kept)) = (stream.try_clone(), stream.try_clone()) else { return };
        self.connections.lock().unwrap().push(kept);
        let mut reader = std::io::BufReader::new(read);
        while let Ok(request) = http::read_request(&mut reader) {
            if self.is_gone.load(Ordering::SeqCst) {
                return;
            }
            let id = request.header("curranthook-attempt-id").to_owned();
            let target = request.header("curranthook-target-instance");
            if !target.is_empty() && target != self.id {
                record.line(&format!("worker {}: rejects {id} with 421", self.id));
                let extra = format!("Curranthook-Instance-Id: {}\r\n", self.id);
                if !http::respond(&mut stream, 421, &extra, b"") {
                    return;
                }
                continue;
            }
            let model = request.header("curranthook-model");
            if self.service == "tally-llm" && !MODELS.contains(&model) {
                record.line(&format!("worker {}: rejects {id} with 421: model {model}", self.id));
                let extra = format!(
                    "Curranthook-Attempt-Id: {id}\r\nCurranthook-Not-Executed: 1\r\n\
                     Curranthook-Instance-Id: {}\r\n",
                    self.id
                );
                if !http::respond(&mut stream, 421, &extra, b"") {
                    return;
                }
                continue;
            }
            record.line(&format!("worker {}: begins to run {id}", self.id));
            let index = {
                let mut arrivals = self.arrivals.lock().unwrap();
                arrivals.push(Arrival {
                    at: Instant::now(),
                    id: id.clone(),
                    subject: String::from_utf8_lossy(&request.body[..request.body.len().min(16)])
                        .into_owned(),
                    ended: None,
                });
                arrivals.len() - 1
            };
            if self.service == "tally-llm" {
                if !self.stream(&request, &id, &mut stream, record) {
                    return;
                }
                continue;
            }
            thread::sleep(work);
            if self.is_gone.load(Ordering::SeqCst) {
                record.line(&format!("worker {}: exits while it runs {id}", self.id));
                return;
            }
            let extra = format!(
                "Curranthook-Attempt-Id: {id}\r\nCurranthook-Response-Seal: s.{}\r\n\
                 Curranthook-Server-Load: 1,0,6\r\n",
                self.id
            );
            if self.fails_now() {
                record.line(&format!("worker {}: has run {id}, and answers it with 503", self.id));
                self.arrivals.lock().unwrap()[index].ended = Some(Instant::now());
                if !http::respond(&mut stream, 503, &extra, FAILURE) {
                    return;
                }
                continue;
            }
            let is_sent = http::respond(&mut stream, 200, &extra, &vec![b'x'; n_answer]);
            self.arrivals.lock().unwrap()[index].ended = Some(Instant::now());
            record.line(&format!("worker {}: has run {id} and answered it", self.id));
            if !is_sent {
                return;
            }
        }
    }

    /// Whether the request that ends now is one of those that the worker fails, evenly spread.
    fn fails_now(&self) -> bool {
        let (n, part) =
            (self.n_ended.fetch_add(1, Ordering::SeqCst), self.fails.load(Ordering::SeqCst));
        n * part / 100 < (n + 1) * part / 100
    }

    /// Sends 20 events, 20 ms apart, or what the worker does with the requests that it treats
    /// differently. Returns whether the connection is kept.
    fn stream(
        &self,
        request: &http::Request,
        id: &str,
        stream: &mut TcpStream,
        record: &Record,
    ) -> bool {
        let special = Some(*self.special.lock().unwrap()).filter(|_| is_special(request));
        let head = format!(
            "HTTP/1.1 200 x\r\nCurranthook-Attempt-Id: {id}\r\nCurranthook-Response-Seal: s.{}\r\n\
             Curranthook-Confidence: 90\r\nContent-Type: text/event-stream\r\n\
             Transfer-Encoding: chunked\r\n\r\n",
            self.id
        );
        let last: u64 = request.header("last-event-id").parse().unwrap_or(0);
        let mut is_sent = stream.write_all(head.as_bytes()).is_ok();
        for event in last + 1..=20 {
            thread::sleep(Duration::from_millis(20));
            let text = format!("id: {event}\ndata: e{event}\n\n");
            let chunk = format!("{:x}\r\n{text}\r\n", text.len());
            is_sent = is_sent && stream.write_all(chunk.as_bytes()).is_ok();
            if let Some(Special::Pauses(pause)) = special
                && event == last + 1
            {
                record.line(&format!("worker {}: preempts {id} after event {event}", self.id));
                if is_closed_within(stream, pause) {
                    record.line(&format!("worker {}: {id}: its connection is closed", self.id));
                    return false;
                }
                record.line(&format!("worker {}: goes on with {id}", self.id));
            }
        }
        is_sent && stream.write_all(b"0\r\n\r\n").is_ok()
    }
}

/// Whether the peer closes the connection within `limit`.
fn is_closed_within(stream: &TcpStream, limit: Duration) -> bool {
    let _ = stream.set_read_timeout(Some(limit));
    let result = stream.peek(&mut [0]);
    let _ = stream.set_read_timeout(None);
    result.map_or_else(|e| e.kind() != std::io::ErrorKind::WouldBlock, |n| n == 0)
}

/// What workers do with one of [`SPECIAL`] requests for streams, whichever worker it is sent to.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub enum Special {
    /// The same as with all others.
    #[default]
    Nothing,
    /// They preempt it after its first event, and go on after this time.
    Pauses(Duration),
}

/// One of this many requests is special.
pub const SPECIAL: u32 = 4;

fn is_special(request: &http::Request) -> bool {
    let prefix = request.header("curranthook-prompt-prefix");
    let session = prefix.rsplit(',').next().and_then(|it| it.split(':').next()).unwrap_or_default();
    u32::from_str_radix(session, 16).is_ok_and(|it| it % SPECIAL == SPECIAL - 1)
}
