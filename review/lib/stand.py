"""Stand-ins of the platform, the workers and the consumers for the review cases.

One Python process plays the platform's store, the workers and the consumers on
loopback addresses, and starts the hosts with the command of deploy/system.toml. Only
the standard library is used.
"""

import asyncio
import base64
import ctypes
import json
import os
import re
import signal
import socket
import sys
import tempfile
import time
import tomllib
from pathlib import Path
from urllib.parse import parse_qs, urlsplit

ROOT = Path(__file__).resolve().parents[2]

# Figures of the sheet of adf-eggline (SYSTEM.md, DEPLOY.md).
CONTACT_MS = 3000
GRACE_PERIOD_S = 8
LOSS_SLACK_MS = 200
# "A process that exits or is killed is restarted after a short delay."
RESTART_DELAY_S = 0.5


class Record:
    """What was sent, answered and run, with the time since the start in seconds."""

    def __init__(self, path):
        self.file = open(path, "w", encoding="utf-8")
        self.start = time.monotonic()

    def now(self):
        return time.monotonic() - self.start

    def add(self, *words):
        line = f"{self.now():8.3f} " + " ".join(str(word) for word in words)
        self.file.write(line + "\n")
        self.file.flush()

    def say(self, *words):
        self.add(*words)
        try:
            print(*words, flush=True)
        except BrokenPipeError:
            pass  # the record has the line


class Message:
    def __init__(self, start, headers, body):
        self.start = start
        self.headers = headers
        self.body = body

    def get(self, name, default=""):
        for key, value in self.headers:
            if key.lower() == name.lower():
                return value
        return default


class Broken(Exception):
    """A message that is not complete, or is none of the protocol."""


async def read_head(reader):
    try:
        raw = await reader.readuntil(b"\r\n\r\n")
    except asyncio.IncompleteReadError as error:
        raise Broken(f"closed after {len(error.partial)} bytes of a head") from error
    except (ConnectionError, asyncio.LimitOverrunError) as error:
        raise Broken(repr(error)) from error
    lines = raw.decode("latin-1").split("\r\n")
    headers = []
    for line in lines[1:]:
        if line:
            name, _, value = line.partition(":")
            headers.append((name.strip(), value.strip()))
    return Message(lines[0], headers, b"")


async def read_chunk(reader):
    try:
        size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
        data = await reader.readexactly(size + 2)
    except (asyncio.IncompleteReadError, ConnectionError, ValueError) as error:
        raise Broken("the body ends early") from error
    return data[:-2]


async def read_body(message, reader, on_part=None):
    body = b""
    if message.get("Transfer-Encoding").lower() == "chunked":
        while True:
            part = await read_chunk(reader)
            if not part:
                break
            body += part
            if on_part:
                on_part(part)
    else:
        try:
            body = await reader.readexactly(int(message.get("Content-Length") or 0))
        except (asyncio.IncompleteReadError, ConnectionError) as error:
            raise Broken("the body ends early") from error
    message.body = body
    return message


def answer_bytes(status, headers, body, reason="Reason"):
    head = f"HTTP/1.1 {status} {reason}\r\n"
    for name, value in headers:
        head += f"{name}: {value}\r\n"
    head += f"Content-Length: {len(body)}\r\n\r\n"
    return head.encode("latin-1") + body


def json_answer(value, status=200, headers=()):
    body = json.dumps(value).encode()
    return answer_bytes(status, [("Content-Type", "application/json"), *headers], body)


class Server:
    """Listens on an address. Closes all connections when it is closed."""

    def __init__(self, ip, port):
        self.ip = ip
        self.port = port
        self.server = None
        self.tasks = set()

    async def open(self):
        self.server = await asyncio.start_server(
            self.on_connection, self.ip, self.port, limit=1 << 20)

    async def on_connection(self, reader, writer):
        task = asyncio.current_task()
        self.tasks.add(task)
        try:
            while True:
                message = await read_head(reader)
                if message.get("Expect"):
                    writer.write(b"HTTP/1.1 100 Continue\r\n\r\n")
                await read_body(message, reader)
                if not await self.serve(message, reader, writer):
                    break
        except (Broken, ConnectionError, asyncio.CancelledError):
            pass
        finally:
            self.tasks.discard(task)
            writer.close()

    async def serve(self, message, reader, writer):
        raise NotImplementedError

    async def close(self):
        self.server.close()
        for task in list(self.tasks):
            task.cancel()


class Store(Server):
    """The platform's store, with the calls that PROTOCOL.md tells."""

    def __init__(self, ip, port):
        super().__init__(ip, port)
        self.tables = {}
        self.version = 1
        self.changed = asyncio.Condition()

    async def put(self, table, key, value):
        self.version += 1
        data = None if value is None else json.dumps(value).encode()
        self.tables.setdefault(table, {})[key] = (data, self.version)
        async with self.changed:
            self.changed.notify_all()

    def rows(self, table, after, with_removed):
        found = []
        for key, (data, version) in sorted(self.tables.get(table, {}).items()):
            if version <= after or (data is None and not with_removed):
                continue
            row = {"table": table, "part": "", "key": key, "ver": version}
            if data is None:
                row["removed"] = True
            else:
                row["value"] = base64.b64encode(data).decode()
            found.append(row)
        return found

    def page(self, rows):
        return json_answer({"rows": rows, "hasMore": False, "ver": self.version,
                            "nowMs": int(time.monotonic() * 1000)})

    async def serve(self, message, reader, writer):
        method, target, _ = message.start.split(" ", 2)
        parts = urlsplit(target)
        query = {key: values[0] for key, values in parse_qs(parts.query).items()}
        if parts.path == "/rows-get":
            rows = [row for row in self.rows(query["table"], 0, False)
                    if row["key"] >= query.get("from", "")]
            answer = self.page(rows)
        elif parts.path == "/rows-feed":
            answer = await self.feed(query)
        elif parts.path == "/rows-tx":
            answer = await self.transact(json.loads(message.body))
        else:
            answer = json_answer({}, 404)
        writer.write(answer)
        await writer.drain()
        return True

    async def feed(self, query):
        after = int(query.get("after", 0))
        last = time.monotonic() + int(query.get("waitMs", 0)) / 1000
        if after > self.version:
            return json_answer({}, 410)
        rows = self.rows(query["table"], after, True)
        while not rows and time.monotonic() < last:
            async with self.changed:
                try:
                    await asyncio.wait_for(self.changed.wait(), last - time.monotonic())
                except asyncio.TimeoutError:
                    pass
            rows = self.rows(query["table"], after, True)
        return self.page(rows)

    async def transact(self, call):
        for row in call.get("expected", []):
            data, version = self.tables.get(row["table"], {}).get(row["key"], (None, 0))
            if row["ver"] != (0 if data is None else version):
                return json_answer({"rows": []}, 412)
        self.version += 1
        for row in call.get("setKeys", []):
            data = base64.b64decode(row["value"])
            self.tables.setdefault(row["table"], {})[row["key"]] = (data, self.version)
        for row in call.get("remove", []):
            self.tables.setdefault(row["table"], {})[row["key"]] = (None, self.version)
        async with self.changed:
            self.changed.notify_all()
        return json_answer({"ver": self.version, "nowMs": 0})


class Worker(Server):
    """A worker: checks Target-Instance, answers its status check, and leaves requests
    to run()."""

    def __init__(self, record, worker_id, service, ip, port, zone="z1", concurrency=8):
        super().__init__(ip, port)
        self.record = record
        self.id = worker_id
        self.service = service
        self.zone = zone
        self.concurrency = concurrency
        self.sequence = 0
        self.runs = {}

    def entry(self, state="ready"):
        self.sequence += 1
        return {"service": self.service, "address": f"{self.ip}:{self.port}",
                "zone": self.zone, "version": "v1", "maxConcurrency": self.concurrency,
                "state": state, "coldRemainingMs": 0, "stage": "both",
                "models": [{"name": "m", "version": 1, "adapters": []}],
                "sequence": self.sequence}

    async def serve(self, message, reader, writer):
        method, target, _ = message.start.split(" ", 2)
        wanted = message.get("Target-Instance")
        if wanted and wanted != self.id:
            writer.write(answer_bytes(421, [("Served-By", self.id)], b""))
            await writer.drain()
            return True
        if target == "/healthz":
            writer.write(answer_bytes(200, [("Served-By", self.id)], b""))
            await writer.drain()
            return True
        return await self.run(method, target, message, reader, writer)

    async def run(self, method, target, message, reader, writer):
        raise NotImplementedError

    def begin_run(self, message):
        request = message.get("Attempt-Id")
        self.runs[request] = self.runs.get(request, 0) + 1
        self.record.add("run", self.id, request, message.start)
        return request

    def proof(self, request, status, body):
        return [("Attempt-Id", request),
                ("Response-Signature", f"{self.id}.{status}.{len(body)}")]


class StageWorker(Worker):
    """Makes pieces, one call at a time, and tells of which request each result is."""

    def __init__(self, *args, call_ms=150, item_ms=16, **words):
        super().__init__(*args, concurrency=1, **words)
        self.call_ms = call_ms
        self.item_ms = item_ms
        self.turn = asyncio.Lock()
        self.made = {}
        self.waiting = 0

    async def run(self, method, target, message, reader, writer):
        if target == "/stage-free":
            for handle in json.loads(message.body)["handles"]:
                self.made.pop(handle, None)
            writer.write(json_answer({}))
            await writer.drain()
            return True
        items = json.loads(message.body)["items"]
        if self.waiting > 2:
            writer.write(json_answer({}, 503, [("Not-Executed", "1")]))
            await writer.drain()
            return True
        self.waiting += 1
        async with self.turn:
            self.record.add("pieces", self.id,
                            ",".join(f"{i['id']}/{i['stage']}/{i['piece']}" for i in items))
            await asyncio.sleep((self.call_ms + self.item_ms * len(items)) / 1000)
        self.waiting -= 1
        results = []
        for item in items:
            handle = f"{self.ip}:{self.port}/{os.urandom(5).hex()}"
            self.made[handle] = (item["id"], item["stage"], item["piece"])
            ALL_RESULTS[handle] = self.made[handle]
            results.append({"handle": handle})
        writer.write(json_answer({"items": results}, 200, [("Server-Load", "0,0,1")]))
        await writer.drain()
        return True


# Of which request, stage and piece each result is that a worker has made.
ALL_RESULTS = {}


def free_address_base():
    """Returns the first three numbers of a loopback network of this process's own."""
    return f"127.{64 + os.getpid() // 250 % 128}.{1 + os.getpid() % 250}"


def render(template, fields):
    """Fills in the placeholders that deploy/settings.json.in uses."""

    def value_of(path):
        value = fields
        for part in path.split("."):
            value = value[int(part)] if isinstance(value, list) else value[part]
        return value

    def replace(match):
        path, _, form = match.group(1).partition("|")
        value = value_of(path)
        return json.dumps(value) if form == "json" else str(value)

    return re.sub(r"\{\{([^}]+)\}\}", replace, template)


def end_with_parent():
    """Runs in a host's process before the program: SIGKILL when the script ends."""
    PR_SET_PDEATHSIG = 1
    ctypes.CDLL(None).prctl(PR_SET_PDEATHSIG, signal.SIGKILL)


class Host:
    """A machine with one process of the role in deploy/system.toml."""

    def __init__(self, fleet, number, zone):
        self.fleet = fleet
        self.name = f"edge-{zone}-{number}"
        self.zone = zone
        self.ip = f"{fleet.base}.{number}"
        self.process = None
        self.path = fleet.folder / f"{self.name}.json"

    def address(self, port):
        return (self.ip, port)

    def fields(self, bootstrap):
        fleet = self.fleet
        ip = self.ip
        return {
            "nodeName": self.name, "role": "host", "machineClass": "edge",
            "serves": ["edge", "directory", "control"], "ip": ip, "zone": self.zone,
            "region": "r1", "internalPortRange": [7740, 7755],
            "seedNodes": [f"{fleet.base}.{n}:8628" for n in range(1, fleet.count + 1)][:3],
            "bootstrap": bootstrap, "heartbeatMs": 1200,
            "listen": {"front": f"{ip}:8625", "ready": f"{ip}:8621",
                       "control": f"{ip}:8628", "directory": f"{ip}:8620"},
            "limits": {"cpuShare": 0.25, "cpuCores": 1, "memoryMb": 260,
                       "maxOpenFiles": 4100},
            "bounds": {"retryBudgetRatio": 0.2, "budgetWindowS": 10, "budgetSlack": 54,
                       "coldOver": 1.5, "coldSlack": 5,
                       "gracePeriodS": GRACE_PERIOD_S, "ttl_max_s": 5},
            "provider": {"address": f"{fleet.store.ip}:{fleet.store.port}"},
        }

    async def start(self, bootstrap=True):
        template = (ROOT / fleet_role()["template"]).read_text()
        self.path.write_text(render(template, self.fields(bootstrap)))
        command = fleet_role()["run"].split()
        log = open(self.fleet.folder / f"{self.name}.log", "a", encoding="utf-8")
        environment = {key: os.environ[key] for key in ("PATH", "HOME", "LANG")
                       if key in os.environ}
        environment["GERANIUMDOOR_CONFIG"] = str(self.path)
        self.process = await asyncio.create_subprocess_exec(
            str(ROOT / command[0]), *command[1:], cwd=ROOT, env=environment,
            stdin=asyncio.subprocess.DEVNULL, stdout=log, stderr=log,
            preexec_fn=end_with_parent)
        log.close()
        self.fleet.record.add("start", self.name, "pid", self.process.pid)

    def send_signal(self, number):
        self.fleet.record.add("signal", self.name, signal.Signals(number).name)
        self.process.send_signal(number)

    async def kill_and_restart(self):
        self.send_signal(signal.SIGKILL)
        await self.process.wait()
        await asyncio.sleep(RESTART_DELAY_S)
        await self.start(bootstrap=False)

    async def is_ready(self):
        try:
            answer = await call(self.address(8621), "GET", "/readyz", [], b"", 1)
        except Broken:
            return False
        return answer.start.split(" ")[1] == "200"

    async def wait_until_ready(self, limit_s=15):
        last = time.monotonic() + limit_s
        while not await self.is_ready():
            if time.monotonic() > last:
                raise NotReady(self.name)
            await asyncio.sleep(0.05)
        self.fleet.record.add("ready", self.name)

    async def queue_host(self, service):
        """Name of the host that runs the queue of a service of stages."""
        answer = await call(self.address(8621), "GET", "/admin/queues", [], b"", 1)
        rows = json.loads(answer.body)["queues"]
        return next(row["host"] for row in rows if service in row.values())


class NotReady(Exception):
    pass


def fleet_role():
    deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())
    return next(iter(deploy["roles"].values()))


class Fleet:
    """A store, hosts and workers."""

    def __init__(self, record, folder, count, zones=("z1",)):
        self.record = record
        self.folder = Path(folder)
        self.base = free_address_base()
        self.count = count
        self.store = Store(f"{self.base}.200", 8624)
        self.hosts = [Host(self, n + 1, zones[n % len(zones)]) for n in range(count)]
        self.workers = []
        self.beats = None

    def worker_address(self):
        return (f"{self.base}.{100 + len(self.workers)}", 8080)

    async def start(self, config):
        await self.store.open()
        await self.store.put("op", "config", config)
        for worker in self.workers:
            await worker.open()
            await self.store.put("servers", worker.id, worker.entry())
        self.beats = asyncio.create_task(self.write_entries())
        await asyncio.gather(*(host.start() for host in self.hosts))
        for host in self.hosts:
            await host.wait_until_ready()
        # All hosts know each other; the pages give the machines 10 s before traffic.
        await asyncio.sleep(3)

    async def write_entries(self):
        while True:
            await asyncio.sleep(1.2)
            for worker in self.workers:
                await self.store.put("servers", worker.id, worker.entry())

    async def stop(self):
        if self.beats:
            self.beats.cancel()
        for host in self.hosts:
            if host.process and host.process.returncode is None:
                host.process.kill()
                await host.process.wait()
        for worker in self.workers:
            await worker.close()
        await self.store.close()


async def call(address, method, target, headers, body, limit_s, on_part=None):
    """Sends one request on a channel of its own. Raises Broken without a whole answer."""
    try:
        async with asyncio.timeout(limit_s):
            reader, writer = await asyncio.open_connection(*address, limit=1 << 20)
            try:
                head = f"{method} {target} HTTP/1.1\r\n"
                for name, value in [("Host", "pule25.example"), *headers]:
                    head += f"{name}: {value}\r\n"
                if body or method == "POST":
                    head += f"Content-Length: {len(body)}\r\n"
                writer.write(head.encode() + b"\r\n" + body)
                await writer.drain()
                message = await read_head(reader)
                return await read_body(message, reader, on_part)
            finally:
                writer.close()
    except TimeoutError as error:
        raise Broken("no answer in time") from error
    except OSError as error:
        raise Broken(repr(error)) from error


KEY = "9dnn2ctnfzs989anu6ws"


def config(routes, services, version=7):
    return {"version": version, "routes": routes, "services": services,
            "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 4194304,
                       "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
            "tenants": [{"name": "bozi300", "apiKeys": [KEY], "priority": 1}]}


ENGINE_SERVICE = {
    "name": "pool", "healthPath": "/healthz", "maxConnections": 360, "protocol": "h1",
    "tls": False, "coldStartS": 3.0, "coldPerS": 6.3,
    "engine": {"maxConcurrency": 64, "kvTokens": 499130, "kvBytes": 18432,
               "bandwidthMbps": 740000.0, "stride": 7, "handleS": 5.0,
               "models": [{"name": "m"}]}}


def plain_service(name):
    return {"name": name, "healthPath": "/healthz", "maxConnections": 100,
            "protocol": "h1", "tls": False, "coldStartS": 0.0, "coldPerS": 0.0}


def stage_service(name, batch=8, call_ms=150.0, item_ms=16.0):
    return {"name": name, "healthPath": "/healthz", "maxConnections": 360,
            "protocol": "h1", "tls": False, "coldStartS": 0.0, "coldPerS": 0.0,
            "pieces": {"maxConcurrency": 1, "queue": 2, "batch": batch, "callMs": call_ms,
                       "itemMs": item_ms, "roomMb": 36.0, "handleS": 4.0,
                       "bandwidthMbps": 10000}}


def route(name, prefix, kind, service, timeout_ms, target_ms, **more):
    return {"name": name, "host": "pule25.example", "prefix": prefix, "routeType": kind,
            "timeoutMs": timeout_ms, "targetLatencyMs": target_ms, "priority": 1,
            "service": service, "maxAttempts": 1, "public": False, **more}


def new_id():
    return os.urandom(8).hex()


def run_case(play, folder, bad="the rule was broken", good="the rule held"):
    """Runs play(record, folder_for_logs, trouble). Exits as a case has to."""
    trouble = os.environ.get("TROUBLE", "1") != "0"
    record = Record(Path(folder) / "record.txt")
    record.add("trouble", int(trouble))

    async def limited(logs):
        async with asyncio.timeout(110):
            return await play(record, logs, trouble)

    with tempfile.TemporaryDirectory() as logs:
        loop = asyncio.new_event_loop()
        try:
            broken = loop.run_until_complete(limited(logs))
        except Exception as error:  # the case couldn't run
            record.say("could not run:", repr(error))
            broken = None
        keep = os.environ.get("KEEP_LOGS")
        if keep:
            import shutil
            shutil.copytree(logs, keep, dirs_exist_ok=True)
    record.say("result:", {True: bad, False: good, None: "not run"}[broken])
    sys.stdout.flush()
    os._exit({True: 1, False: 0, None: 2}[broken])
