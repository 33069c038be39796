"""Stand-ins for the platform's store, for workers and for clients, and a starter of nodes.

Standard library only. All addresses are loopback ones, all ports are free ones, and all processes that are
started are ended by their ids.
"""
import asyncio, base64, json, os, pathlib, signal, socket, subprocess, sys, tempfile, time

ROOT = pathlib.Path(__file__).resolve().parents[2]
PROGRAM = ROOT / "target/release/curranthook-node"
HOST = "desk.example"
KEY = "n2ctnfzs989anu6wsjnb"
TENANT = "hule930"


def free_port():
    with socket.socket() as s:
        s.bind(("127.0.0.1", 0))
        return s.getsockname()[1]


class Record:
    """What was sent, answered and run, as lines of record.txt."""

    def __init__(self, folder):
        self.file = open(pathlib.Path(folder) / "record.txt", "w")
        self.start = time.monotonic()

    def line(self, text):
        self.file.write(f"{time.monotonic() - self.start:9.3f} s  {text}\n")
        self.file.flush()


async def read_head(reader):
    """The start line and the headers of a message, names in lower case; None at the end of the connection."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    lines = head.decode("latin-1").split("\r\n")
    headers = [(n.strip().lower(), v.strip()) for n, v in (it.split(":", 1) for it in lines[1:] if it)]
    return lines[0], headers


def header(headers, name):
    return next((v for n, v in headers if n == name), None)


async def read_body(reader, headers):
    if header(headers, "transfer-encoding"):
        body = b""
        while True:
            size = int((await reader.readline()).split(b";")[0], 16)
            body += await reader.readexactly(size)
            await reader.readexactly(2)
            if size == 0:
                return body
    return await reader.readexactly(int(header(headers, "content-length") or 0))


class Store:
    """The platform's metadata store: rows with revisions, conditional transactions and feeds."""

    def __init__(self):
        self.rev, self.rows, self.history = 0, {}, []
        self.changed = asyncio.Event()
        self.start = time.monotonic()

    async def open(self):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        self.port = self.server.sockets[0].getsockname()[1]

    def now(self):
        return (time.monotonic() - self.start) * 1000 + 1000

    def write(self, table, key, value, part=""):
        self.rev += 1
        self.put(table, part, key, value)

    def put(self, table, part, key, value):
        row = {"table": table, "part": part, "key": key, "schemaRev": self.rev}
        if value is None:
            self.rows.pop((table, part, key), None)
            row["removed"] = True
        else:
            row["value"] = value if isinstance(value, str) else base64.b64encode(json.dumps(value).encode()).decode()
            self.rows[(table, part, key)] = row
        self.history.append(row)
        self.changed.set()
        self.changed = asyncio.Event()

    def transact(self, tx):
        for it in tx.get("expectedRev", []):
            row = self.rows.get((it["table"], it.get("part", ""), it["key"]))
            if (row["schemaRev"] if row else 0) != it["schemaRev"]:
                return 412, {"rows": [row] if row else [], "schemaRev": self.rev, "serverTimeMs": self.now()}
        self.rev += 1
        for it in tx.get("writes", []):
            self.put(it["table"], it.get("part", ""), it["key"], it["value"])
        for it in tx.get("remove", []):
            self.put(it["table"], it.get("part", ""), it["key"], None)
        return 200, {"schemaRev": self.rev, "serverTimeMs": self.now()}

    async def serve(self, reader, writer):
        try:
            while head := await read_head(reader):
                start, headers = head
                body = await read_body(reader, headers)
                status, answer = await self.answer(start, body)
                text = json.dumps(answer).encode()
                writer.write(b"HTTP/1.1 %d x\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n" % (status, len(text)) + text)
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()

    async def answer(self, start, body):
        from urllib.parse import urlsplit, parse_qs
        method, target, _ = start.split(" ")
        url = urlsplit(target)
        query = {k: v[0] for k, v in parse_qs(url.query, keep_blank_values=True).items()}
        await asyncio.sleep(0.002)
        if url.path == "/v1/rows-tx":
            return self.transact(json.loads(body))
        if url.path == "/v1/rows-get":
            rows = [r for (t, p, k), r in sorted(self.rows.items()) if t == query["table"] and p == query.get("part", "") and query.get("startKey", "") <= k]
            limit = min(int(query.get("limit", 500)), 500)
            return 200, {"rows": rows[:limit], "hasMore": limit < len(rows), "schemaRev": self.rev, "serverTimeMs": self.now()}
        if url.path == "/v1/rows-feed":
            since, until = int(query["sinceRev"]), time.monotonic() + int(query.get("waitMs", 0)) / 1000
            while True:
                rows = [r for r in self.history if r["table"] == query["table"] and since < r["schemaRev"]]
                left = until - time.monotonic()
                if rows or left <= 0:
                    last = {(r["part"], r["key"]): r for r in rows}
                    rows = sorted(last.values(), key=lambda r: r["schemaRev"])
                    return 200, {"rows": rows, "schemaRev": self.rev, "serverTimeMs": self.now()}
                try:
                    await asyncio.wait_for(self.changed.wait(), left)
                except asyncio.TimeoutError:
                    pass
        return 404, {}


class Worker:
    """A worker: `behave(request, writer)` writes its answer to a request that it runs, and returns whether
    the connection is kept."""

    def __init__(self, id, service, behave, record, version="v1"):
        self.id, self.service, self.behave, self.record, self.version = id, service, behave, record, version
        self.runs = []
        self.writers = set()

    async def open(self, host="127.0.0.1", port=0):
        self.server = await asyncio.start_server(self.serve, host, port, limit=1 << 20)
        self.host, self.port = self.server.sockets[0].getsockname()[:2]

    def entry(self, state="ready"):
        return {"service": self.service, "address": f"{self.host}:{self.port}", "zone": "z-a", "version": self.version,
                "concurrency": 64, "state": state, "coldLeftMs": 0, "stage": "mixed", "models": [], "seq": 1}

    async def serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while head := await read_head(reader):
                start, headers = head
                body = await read_body(reader, headers)
                id = header(headers, "curranthook-attempt-id") or ""
                request = {"start": start, "headers": headers, "body": body, "id": id, "worker": self}
                if header(headers, "curranthook-target-instance") not in (None, self.id):
                    writer.write(b"HTTP/1.1 421 x\r\nCurranthook-Instance-Id: %s\r\nContent-Length: 0\r\n\r\n" % self.id.encode())
                    continue
                self.runs.append((time.monotonic(), id, request))
                self.record.line(f"{self.id} runs {id} ({start.rsplit(' ', 1)[0]})")
                keep = await self.behave(request, writer)
                await writer.drain()
                if not keep:
                    break
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    def answer_head(self, request, status=200, extra=""):
        return (f"HTTP/1.1 {status} x\r\nCurranthook-Attempt-Id: {request['id']}\r\n"
                f"Curranthook-Response-Seal: seal.{self.id}.{request['id']}\r\n{extra}").encode()

    def whole(self, request, body, status=200, extra=""):
        return self.answer_head(request, status, extra + f"Content-Length: {len(body)}\r\n\r\n") + body


def chunk(data):
    return b"%x\r\n%s\r\n" % (len(data), data)


SETTINGS = """nodeName={name}
role=gateway
instanceClass=edge
serves=edge,control
ip={ip}
zone=z-a
region=r
zones.z-a=r
listen.frontend={ip}:{frontend}
listen.ready={ip}:{ready}
listen.control={ip}:{control}
internalPorts={internal},{internal2}
seedNodes={seeds}
bootstrap=true
countsAsLoss=false
limits.cpuShare=0.25
limits.cpuCores=1
limits.memoryMb={memory}
limits.maxFds=4100
limits.bandwidthMbps=1000.0
limits.diskMb=0
discovery=platform
entryMode=vip
heartbeatMs=1200
invariants=base,drain,config,cost,retry,recover,engine,stream,tenants,platform,rollout
faultTolerance.machines=1
faultTolerance.zones=0
faultTolerance.regions=0
bounds.seedLagS=3
bounds.reuseDelayS=2
bounds.contactMs=3000
bounds.ackMs=4000
bounds.syncS=4
bounds.drainMs=2000
bounds.graceS=8
bounds.lossSlackMs=200
bounds.configApplyMs=2000
bounds.rollbackSlackMs=250
bounds.maxSkewMs=5000
bounds.failClosed=false
bounds.revokeMs=5000
bounds.retryBudgetRatio=0.9
bounds.budgetWindowS=10
bounds.retrySlack=56
bounds.exposeShare=0.15
bounds.exposureSlack=30
bounds.rollbackMs=5000
bounds.recoveryS=12
bounds.eventDelayMs=120
bounds.retryAfterS=8.6
bounds.sessionS=5
platform.address={store}
platform.form=table
platform.writesPerS=400
platform.readsPerS=2000
platform.txMs=4.0
platform.partWritesPerS=250
platform.rowBytes=65536
platform.across=true
platform.retentionS=20
platform.blobBytes=8388608
platform.blobMs=25.0
platform.blobMbPerS=80.0
"""


class Node:
    """A node as a process, started with the command of the deploy file; only the metrics port is a free one."""

    def __init__(self, folder, name, store, memory=110, seeds=None, ip="127.0.0.1"):
        self.name, self.ip = name, ip
        self.ports = {k: free_port() for k in ("frontend", "ready", "control", "internal", "internal2", "metrics")}
        self.folder = pathlib.Path(folder)
        self.settings = self.folder / f"{name}.conf"
        control = f"{ip}:{self.ports['control']}"
        self.settings.write_text(SETTINGS.format(name=name, ip=ip, memory=memory, store=store, seeds=seeds or control, **self.ports))

    def start(self):
        env = {"PATH": os.environ["PATH"], "HOME": str(self.folder), "CURRANTHOOK_SETTINGS": str(self.settings)}
        self.log = open(self.folder / f"{self.name}.log", "a")
        self.process = subprocess.Popen([str(PROGRAM), "--metrics-port", str(self.ports["metrics"])], cwd=ROOT, env=env, stdout=self.log, stderr=subprocess.STDOUT)

    def end(self):
        if getattr(self, "process", None) and self.process.poll() is None:
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
            self.process.wait()

    async def wait_ready(self, limit=15):
        end = time.monotonic() + limit
        while time.monotonic() < end:
            try:
                reader, writer = await asyncio.open_connection(self.ip, self.ports["ready"])
                writer.write(b"GET /v1/readiness HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
                line = await reader.readline()
                writer.close()
                if b" 200 " in line:
                    return
            except ConnectionError:
                pass
            await asyncio.sleep(0.05)
        raise RuntimeError(f"{self.name} did not become ready")


class Answer:
    """What a client got: the status (0 for none), the headers, the body, and whether the answer is complete."""

    def __init__(self, status=0, headers=(), body=b"", complete=False, why=""):
        self.status, self.headers, self.body, self.complete, self.why = status, list(headers), body, complete, why

    def __str__(self):
        seal = header(self.headers, "curranthook-response-seal")
        state = "complete" if self.complete else f"NOT complete ({self.why})"
        return f"status {self.status or 'none'}, seal {seal}, {len(self.body)} bytes {self.body[:60]!r}, {state}"


def request_bytes(method, path, id, deadline_ms, headers=(), body=None):
    lines = [f"{method} {path} HTTP/1.1", f"Host: {HOST}", f"Curranthook-Attempt-Id: {id}",
             f"Curranthook-Request-Deadline: {deadline_ms}", f"Authorization: Bearer {KEY}", *headers]
    if body is not None:
        lines.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode() + (body or b"")


async def read_answer(reader, limit):
    """Reads one answer for at most `limit` seconds."""
    answer = Answer()

    async def read():
        head = await read_head(reader)
        if head is None:
            answer.why = "the connection ended before a head"
            return
        answer.status, answer.headers = int(head[0].split(" ")[1]), head[1]
        if header(answer.headers, "transfer-encoding"):
            while True:
                line = await reader.readline()
                if not line:
                    answer.why = "the connection ended inside the chunks"
                    return
                size = int(line, 16)
                data = await reader.readexactly(size + 2)
                if size == 0:
                    answer.complete = True
                    return
                answer.body += data[:-2]
        length = header(answer.headers, "content-length")
        while length is None or len(answer.body) < int(length):
            data = await reader.read(1 << 16)
            if not data:
                answer.why = "the connection ended inside the body"
                answer.complete = length is None
                return
            answer.body += data
        answer.complete = True

    try:
        await asyncio.wait_for(read(), limit)
    except asyncio.TimeoutError:
        answer.why = f"nothing more within {limit:.1f} s"
    except (ConnectionError, asyncio.IncompleteReadError) as e:
        answer.why = f"connection: {e!r}"
    return answer


async def ask(node, message, limit, connection=None):
    """Sends a request, on a new connection if none is given, and reads the answer."""
    try:
        reader, writer = connection or await asyncio.open_connection(node.ip, node.ports["frontend"], limit=1 << 20)
        writer.write(message)
        await writer.drain()
    except ConnectionError as e:
        return Answer(why=f"connection: {e!r}")
    answer = await read_answer(reader, limit)
    if connection is None:
        writer.close()
    return answer


def route(name, prefix, kind, service, timeout_ms, target_ms, **more):
    return {"name": name, "host": HOST, "prefix": prefix, "routeType": kind, "timeoutMs": timeout_ms, "targetLatencyMs": target_ms,
            "priority": 1, "service": service, "maxAttempts": 1, "public": False, **more}


MODELS = ["daka510000", "rada7437b5", "ravo486f6a"]


def config(version=7):
    """A configuration like that of a small deployment: a stream that may be resumed, one that may not, a call
    that may run once, and one that may be repeated."""
    stream = {"sizes": MODELS, "sessionAffinity": True, "targetGapMs": 800}
    engine = {"concurrency": 64, "kvCapacity": 411787, "kvBytes": 327680, "bandwidthMbps": 1100000.0, "migrations": True, "backups": True,
              "stride": 5, "most": 12, "pinMs": 4000.0, "holdMs": 2000.0, "handleS": 5.0,
              "models": [{"name": n, "cost": c} for n, c in zip(MODELS, (0.0088, 0.066, 0.13))]}
    return {
        "version": version,
        "routes": [
            route("draft", "/draft/", "stream", "models", 12000, 2000, **{**stream, "maxAttempts": 3, "resumable": True}),
            route("once", "/once/", "stream", "models", 12000, 2000, **{**stream, "resumable": False}),
            route("write", "/write/", "non_idempotent", "log-app", 800, 150),
            route("read", "/read/", "idempotent", "log-app", 800, 150, maxAttempts=2),
        ],
        "services": [{"name": "models", "healthPath": "/health", "maxConns": 370, "protocol": "h1", "tls": False, "engine": engine},
                     {"name": "log-app", "healthPath": "/health", "maxConns": 110, "protocol": "h1", "tls": False}],
        "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
        "tenants": [{"name": TENANT, "apiKeys": [KEY], "priority": 1}],
    }


STREAM_HEADERS = ("Curranthook-Model: *", "Curranthook-Token-Counts: 1460,80",
                  "Curranthook-Prompt-Prefix: 5c1e07a2:800,91bd3f06:410,e4402b7d:250")


def run(main):
    """Runs a case in a temporary folder, with its nodes ended whatever happens; exit codes as the cases state them."""
    folder = pathlib.Path(sys.argv[1])
    trouble = os.environ.get("TROUBLE", "1") != "0"
    record, nodes = Record(folder), []
    with tempfile.TemporaryDirectory() as temporary:
        try:
            broken = asyncio.run(main(temporary, record, nodes, trouble))
            code = 1 if broken else 0
        except Exception as e:
            record.line(f"the case could not run: {e!r}")
            import traceback
            traceback.print_exc()
            code = 2
        finally:
            for it in nodes:
                it.end()
        if os.environ.get("KEEP_LOGS"):
            import shutil
            shutil.copytree(temporary, os.environ["KEEP_LOGS"], dirs_exist_ok=True)
    record.line({0: "the rule held", 1: "THE RULE WAS BROKEN", 2: "not run"}[code])
    print({0: "held", 1: "broken", 2: "not run"}[code], flush=True)
    os._exit(code)  # connections that are still open end with the process
