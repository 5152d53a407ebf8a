"""Stand-ins for the platform, its store, runners and clients, on loopback addresses and the real clock.

They follow PROTOCOL.md. Each case imports this module, starts oleander-gateway as the deploy file does and
stops whatever it started.
"""

import asyncio
import base64
import ctypes
import json
import os
import pathlib
import random
import resource
import shutil
import signal
import subprocess
import sys
import tempfile
import time
import urllib.parse

ROOT = pathlib.Path(__file__).resolve().parents[2]
GATEWAY = ROOT / "target" / "release" / "oleander-gateway"
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
STARTED = time.monotonic()
LIBC = ctypes.CDLL(None)
PR_SET_PDEATHSIG = 1


def now():
    """Seconds since the script began."""
    return time.monotonic() - STARTED


class Record:
    """Writes what was sent, answered and run to record.txt in the folder of the case."""

    def __init__(self, folder):
        self.file = open(pathlib.Path(folder) / "record.txt", "w", buffering=1)

    def line(self, text):
        self.file.write(f"{now():9.3f} {text}\n")


async def read_head(reader):
    """The first line and the headers of a message, names in lowercase; None at the end."""
    try:
        raw = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError, asyncio.LimitOverrunError):
        return None
    lines = raw.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        if ":" in line:
            name, value = line.split(":", 1)
            headers[name.strip().lower()] = value.strip()
    return lines[0], headers


async def read_body(reader, headers):
    """The body of a message that has a length or chunks."""
    if headers.get("transfer-encoding", "").lower() == "chunked":
        body = b""
        while True:
            size = int((await reader.readline()).split(b";")[0], 16)
            body += await reader.readexactly(size)
            await reader.readexactly(2)
            if size == 0:
                return body
    return await reader.readexactly(int(headers.get("content-length", "0")))


class Store:
    """The platform's store. Each machine reaches it at an address of its own, so that a case can turn
    away some of them."""

    def __init__(self, record):
        self.record = record
        self.version = 0
        self.rows = {}
        self.changed = asyncio.Event()
        self.mode = {}
        self.servers = []

    async def listen(self, machine):
        """The port at which a machine reaches the store."""
        serve = lambda reader, writer: self.serve(machine, reader, writer)
        server = await asyncio.start_server(serve, "127.0.0.1", 0, limit=1 << 22)
        self.servers.append(server)
        self.mode[machine] = "normal"
        return server.sockets[0].getsockname()[1]

    def put(self, table, key, value):
        """Writes a row as the operator and runners do; returns its version."""
        data = value if isinstance(value, bytes) else json.dumps(value).encode()
        self.version += 1
        self.rows[(table, key)] = (data, self.version)
        self.notify()
        return self.version

    def remove(self, table, key):
        self.version += 1
        self.rows[(table, key)] = (None, self.version)
        self.notify()

    def get(self, table, key):
        data = self.rows.get((table, key), (None, 0))[0]
        return None if data is None else json.loads(data)

    def notify(self):
        changed, self.changed = self.changed, asyncio.Event()
        changed.set()

    @staticmethod
    def row(table, key, data, version):
        row = {"table": table, "part": "", "key": key, "row_version": version}
        if data is None:
            row["removed"] = True
        else:
            row["value"] = base64.b64encode(data).decode()
        return row

    async def serve(self, machine, reader, writer):
        try:
            while True:
                head = await read_head(reader)
                if head is None:
                    return
                body = await read_body(reader, head[1])
                if self.mode[machine] == "busy":
                    status, answer = 503, {"error": "busy"}
                else:
                    status, answer = await self.answer(head[0], body)
                data = json.dumps(answer).encode()
                writer.write(f"HTTP/1.1 {status} X\r\nContent-Type: application/json\r\n"
                             f"Content-Length: {len(data)}\r\n\r\n".encode() + data)
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()

    def now_ms(self):
        return int(now() * 1000) + 1_000_000

    async def answer(self, line, body):
        method, target, _ = line.split(" ", 2)
        path, _, query = target.partition("?")
        query = dict(urllib.parse.parse_qsl(query, keep_blank_values=True))
        table = query.get("table", "")
        if path == "/v1/rows-get":
            start, end = query.get("from", ""), query.get("to", "")
            rows = [self.row(t, k, d, v) for (t, k), (d, v) in sorted(self.rows.items())
                    if t == table and d is not None and k >= start and (not end or k < end)]
            return 200, {"rows": rows[:500], "has_more": len(rows) > 500,
                         "row_version": self.version, "now_ms": self.now_ms()}
        if path == "/v1/rows-feed":
            since, wait = int(query["since_rev"]), int(query.get("wait_ms", "0")) / 1000
            deadline = time.monotonic() + wait
            while True:
                rows = sorted((v, k, d) for (t, k), (d, v) in self.rows.items() if t == table and v > since)
                left = deadline - time.monotonic()
                if rows or left <= 0:
                    return 200, {"rows": [self.row(table, k, d, v) for v, k, d in rows],
                                 "row_version": self.version, "now_ms": self.now_ms()}
                try:
                    await asyncio.wait_for(self.changed.wait(), left)
                except asyncio.TimeoutError:
                    pass
        if path == "/v1/rows-tx":
            call = json.loads(body)
            expected = call.get("expect_rev", [])
            found = {(r["table"], r["key"]): self.rows.get((r["table"], r["key"]), (None, 0)) for r in expected}
            held = all((v if d is not None else 0) == r["row_version"]
                       for r in expected for d, v in [found[(r["table"], r["key"])]])
            if not held:
                rows = [self.row(t, k, d, v) for (t, k), (d, v) in found.items() if d is not None]
                return 412, {"rows": rows, "row_version": self.version, "now_ms": self.now_ms()}
            self.version += 1
            for r in call.get("deletes", []):
                self.rows[(r["table"], r["key"])] = (None, self.version)
            for r in call.get("puts", []):
                self.rows[(r["table"], r["key"])] = (base64.b64decode(r["value"]), self.version)
            self.notify()
            return 200, {"row_version": self.version, "now_ms": self.now_ms()}
        return 404, {"error": line}


class Runner:
    """A runner. `handle(runner, head, reader, writer)` serves one request and returns whether the connection
    is kept; without it, requests are read, run for `work_s` and answered."""

    def __init__(self, store, record, name, service, zone="here-a", slots=8, version="v1", handle=None, work_s=0.0):
        self.store, self.record, self.name = store, record, name
        self.service, self.zone, self.slots, self.version = service, zone, slots, version
        self.handle, self.work_s = handle, work_s
        self.runs = []
        self.connections = set()
        self.born = int(time.time() * 1000)

    async def start(self, port=0, register=True):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", port, limit=1 << 17, backlog=1024)
        self.port = self.server.sockets[0].getsockname()[1]
        if register:
            self.register()
        return self

    def register(self, state="ready"):
        self.store.put("servers", self.name, {
            "service": self.service, "addr": f"127.0.0.1:{self.port}", "zone": self.zone,
            "version": self.version, "slots": self.slots, "state": state, "cold_left_ms": 0,
            "seq": 1, "born": self.born})

    def seal(self, headers):
        return f"Attempt-Id: {headers.get('attempt-id', '')}\r\nRunner-Seal: {self.name}.{headers.get('attempt-id', '')}\r\n"

    async def serve(self, reader, writer):
        self.connections.add(writer)
        try:
            while True:
                head = await read_head(reader)
                if head is None:
                    return
                if head[0].startswith("GET /health"):
                    writer.write(f"HTTP/1.1 200 OK\r\nRunner-Id: {self.name}\r\nContent-Length: 0\r\n\r\n".encode())
                    continue
                if head[1].get("expect-runner", self.name) != self.name:
                    await read_body(reader, head[1])
                    writer.write(b"HTTP/1.1 421 X\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n")
                    continue
                serve = self.handle or Runner.plain
                if not await serve(self, head, reader, writer):
                    return
        except (ConnectionError, asyncio.IncompleteReadError, ValueError):
            pass
        finally:
            self.connections.discard(writer)
            writer.close()

    def note_run(self, head):
        self.runs.append((now(), head[1].get("attempt-id"), head[0].split(" ")[1], head[1].get("tenant")))
        self.record.line(f"runner {self.name} runs {head[1].get('attempt-id')} {head[0]}")

    async def plain(self, head, reader, writer):
        await read_body(reader, head[1])
        self.note_run(head)
        if self.work_s:
            await asyncio.sleep(self.work_s)
        body = f"{self.name} {head[1].get('attempt-id')}".encode()
        writer.write(f"HTTP/1.1 200 OK\r\n{self.seal(head[1])}Content-Length: {len(body)}\r\n\r\n".encode() + body)
        await writer.drain()
        return True


class Machine:
    """A machine of the system with its process."""

    def __init__(self, name, index, store_port, ram_mb=110, zone="here-a", region="here", zones=None, heartbeat_ms=1200):
        self.name, self.ip = name, f"127.77.{os.getpid() % 250 + 1}.{index + 1}"
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="review-"))
        zones = zones or {"here-a": "here", "there-a": "there"}
        self.front, self.ready, self.peers, self.max_fds = 8227, 8220, 7340, 4100
        table = "\n".join(f'{zone} = "{region}"' for zone, region in zones.items())
        self.settings = self.folder / "settings.toml"
        self.settings.write_text(f"""node = "{name}"
role = "gateway"
class = "edge"
serves = ["edge"]
ip = "{self.ip}"
zone = "{zone}"
region = "{region}"
port_range = [{self.peers}, {self.peers + 15}]
seeds = []
bootstrap = true
heartbeat_ms = {heartbeat_ms}
[zones]
{table}
[listen]
front = "{self.ip}:{self.front}"
ready = "{self.ip}:{self.ready}"
[limits]
cpu_share = 0.25
cpus = 1
ram_mb = {ram_mb}
max_fds = 4100
[bounds]
contact_ms = 4000
drain_ms = 3000
grace_s = 8
cfg_apply_ms = 3000
retry_ratio = 0.9
retry_window_s = 10
retry_extra = 52
canary_share = 0.15
canary_slack = 30
session_s = 5
[platform]
addr = "127.0.0.1:{store_port}"
form = "table"
""")

    def start(self):
        env = {"PATH": os.environ["PATH"], "HOME": str(self.folder), "LANG": "C.UTF-8",
               "OLEANDERHOLLOW_SETTINGS": str(self.settings)}
        self.log = open(self.folder / "log.txt", "ab")
        def limit():
            # The platform limits the descriptors of a process. It ends with the script, however that ends.
            resource.setrlimit(resource.RLIMIT_NOFILE, (self.max_fds, self.max_fds))
            LIBC.prctl(PR_SET_PDEATHSIG, signal.SIGKILL)

        self.process = subprocess.Popen([str(GATEWAY)], cwd=ROOT, env=env, stdin=subprocess.DEVNULL,
                                        stdout=self.log, stderr=self.log, preexec_fn=limit)

    def signal(self, number):
        self.process.send_signal(number)

    def stop(self):
        process = getattr(self, "process", None)
        if process and process.poll() is None:
            process.send_signal(signal.SIGCONT)
            process.kill()
            process.wait()
        shutil.rmtree(self.folder, ignore_errors=True)

    def memory_mb(self):
        """Resident memory in MB (10^6 bytes), as the machine's limit counts it."""
        for line in pathlib.Path(f"/proc/{self.process.pid}/status").read_text().splitlines():
            if line.startswith("VmRSS:"):
                return int(line.split()[1]) * 1024 / 1e6
        return 0.0

    async def is_ready(self):
        try:
            answer = await call(self.ip, self.ready, "GET", "/v1/ready", {}, timeout=1.0)
        except OSError:
            return False
        return answer is not None and answer[0] == 200

    async def wait_until_ready(self, limit=15.0):
        end = time.monotonic() + limit
        while time.monotonic() < end:
            if await self.is_ready():
                return
            await asyncio.sleep(0.05)
        raise RuntimeError(f"{self.name} did not become ready")


async def exchange(reader, writer, method, path, headers, body=b"", host="desk.example"):
    """One request on an open connection; status, headers and body, or None if there is no whole answer."""
    fields = {"Host": host, "Content-Length": str(len(body)), **headers}
    text = "".join(f"{name}: {value}\r\n" for name, value in fields.items())
    try:
        writer.write(f"{method} {path} HTTP/1.1\r\n{text}\r\n".encode() + body)
        await writer.drain()
        head = await read_head(reader)
        if head is None:
            return None
        return int(head[0].split(" ")[1]), head[1], await read_body(reader, head[1])
    except (ConnectionError, asyncio.IncompleteReadError, ValueError):
        return None


async def call(ip, port, method, path, headers, body=b"", timeout=10.0, host="desk.example"):
    """One request on a connection of its own."""
    reader, writer = await asyncio.open_connection(ip, port, limit=1 << 20)
    try:
        return await asyncio.wait_for(exchange(reader, writer, method, path, headers, body, host), timeout)
    except asyncio.TimeoutError:
        return None
    finally:
        writer.close()


def new_id():
    return f"{random.getrandbits(64):016x}"


def configuration(version, routes, services, tenants=None, **limits):
    """A configuration with the limits of a small deployment."""
    return {"version": version, "routes": routes, "services": services, "tenants": tenants or [],
            "limits": {"max_hdr_bytes": 16384, "max_body_bytes": 4194304, "hdr_timeout_ms": 5000,
                       "idle_ms": 10000, **limits}}


def run_case(case, folder, limit=110):
    """Runs a case, which returns whether the rule held, and exits with 0, 1 or 2."""
    # Callers and runners of a case live in this process.
    most = resource.getrlimit(resource.RLIMIT_NOFILE)[1]
    resource.setrlimit(resource.RLIMIT_NOFILE, (most, most))
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(2))
    async def bounded():
        # Tasks that are cancelled at the end are no result.
        asyncio.get_running_loop().set_exception_handler(lambda loop, context: None)
        return await asyncio.wait_for(case(Record(folder)), limit)
    try:
        held = asyncio.run(bounded())
    except BaseException as error:  # noqa: BLE001
        print(f"the case could not run: {error!r}")
        sys.exit(2)
    print("the rule held" if held else "the rule was broken")
    sys.exit(0 if held else 1)



class CrashingRunner(Runner):
    """A runner that ends, with all its connections, and is back `down_s` later under its id as a new process."""

    down_s = 2.0

    def __init__(self, *arguments, **options):
        super().__init__(*arguments, **options)
        # Times of the crashes of all runners that share this list.
        self.crashes = []

    def crash(self):
        """Ends now: the listener and the connections close as those of a process that is gone."""
        self.crashes.append(now())
        self.record.line(f"runner {self.name} crashes")
        self.server.close()
        for writer in list(self.connections):
            writer.close()
        self.connections.clear()
        self.born = 0
        self.restart = asyncio.ensure_future(self.come_back())

    async def come_back(self):
        await asyncio.sleep(self.down_s)
        self.born = int(time.time() * 1000)
        await self.start(self.port)
        self.record.line(f"runner {self.name} is back")


class Caller:
    """An ordinary caller with one kept connection, which it opens again when it has ended."""

    def __init__(self, machine, record):
        self.machine, self.record = machine, record
        self.connection = None
        self.answered = 0
        # (time, id) of requests on a connection that had been answered before, and that ended without a byte.
        self.unanswered = []

    async def send(self, method, path, headers, body=b""):
        """One request; its status, or None if the connection ended without an answer."""
        request, was_kept = new_id(), self.connection is not None
        if not was_kept:
            try:
                self.connection = await asyncio.wait_for(
                    asyncio.open_connection(self.machine.ip, self.machine.front, limit=1 << 20), 1.0)
            except (OSError, asyncio.TimeoutError):
                return None
        answer = await exchange(*self.connection, method, path, {"Attempt-Id": request, **headers}, body)
        if answer is None:
            self.connection[1].close()
            self.connection = None
            self.record.line(f"caller gets no answer to {request}, connection {'kept' if was_kept else 'new'}")
            if was_kept:
                self.unanswered.append((now(), request))
            return None
        self.answered += 1
        self.record.line(f"caller gets {answer[0]} to {request}")
        if answer[1].get("connection", "").lower() == "close":
            self.connection[1].close()
            self.connection = None
        return answer[0]

    def close(self):
        if self.connection:
            self.connection[1].close()
