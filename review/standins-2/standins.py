"""Stand-ins for the platform's store, replicas and clients, and a runner of celerystand processes.

Everything listens on loopback addresses. A replica's behaviour on one request is a coroutine that writes
the bytes of the answer itself, so that a script controls each byte and its time.
"""

import asyncio
import base64
import json
import os
import random
import shutil
import signal
import socket
import sys
import tempfile
import time

ROOT = os.path.abspath(os.path.join(os.path.dirname(__file__), "..", ".."))
PROGRAM = os.path.join(ROOT, "target", "release", "celerystand")
HOST = "shop.example"
KEY = "key-1"


class CannotRun(Exception):
    """The case can't run on this machine."""


def free_port(ip="127.0.0.1"):
    with socket.socket() as s:
        s.bind((ip, 0))
        return s.getsockname()[1]


class Record:
    """Writes what was sent, answered and run, with the time since the start."""

    def __init__(self, path):
        self.file = open(path, "w", encoding="utf-8")
        self.started = time.monotonic()

    def now(self):
        return time.monotonic() - self.started

    def __call__(self, *words):
        line = f"{self.now():9.3f} " + " ".join(str(w) for w in words)
        self.file.write(line + "\n")
        self.file.flush()


class Request:
    """A request as it arrived."""

    def __init__(self, method, target, headers, body):
        self.method, self.target, self.headers, self.body = method, target, headers, body
        self.path, _, self.query = target.partition("?")

    def header(self, name):
        values = [v for n, v in self.headers if n == name.lower()]
        return values[0] if values else None

    def args(self):
        from urllib.parse import parse_qsl

        return dict(parse_qsl(self.query, keep_blank_values=True))


async def read_request(reader):
    """Reads one request; None at the end of the connection."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError, asyncio.LimitOverrunError):
        return None
    lines = head.decode("latin-1").split("\r\n")
    method, target, _ = lines[0].split(" ", 2)
    headers = []
    for line in lines[1:]:
        if line:
            name, _, value = line.partition(":")
            headers.append((name.strip().lower(), value.strip()))
    body = b""
    names = dict(headers)
    if "content-length" in names:
        body = await reader.readexactly(int(names["content-length"]))
    elif names.get("transfer-encoding", "").lower() == "chunked":
        while True:
            size = int((await reader.readline()).split(b";")[0], 16)
            chunk = await reader.readexactly(size + 2)
            if size == 0:
                break
            body += chunk[:-2]
    return Request(method, target, headers, body)


def response(status, headers=(), body=b"", reason="X"):
    """The bytes of an answer with a length."""
    lines = [f"HTTP/1.1 {status} {reason}"]
    lines += [f"{n}: {v}" for n, v in headers]
    lines += [f"Content-Length: {len(body)}", "", ""]
    return "\r\n".join(lines).encode() + body


def reset(writer):
    """Ends a connection with a reset."""
    sock = writer.get_extra_info("socket")
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, b"\x01\x00\x00\x00\x00\x00\x00\x00")
    writer.transport.abort()


class Store:
    """The platform's table store. Each instance has an endpoint of its own, which may be slow or refuse."""

    def __init__(self):
        self.rows = {}
        self.version = 100
        self.log = []
        self.oldest = 100
        self.changed = asyncio.Condition()
        self.on_change = None

    def _apply(self, sets, removes):
        self.version += 1
        for table, part, key, value in sets:
            self.rows[(table, part, key)] = (value, self.version)
            self.log.append((self.version, table, part, key, value))
        for table, part, key in removes:
            self.rows.pop((table, part, key), None)
            self.log.append((self.version, table, part, key, None))
        return self.version

    async def put(self, table, key, value):
        async with self.changed:
            version = self._apply([(table, "", key, json.dumps(value).encode())], [])
            self.changed.notify_all()
        return version

    async def remove(self, table, key):
        async with self.changed:
            version = self._apply([], [(table, "", key)])
            self.changed.notify_all()
        return version

    def _row(self, table, part, key, value, version):
        row = {"table": table, "part": part, "key": key, "row_version": version}
        if value is None:
            row["deleted"] = True
        else:
            row["value"] = base64.b64encode(value).decode()
        return row

    async def answer(self, req):
        now_ms = int(time.monotonic() * 1000)
        args = req.args()
        if req.path == "/v1/rows-get":
            table, part = args["table"], args.get("part", "")
            limit = int(args.get("limit", 500))
            keys = sorted(
                k for (t, p, k) in self.rows
                if t == table and p == part and k >= args.get("from", "") and ("to" not in args or k < args["to"])
            )
            rows = [self._row(table, part, k, *self.rows[(table, part, k)]) for k in keys[:limit]]
            return 200, {"rows": rows, "has_more": len(keys) > limit, "row_version": self.version, "now_ms": now_ms}
        if req.path == "/v1/rows-feed":
            table, after = args["table"], int(args["after_revision"])
            if after < self.oldest:
                return 410, {}
            until = time.monotonic() + int(args.get("wait_ms", 0)) / 1000
            while True:
                latest = {}
                for version, t, part, key, value in self.log:
                    if t == table and version > after:
                        latest[(part, key)] = (value, version)
                rows = [self._row(table, p, k, v, n) for (p, k), (v, n) in sorted(latest.items(), key=lambda x: x[1][1])]
                left = until - time.monotonic()
                if rows or left <= 0:
                    return 200, {"rows": rows, "row_version": self.version, "now_ms": now_ms}
                async with self.changed:
                    try:
                        await asyncio.wait_for(self.changed.wait(), left)
                    except asyncio.TimeoutError:
                        pass
        if req.path == "/v1/rows-tx":
            body = json.loads(req.body)
            sets = [(r["table"], r.get("part", ""), r["key"], base64.b64decode(r["value"])) for r in body.get("set_keys", [])]
            removes = [(r["table"], r.get("part", ""), r["key"]) for r in body.get("remove", [])]
            if any(t in ("op", "servers") for t, *_ in sets + removes):
                return 403, {}
            async with self.changed:
                failed = []
                for r in body.get("expected_revision", []):
                    known = self.rows.get((r["table"], r.get("part", ""), r["key"]))
                    if (known[1] if known else 0) != r["row_version"]:
                        if known:
                            failed.append(self._row(r["table"], r.get("part", ""), r["key"], *known))
                        else:
                            failed.append({"table": r["table"], "part": r.get("part", ""), "key": r["key"], "row_version": 0})
                if failed:
                    return 412, {"rows": failed, "row_version": self.version, "now_ms": now_ms}
                version = self._apply(sets, removes)
                self.changed.notify_all()
            if self.on_change:
                self.on_change(sets)
            return 200, {"row_version": version, "now_ms": now_ms}
        return 404, {}

    async def endpoint(self, ip="127.0.0.1"):
        """Opens an endpoint; `delay` (seconds before each answer) and `mode` may be changed any time."""
        end = Endpoint(self)
        server = await asyncio.start_server(end.serve, ip, 0, limit=1 << 20)
        end.server = server
        end.addr = server.sockets[0].getsockname()
        return end


class Endpoint:
    def __init__(self, store):
        self.store, self.delay, self.mode, self.calls = store, 0.004, "serve", 0

    async def serve(self, reader, writer):
        try:
            while True:
                req = await read_request(reader)
                if req is None:
                    break
                self.calls += 1
                if self.mode == "reset":
                    return reset(writer)
                if self.mode == "busy":
                    writer.write(response(503))
                    continue
                while self.mode == "silent":
                    await asyncio.sleep(0.05)
                status, body = await self.store.answer(req)
                await asyncio.sleep(self.delay)
                while self.mode == "silent":
                    await asyncio.sleep(0.05)
                writer.write(response(status, [("Content-Type", "application/json")], json.dumps(body).encode()))
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()


class Replica:
    """A replica that lists itself. `handle(self, req, writer)` answers one request; it returns False to end the connection."""

    def __init__(self, store, ident, service, zone, slots, handle, record=None, version="v1", models=None):
        self.store, self.id, self.service, self.zone, self.slots = store, ident, service, zone, slots
        self.handle, self.record, self.version, self.models = handle, record, version, models
        self.state, self.sequence, self.born = "ready", 0, int(time.time() * 1000)
        self.connections = set()
        self.beating = None

    async def start(self, ip="127.0.0.1"):
        self.server = await asyncio.start_server(self._serve, ip, 0, limit=1 << 20)
        self.addr = self.server.sockets[0].getsockname()
        await self.beat()
        self.beating = asyncio.create_task(self._beats())
        return self

    async def beat(self):
        self.sequence += 1
        entry = {
            "service": self.service, "address": f"{self.addr[0]}:{self.addr[1]}", "zone": self.zone,
            "version": self.version, "slots": self.slots, "state": self.state, "cold_remaining_ms": 0,
            "sequence": self.sequence, "born": self.born,
        }
        if self.models:
            entry["stage"], entry["models"] = "both", self.models
        return await self.store.put("servers", self.id, entry)

    async def _beats(self):
        while True:
            await asyncio.sleep(1.2)
            await self.beat()

    async def stop(self):
        if self.beating:
            self.beating.cancel()
        self.server.close()

    async def _serve(self, reader, writer):
        self.connections.add(writer)
        try:
            while True:
                req = await read_request(reader)
                if req is None:
                    break
                expected = req.header("expected-instance")
                if expected is not None and expected != self.id:
                    writer.write(response(421, [("Instance-Id", self.id), ("Request-Id", req.header("request-id") or ""), ("Not-Executed", "1")]))
                    continue
                if req.path == "/health":
                    writer.write(response(200, [("Instance-Id", self.id)]))
                    continue
                goes_on = await self.handle(self, req, reader, writer)
                await writer.drain()
                if goes_on is False:
                    break
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            self.connections.discard(writer)
            writer.close()


class Run:
    """A generation at an engine."""

    def __init__(self, ident, total, made=0):
        self.id, self.total, self.made = ident, total, made
        self.works, self.stopped, self.writer = True, False, None


class Engine(Replica):
    """A model engine. It makes an event each 36 ms, and drops a run when its connection closes.

    `room` tells whether it takes copies of other engines' runs. `no_copies_to(address)` is asked before a copy is
    made to an address; the answer is then 503, with the handle if the run was stopped, as for a destination
    without room.
    """

    EVENT_S = 0.036

    def __init__(self, store, ident, service, zone, record=None, events=400):
        super().__init__(store, ident, service, zone, 24, Engine.generate, record, models=[{"name": "m", "version": 1, "adapters": []}])
        self.runs, self.handles, self.peers, self.room, self.events = {}, {}, {}, True, events
        self.next_handle, self.on_arrival, self.waiting = 0, None, 0
        # Time of a first copy, over a link that carries one copy after the other; a last one is short.
        self.copy_s, self.link = 0.03, asyncio.Lock()

    def name(self):
        return f"{self.addr[0]}:{self.addr[1]}"

    def head(self, req):
        lines = ["HTTP/1.1 200 OK", f"Request-Id: {req.header('request-id')}", f"Response-Seal: seal-{self.id}",
                 "Weight-Versions: 1", "Content-Type: text/event-stream", "Transfer-Encoding: chunked", "", ""]
        return "\r\n".join(lines).encode()

    def not_run(self, req, status=503):
        return response(status, [("Request-Id", req.header("request-id") or ""), ("Not-Executed", "1")])

    async def generate(self, req, reader, writer):
        if req.path == "/v1/report":
            runs = [[r.id, 1000 + 4 * r.made, r.made, 1] for r in self.runs.values() if r.works]
            body = {"stage": "both", "models": self.models, "busy": False, "sequence": 2, "waiting": self.waiting,
                    "running": len(runs), "kv_used": 1000 * len(runs), "kv_total": 34393, "handles": len(self.handles),
                    "state": self.state, "next": 0, "runs": runs, "born": self.born}
            writer.write(response(200, [("Content-Type", "application/json")], json.dumps(body).encode()))
            return True
        if req.path == "/v1/kv-move":
            return await self.move(json.loads(req.body), writer)
        ident = req.header("request-id")
        if ident is None:
            writer.write(response(400, [("Not-Executed", "1")]))
            return True
        copy = req.header("kv-from")
        if self.on_arrival:
            self.on_arrival(self, req)
        if self.record:
            self.record("engine", self.id, "gets", req.method, req.path, ident, "Kv-From" if copy else "", copy or "",
                        "Last-Event-Id", req.header("last-event-id"))
        if copy:
            made = self.handles.pop(copy, None)
            if made is None:
                writer.write(self.not_run(req))
                return True
            after = int(req.header("last-event-id") or 0)
            run = Run(ident, made[1], max(made[0], after))
            first = after + 1
        else:
            after = int(req.header("last-event-id") or 0)
            run = Run(ident, self.events, after)
            first = after + 1
        self.runs[ident] = run
        if self.record:
            self.record("engine", self.id, "runs", ident, "from event", first)
        run.writer = writer
        writer.write(self.head(req))
        for number in range(first, run.total + 1):
            if number > run.made:
                await asyncio.sleep(self.EVENT_S)
                if run.stopped or run.writer is not writer:
                    break
                run.made = number
            event = f"id: {number}\ndata: {ident} {number} of {run.total}\n\n".encode()
            if not writer.is_closing():
                writer.write(f"{len(event):x}\r\n".encode() + event + b"\r\n")
            elif not getattr(run, "outlives", False):
                break
        else:
            run.works = False
            if not writer.is_closing():
                writer.write(b"0\r\n\r\n")
            if self.record:
                self.record("engine", self.id, "ends", ident)
            return True
        run.works = False
        if self.record:
            self.record("engine", self.id, "stops" if run.stopped else "drops", ident, "after event", run.made)
        return False

    def cut_stream(self, ident):
        """Resets the connection of a stream; the run goes on until it is stopped."""
        run = self.runs[ident]
        run.outlives = True
        reset(run.writer)

    async def move(self, order, writer):
        def answer(status, body):
            writer.write(response(status, [("Content-Type", "application/json")], json.dumps(body).encode()))

        run = self.runs.get(order["id"])
        if run is None or not (run.works or run.stopped):
            answer(404, {})
            return True
        if order.get("last"):
            run.stopped = True
        self.next_handle += 1
        handle = f"h{self.next_handle}"
        to = self.peers.get(order["to"])
        has_room = to is not None and to.room
        if self.record:
            self.record("engine", self.id, "copies", run.id, "to", order["to"], "last" if order.get("last") else "",
                        "made" if has_room else "no room there")
        if order.get("last"):
            self.handles[f"{self.name()}/{handle}"] = (run.made, run.total)
        async with self.link:
            await asyncio.sleep(0.03 if order.get("last") or not has_room else self.copy_s)
        if not has_room:
            answer(503, {"handle": handle} if order.get("last") else {})
            return True
        to.handles[f"{self.name()}/{handle}"] = (run.made, run.total)
        answer(200, {"handle": handle, "created": run.made})
        return True


def settings(name, zone, ip, ports, store_addr, seeds, bounds=(), memory_mb=110, zones=("z-a", "z-b", "z-c")):
    """The settings file of an instance, as DEPLOY.md has it."""
    values = {
        "seed_lag_s": 3, "reuse_delay_s": 2, "contact_ms": 3000, "acknowledge_ms": 4000, "catch_up_s": 4,
        "drain_ms": 2000, "grace_s": 8, "loss_slack_ms": 200, "configuration_ms": 2000,
        "downgrade_slack_ms": 250, "stretch_maximum_ms": 5000, "strict_revocation": "true", "revoke_ms": 5000,
        "retry_budget_ratio": 0.2, "retry_window_s": 10, "retry_slack": 58, "cold_overage": 1.5,
        "cold_slack": 5, "evacuate_ms": 5000, "recovery_s": 12, "pass_ms": 120, "retry_after_s": 4.9,
    }
    values.update(dict(bounds))
    front, ready, control, internal = ports
    seeds = ", ".join(f'"{s}"' for s in seeds)
    text = f"""node = "{name}"
role = "instance"
machine_class = "front"
serves = ["front","control"]
ip = "{ip}"
zone = "{zone}"
region = "r"
internal_ports = [{internal},{min(internal + 15, 65535)}]
seeds = [{seeds}]
bootstrap = true
count_toward_tolerance = false
discovery = "platform"
entry = "virtual_ip"
heartbeat_ms = 1200
contracts = ["base","drain","config","cost","retry","recover","engine","stream","tenants","places","platform"]
[zones]
{chr(10).join(f'{z} = "r"' for z in zones)}
[listen]
front = "{ip}:{front}"
ready = "{ip}:{ready}"
control = "{ip}:{control}"
[limits]
cpu_share = 0.25
cores = 1
memory_mb = {memory_mb}
file_descriptors = 4100
bandwidth_mbps = 1000.0
disk_mb = 0
[tolerance]
machines = 2
zones = 1
regions = 0
[bounds]
{chr(10).join(f'{k} = {v}' for k, v in values.items())}
[platform]
address = "{store_addr[0]}:{store_addr[1]}"
form = "table"
writes_per_s = 400
reads_per_s = 2000
transaction_ms = 5.0
partition_writes_s = 200
row_bytes = 65536
spread = false
history_s = 20
blob_bytes = 8388608
blob_ms = 25.0
blob_mb_s = 80.0
"""
    return text


class Instance:
    """One celerystand process."""

    def __init__(self, folder, name, zone, ip, store_end, seeds=(), bounds=(), memory_mb=110):
        self.name, self.ip, self.folder = name, ip, folder
        ports = set()
        while len(ports) < 4:
            ports.add(free_port(ip))
        ports = sorted(ports)
        self.front, self.ready = (ip, ports[0]), (ip, ports[1])
        self.control, self.internal = (ip, ports[2]), (ip, ports[3])
        self.path = os.path.join(folder, f"{name}.toml")
        with open(self.path, "w", encoding="utf-8") as f:
            f.write(settings(name, zone, ip, ports, store_end.addr, seeds, bounds, memory_mb))
        self.log = os.path.join(folder, f"{name}.log")
        self.proc = None

    async def start(self):
        env = {k: os.environ[k] for k in ("PATH", "HOME", "LANG") if k in os.environ}
        env["CELERYSTAND_BOOT"] = self.path
        log = open(self.log, "ab")
        self.proc = await asyncio.create_subprocess_exec(PROGRAM, "platform", cwd=ROOT, env=env, stdout=log, stderr=log)
        log.close()

    def signal(self, number):
        if self.proc and self.proc.returncode is None:
            self.proc.send_signal(number)

    async def is_ready(self):
        try:
            reader, writer = await asyncio.open_connection(*self.ready)
            writer.write(b"GET /v1/readiness HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
            line = await asyncio.wait_for(reader.readline(), 1)
            writer.close()
            return b" 200 " in line
        except (OSError, asyncio.TimeoutError):
            return False

    async def wait_ready(self, seconds=10):
        until = time.monotonic() + seconds
        while time.monotonic() < until:
            if await self.is_ready():
                return
            await asyncio.sleep(0.05)
        raise CannotRun(f"{self.name} is not ready")

    async def stop(self):
        if self.proc and self.proc.returncode is None:
            self.proc.send_signal(signal.SIGCONT)
            self.proc.kill()
            await self.proc.wait()


def route(name, kind, service, prefix=None, timeout_ms=39000, target_ms=1800, attempts=1, **more):
    out = {
        "name": name, "host": HOST, "path_prefix": prefix or f"/{name}/", "kind": kind, "timeout_ms": timeout_ms,
        "target_latency_ms": target_ms, "priority": 1, "service": service, "max_attempts": attempts,
        "allow_anonymous": False,
    }
    out.update(more)
    return out


ENGINE = {
    "slots": 24, "kv_capacity": 34393, "token_kv_bytes": 327680, "bandwidth_mbps": 47000.0, "moves": True,
    "backups": True, "stride": 4, "most": 12, "pin_ms": 4000.0, "hold_ms": 2000.0, "handle_s": 5.0,
    "models": [{"name": "m"}],
}


def config(version, routes, services, keys=((KEY, "tenant-1"),)):
    tenants = {}
    for key, tenant in keys:
        tenants.setdefault(tenant, []).append(key)
    return {
        "version": version, "routes": routes, "services": services,
        "limits": {"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
        "tenants": [{"name": t, "api_keys": k, "priority": 1} for t, k in tenants.items()],
    }


def service(name, limit=110, engine=None):
    out = {"name": name, "health_path": "/health", "connection_limit": limit, "protocol": "h1", "tls": False,
           "cold_start_s": 0.0, "cold_per_s": 0.0}
    if engine:
        out["engine"] = engine
    return out


class Answer:
    def __init__(self):
        self.status, self.headers, self.body, self.complete, self.error = None, [], b"", False, None
        self.times = []

    def header(self, name):
        values = [v for n, v in self.headers if n == name.lower()]
        return values[0] if values else None


def new_id():
    return f"{random.getrandbits(64):016x}"


class Connection:
    """A client's connection."""

    def __init__(self, addr):
        self.addr = addr

    async def open(self):
        self.reader, self.writer = await asyncio.wait_for(asyncio.open_connection(*self.addr, limit=1 << 20), 1)
        return self

    def close(self):
        self.writer.close()

    async def send(self, method, path, ident, headers=(), body=None, deadline_ms=None, key=KEY):
        lines = [f"{method} {path} HTTP/1.1", f"Host: {HOST}", f"Request-Id: {ident}"]
        if deadline_ms is not None:
            lines.append(f"Deadline-Milliseconds: {deadline_ms}")
        if key:
            lines.append(f"Authorization: Token {key}")
        lines += [f"{n}: {v}" for n, v in headers]
        if body is not None:
            lines.append(f"Content-Length: {len(body)}")
        self.writer.write(("\r\n".join(lines) + "\r\n\r\n").encode() + (body or b""))
        await self.writer.drain()

    async def receive(self, on_data=None):
        out = Answer()
        try:
            head = await self.reader.readuntil(b"\r\n\r\n")
            lines = head.decode("latin-1").split("\r\n")
            out.status = int(lines[0].split(" ")[1])
            for line in lines[1:]:
                if line:
                    name, _, value = line.partition(":")
                    out.headers.append((name.strip().lower(), value.strip()))
            names = dict(out.headers)
            if names.get("transfer-encoding", "").lower() == "chunked":
                while True:
                    size = int((await self.reader.readline()).split(b";")[0], 16)
                    chunk = await self.reader.readexactly(size + 2)
                    if size == 0:
                        break
                    out.body += chunk[:-2]
                    if on_data:
                        on_data(chunk[:-2])
            elif "content-length" in names:
                out.body = await self.reader.readexactly(int(names["content-length"]))
            else:
                out.body = await self.reader.read(-1)
            out.complete = True
        except (ConnectionError, asyncio.IncompleteReadError, ValueError, OSError) as e:
            out.error = repr(e)
        return out


async def call(addr, method, path, ident=None, headers=(), body=None, deadline_ms=None, key=KEY, on_data=None):
    """One request over a new connection."""
    ident = ident or new_id()
    try:
        conn = await Connection(addr).open()
    except (OSError, asyncio.TimeoutError) as e:
        out = Answer()
        out.error = f"no connection: {e!r}"
        return out
    try:
        await conn.send(method, path, ident, headers, body, deadline_ms, key)
        wait = (deadline_ms or 60000) / 1000
        return await asyncio.wait_for(conn.receive(on_data), wait)
    except asyncio.TimeoutError:
        out = Answer()
        out.error = "deadline"
        return out
    except (ConnectionError, OSError) as e:
        out = Answer()
        out.error = repr(e)
        return out
    finally:
        conn.close()


def run(main):
    """Runs a case: `main(record, folder, trouble)` returns the exit code."""
    here = os.path.dirname(os.path.abspath(sys.argv[0]))
    trouble = os.environ.get("TROUBLE", "1") != "0"
    if not os.path.exists(PROGRAM):
        print("the program is not built")
        sys.exit(2)
    folder = tempfile.mkdtemp(prefix="review-2-")
    record = Record(os.path.join(here, "record.txt"))
    instances = []

    async def guarded():
        try:
            return await asyncio.wait_for(main(record, folder, trouble, instances), 115)
        finally:
            for instance in instances:
                await instance.stop()

    try:
        code = asyncio.run(guarded())
    except (CannotRun, asyncio.TimeoutError, OSError) as e:
        record("the case could not run:", repr(e))
        code = 2
    finally:
        if os.environ.get("KEEP"):
            print(folder)
        else:
            shutil.rmtree(folder, ignore_errors=True)
    record("exit", code)
    print({0: "the rule held", 1: "the rule was broken", 2: "could not run"}[code])
    sys.exit(code)
