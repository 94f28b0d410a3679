"""Stand-ins of the platform's store, of workers and of clients, and the start
of the project's own processes, for the scripts of review/11 to review/15.

All of it follows PROTOCOL.md: the store answers a transaction after `txMs`, a
part takes `partitionWritesS` of them a second, workers write their entry each
`heartbeatMs`, keep ends until `lastSeen` reaches them and return 500 at a time.
"""
import asyncio
import base64
import collections
import json
import os
import random
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time

ROOT = os.path.realpath(os.path.join(os.path.dirname(__file__), "..", ".."))
PROGRAM = os.path.join(ROOT, "target", "bin", "fescuevane")
REASONS = {200: "OK", 400: "Bad Request", 404: "Not Found", 409: "Conflict",
           410: "Gone", 412: "Precondition Failed", 421: "Misdirected",
           429: "Too Many Requests", 503: "Service Unavailable"}


class Drop(Exception):
    """The server closes the connection without an answer."""


# 1. HTTP

async def read_head(reader):
    head = await reader.readuntil(b"\r\n\r\n")
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        if ":" in line:
            name, value = line.split(":", 1)
            headers[name.strip().lower()] = value.strip()
    return lines[0], headers


async def read_body(reader, headers):
    if headers.get("transfer-encoding", "").lower() == "chunked":
        body = b""
        while True:
            size = int((await reader.readline()).split(b";")[0], 16)
            body += await reader.readexactly(size)
            await reader.readline()
            if size == 0:
                return body
    return await reader.readexactly(int(headers.get("content-length", "0")))


def parse_query(target):
    path, _, query = target.partition("?")
    values = {}
    for part in query.split("&"):
        if part:
            name, _, value = part.partition("=")
            values[unquote(name)] = unquote(value)
    return path, values


def unquote(text):
    from urllib.parse import unquote_plus
    return unquote_plus(text)


async def serve_http(address, handle):
    """`handle(caller, method, path, query, headers, body)` returns a status and
    a value that is sent as JSON."""
    async def on_connection(reader, writer):
        caller = writer.get_extra_info("peername")[0]
        try:
            while True:
                line, headers = await read_head(reader)
                method, target, _ = line.split(" ", 2)
                body = await read_body(reader, headers)
                path, query = parse_query(target)
                status, value = await handle(caller, method, path, query,
                                             headers, body)
                text = json.dumps(value, separators=(",", ":")).encode()
                writer.write((f"HTTP/1.1 {status} {REASONS.get(status, 'X')}"
                              "\r\nContent-Type: application/json\r\n"
                              f"Content-Length: {len(text)}\r\n\r\n").encode()
                             + text)
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, Drop):
            pass
        finally:
            writer.close()
    host, port = address.rsplit(":", 1)
    return await asyncio.start_server(on_connection, host, int(port),
                                      limit=1 << 22, backlog=512)


async def call(address, method, path, headers, body=None, timeout=3.0):
    """One call of a client; returns the status and the body, or None for no
    answer."""
    async def once():
        host, port = address.rsplit(":", 1)
        reader, writer = await asyncio.open_connection(host, int(port),
                                                       limit=1 << 22)
        try:
            text = b"" if body is None else json.dumps(body).encode()
            lines = [f"{method} {path} HTTP/1.1", "Connection: close",
                     "Content-Type: application/json",
                     f"Content-Length: {len(text)}"]
            lines += [f"{name}: {value}" for name, value in headers.items()]
            writer.write(("\r\n".join(lines) + "\r\n\r\n").encode() + text)
            await writer.drain()
            line, answer_headers = await read_head(reader)
            status = int(line.split(" ")[1])
            if "content-length" in answer_headers or \
                    "transfer-encoding" in answer_headers:
                answer = await read_body(reader, answer_headers)
            else:
                answer = await reader.read()
            return status, answer
        finally:
            writer.close()
    try:
        return await asyncio.wait_for(once(), timeout)
    except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
        return None


# 2. Store

class Store:
    TX_S = 0.008
    READ_S = 0.004
    PART_GAP_S = 1 / 150

    def __init__(self):
        self.rows = collections.defaultdict(dict)  # table: {(part, key): row}
        self.log = collections.defaultdict(list)   # table: [(ver, place)]
        self.ver = 1
        self.free = {}
        self.changed = asyncio.Condition()
        self.began = time.monotonic()
        self.gate = None  # coroutine `gate(host, path)`; may return an answer
        self.last_writer = 0  # host that last wrote a job under a condition
        self.factor = 1   # answers take so many times as long
        self.calls = collections.Counter()

    def now_ms(self):
        return int((time.monotonic() - self.began) * 1000) + 1000

    async def put(self, table, key, value):
        """Written by the operator or by a worker."""
        self.ver += 1
        text = base64.b64encode(json.dumps(value).encode()).decode()
        self.set_row(table, "", key, text)
        async with self.changed:
            self.changed.notify_all()

    async def drop(self, table, key):
        if ("", key) in self.rows[table]:
            self.ver += 1
            self.set_row(table, "", key, None)
            async with self.changed:
                self.changed.notify_all()

    def set_row(self, table, part, key, value):
        place = (part, key)
        if value is None:
            self.rows[table].pop(place, None)
        else:
            self.rows[table][place] = (value, self.ver)
        self.log[table].append((self.ver, place))

    def view(self, table, place):
        row = self.rows[table].get(place)
        if row is None:
            return None
        return {"table": table, "part": place[0], "key": place[1],
                "value": row[0], "ver": row[1]}

    async def handle(self, caller, method, path, query, headers, body):
        self.calls[path] += 1
        if self.gate:
            answer = await self.gate(caller, path)
            if answer:
                return answer
        if path == "/rows-tx":
            order = json.loads(body)
            answer = await self.transact(order)
            if answer[0] == 200 and order.get("expectedRev") and any(
                    row["table"] == "job" for row in order.get("writes", [])):
                self.last_writer = caller
            return answer
        if path == "/rows-get":
            return await self.read(query)
        if path == "/rows-feed":
            return await self.feed(query)
        if path == "/rows-parts":
            await asyncio.sleep(self.READ_S * self.factor)
            parts = sorted({part for part, _ in self.rows[query["table"]]})
            parts = [p for p in parts if p > query.get("after", "")
                     or "after" not in query]
            return 200, {"parts": parts[:1000], "truncated":
                         len(parts) > 1000, "ver": self.ver,
                         "nowMs": self.now_ms()}
        return 404, {}

    async def transact(self, order):
        conditions = order.get("expectedRev", [])
        writes = order.get("writes", [])
        removes = order.get("remove", [])
        entries = conditions + writes + removes
        if len(entries) > 100 or len({e.get("part", "") for e in entries}) > 1:
            return 400, {}
        for entry in writes + removes:
            if entry["table"] in ("op", "servers"):
                return 403, {}
        for entry in writes:
            if len(entry["value"]) > 65536:
                return 400, {}
        part = entries[0].get("part", "") if entries else ""
        now = time.monotonic()
        free = max(now, self.free.get(part, 0))
        if free - now > 1:
            return 429, {}
        self.free[part] = free + self.PART_GAP_S
        await asyncio.sleep(free - now + self.TX_S * self.factor)
        current = []
        holds = True
        for entry in conditions:
            place = (entry.get("part", ""), entry["key"])
            row = self.view(entry["table"], place)
            if row:
                current.append(row)
            if (row["ver"] if row else 0) != entry["ver"]:
                holds = False
        if not holds:
            return 412, {"rows": current, "ver": self.ver,
                         "nowMs": self.now_ms()}
        self.ver += 1
        for entry in writes:
            self.set_row(entry["table"], entry.get("part", ""), entry["key"],
                         entry["value"])
        for entry in removes:
            self.set_row(entry["table"], entry.get("part", ""), entry["key"],
                         None)
        async with self.changed:
            self.changed.notify_all()
        return 200, {"ver": self.ver, "nowMs": self.now_ms()}

    async def read(self, query):
        await asyncio.sleep(self.READ_S * self.factor)
        table, part = query["table"], query.get("part", "")
        start, end = query.get("from", ""), query.get("target")
        keys = sorted((key.encode(), key) for p, key in self.rows[table]
                      if p == part)
        keys = [key for raw, key in keys if raw >= start.encode()
                and (end is None or raw < end.encode())]
        limit = min(500, int(query.get("limit", "500") or 500))
        rows, size = [], 0
        for key in keys[:limit]:
            row = self.view(table, (part, key))
            size += len(row["value"])
            if rows and size > 1_000_000:
                break
            rows.append(row)
        return 200, {"rows": rows, "truncated": len(rows) < len(keys),
                     "ver": self.ver, "nowMs": self.now_ms()}

    async def feed(self, query):
        table, after = query["table"], int(query["after"])
        until = time.monotonic() + min(30_000, int(query["waitMs"])) / 1000
        await asyncio.sleep(self.READ_S * self.factor)
        while True:
            log = self.log[table]
            first = len(log)
            while first > 0 and log[first - 1][0] > after:
                first -= 1
            if first < len(log):
                rows, seen = [], set()
                for ver, place in log[first:]:
                    if place in seen:
                        continue
                    seen.add(place)
                    row = self.view(table, place)
                    rows.append(row or {"table": table, "part": place[0],
                                        "key": place[1], "ver": max(
                                            v for v, p in log[first:]
                                            if p == place),
                                        "tombstone": True})
                rows.sort(key=lambda row: row["ver"])
                return 200, {"rows": rows, "ver": self.ver,
                             "nowMs": self.now_ms()}
            left = until - time.monotonic()
            if left <= 0:
                return 200, {"rows": [], "ver": self.ver,
                             "nowMs": self.now_ms()}
            try:
                async with self.changed:
                    await asyncio.wait_for(self.changed.wait(), left)
            except asyncio.TimeoutError:
                pass


# 3. Workers

class Worker:
    """Runs tasks; the text of a job says how long each of them takes: a list,
    by step, of lists of milliseconds, by index (the last one holds for all
    higher ones)."""
    MAX_HOLD_MS = 6000

    def __init__(self, rig, number, zone, cpu=64000, mem=131072):
        self.rig = rig
        self.id = f"i-{random.getrandbits(32):08x}"
        self.address = f"{rig.net}.{100 + number}:8080"
        self.zone, self.cpu, self.mem = zone, cpu, mem
        self.rack = f"r1-{number % 4 + 1}"
        self.machine = f"m-{number:05x}"
        self.began = time.monotonic() - 5
        self.born = int(time.time() * 1000) - 5000
        self.fence = 0
        self.lease_ms = 0
        self.running = {}   # task: [run, timer, started, seconds of work]
        self.refused = {}   # task: highest run that ended or was stopped
        self.ends = collections.deque()
        self.ended = 0
        self.last_seen = 0
        self.seq = 0
        self.new_end = asyncio.Condition()

    def clock(self):
        return int((time.monotonic() - self.began) * 1000)

    def answer(self, **more):
        return {"clockMs": self.clock(), "born": self.born, **more}

    async def start(self):
        self.server = await serve_http(self.address, self.handle)
        asyncio.create_task(self.beat())
        asyncio.create_task(self.watch_lease())

    async def beat(self):
        while True:
            self.seq += 1
            await self.rig.store.put("servers", self.id, {
                "service": "desk", "addr": self.address, "zone": self.zone,
                "version": "v1", "slots": 64, "state": "ready",
                "coldRemainingMs": 0, "machine": self.machine,
                "capacity": {"cpu": self.cpu, "memMb": self.mem, "gpu": 0},
                "labels": ["a", self.rack], "clockMs": self.clock(),
                "born": self.born, "seq": self.seq})
            await asyncio.sleep(1.5)

    async def watch_lease(self):
        while True:
            await asyncio.sleep(0.02)
            if self.running and self.clock() > self.lease_ms:
                for task in list(self.running):
                    await self.end(task, "lapsed")

    async def end(self, task, how):
        run, timer, _, _ = self.running.pop(task)
        if timer:
            timer.cancel()
        self.refused[task] = max(self.refused.get(task, 0), run)
        self.ended += 1
        self.ends.append([self.ended, task, run, how, ""])
        self.rig.note("end", worker=self.id, task=task, run=run, how=how)
        self.rig.on_end(task, run, how)
        async with self.new_end:
            self.new_end.notify_all()

    def later(self, seconds, coroutine, *arguments):
        return asyncio.get_running_loop().call_later(
            seconds, lambda: asyncio.ensure_future(coroutine(*arguments)))

    def take_lease(self, order):
        wanted = min(order.get("deadlineMs", 0),
                     self.clock() + self.MAX_HOLD_MS)
        self.lease_ms = max(self.lease_ms, wanted)

    async def handle(self, caller, method, path, query, headers, body):
        wanted = headers.get("x-fescuevane-expected-instance")
        if wanted and wanted != self.id:
            return 421, {}
        order = json.loads(body) if body else {}
        if order.get("fence", 0) < self.fence:
            return 409, self.answer(reason="fence")
        self.fence = order.get("fence", 0)
        if path == "/hold":
            return await self.hold(order)
        if path == "/run-start":
            return await self.begin(order, caller)
        if path == "/run-stop":
            task, run = order["task"], order["run"]
            self.refused[task] = max(self.refused.get(task, 0), run)
            if task in self.running and self.running[task][0] <= run:
                self.rig.note("stop", worker=self.id, task=task, run=run)
                self.later(0.05, self.end_if, task, self.running[task][0],
                           "stopped")
            return 200, self.answer()
        if path == "/pace":
            return 200, self.answer()
        return 404, {}

    async def end_if(self, task, run, how):
        if task in self.running and self.running[task][0] == run:
            await self.end(task, how)

    async def begin(self, order, caller):
        task, run = order["task"], order["run"]
        if order["deadlineMs"] <= self.clock():
            return 409, self.answer(reason="late")
        self.take_lease(order)
        there = self.running.get(task)
        if there and there[0] == run:
            return 200, self.answer()
        if run <= self.refused.get(task, 0) or (there and run < there[0]):
            return 409, self.answer(reason="old")
        if there:
            await self.end(task, "stopped")
        step, index = (int(x) for x in task.split(".")[2:])
        spec = json.loads(order["taskSpec"])
        times = spec["ms"][step]
        millis = times[min(index, len(times) - 1)]
        if spec.get("at"):  # all tasks work until this moment
            millis = max(10, spec["at"] - time.time() * 1000)
        timer = self.later(millis / 1000, self.end_if, task, run, "done")
        self.running[task] = [run, timer, time.monotonic(), millis / 1000]
        self.rig.note("start", worker=self.id, task=task, run=run,
                      caller=caller)
        self.rig.on_start(task, run, order["taskSpec"])
        return 200, self.answer()

    async def hold(self, order):
        self.take_lease(order)
        seen = order.get("lastSeen", 0)
        while self.ends and self.ends[0][0] <= seen:
            end = self.ends.popleft()
            self.rig.on_seen(end[1], end[2])
        self.last_seen = max(self.last_seen, seen)
        until = time.monotonic() + min(2000, order.get("waitMs", 0)) / 1000
        while not self.ends and time.monotonic() < until:
            try:
                async with self.new_end:
                    await asyncio.wait_for(self.new_end.wait(),
                                           until - time.monotonic())
            except asyncio.TimeoutError:
                pass
        now = time.monotonic()
        running = [[task, run, "", int(min(99, 100 * (now - began) / work)), 1]
                   for task, (run, _, began, work) in self.running.items()]
        ends = [self.ends[i] for i in range(min(500, len(self.ends)))]
        return 200, self.answer(running=running, terminated=ends)


# 4. The system

class Rig:
    def __init__(self, folder, hosts, zones=("jo-a", "jo-b", "jo-c")):
        self.folder = folder
        self.zones = list(zones)
        self.net = self.find_net()
        self.store = Store()
        self.workers = []
        self.temporary = tempfile.mkdtemp(prefix="fescuevane-case-")
        self.record = open(os.environ.get("RECORD") or os.path.join(
            folder, "record.txt"), "w")
        self.began = time.monotonic()
        self.count = hosts
        self.processes = {}
        self.starts = collections.defaultdict(list)  # task: [(time, run)]
        self.ends = collections.defaultdict(list)    # task: [(time, run, how)]
        self.seen = set()                            # (task, run)
        self.specs = {}                              # task: taskSpec of starts

    @staticmethod
    def find_net():
        draw = random.Random(os.getpid() ^ time.time_ns())
        while True:
            net = f"127.{draw.randint(30, 250)}.{draw.randint(1, 250)}"
            with socket.socket() as probe:
                try:
                    probe.bind((net + ".50", 8182))
                    return net
                except OSError:
                    continue

    def note(self, what, **fields):
        text = " ".join(f"{name}={value}" for name, value in fields.items())
        self.record.write(f"{time.monotonic() - self.began:8.3f} {what} "
                          f"{text}\n")

    def say(self, text):
        print(text, flush=True)
        self.note("note", text=text)

    def on_start(self, task, run, spec):
        self.starts[task].append((time.monotonic(), run))
        self.specs[task] = spec

    def on_end(self, task, run, how):
        self.ends[task].append((time.monotonic(), run, how))

    def on_seen(self, task, run):
        self.seen.add((task, run))

    def ip(self, host):
        return f"{self.net}.{10 + host}"

    def front(self, host):
        return f"{self.ip(host)}:8183"

    async def start_platform(self, workers, cpu=64000, mem=131072):
        await self.serve_store()
        await serve_http(f"{self.net}.4:8182", self.cloud)
        await self.store.put("op", "config", self.config(1))
        for number in range(workers):
            worker = Worker(self, number, self.zones[number % len(self.zones)],
                            cpu, mem)
            self.workers.append(worker)
            await worker.start()

    def config(self, version):
        return {"version": version, "routes": [
            {"name": "r-one", "host": "one.example", "prefix": "/q/",
             "kind": "mutating", "timeoutMs": 3000, "sloMs": 2500,
             "priority": 1, "service": "desk", "maxAttempts": 3,
             "slackFactor": 2.2, "authExempt": False}],
            "services": [{"name": "desk", "healthPath": "/health",
                          "maxConns": 64, "protocol": "h1", "tls": False,
                          "coldStartS": 0.0, "coldPerS": 0.0,
                          "enforcesCapacity": False, "standby": False}],
            "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 262144,
                       "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
            "tenants": [{"name": "one", "apiKeys": ["key-of-one"],
                         "priority": 1, "weight": 100,
                         "upperBound": {"cpu": 0, "memMb": 0, "gpu": 0}}]}

    async def cloud(self, caller, method, path, query, headers, body):
        if path != "/machines":
            return 400, {}
        return 200, {"machines": [
            {"machine": w.machine, "pool": "desk", "state": "up",
             "zone": w.zone, "labels": ["a", w.rack],
             "capacity": {"cpu": w.cpu, "memMb": w.mem, "gpu": 0},
             "id": w.id} for w in self.workers], "nextToken": None}

    def write_settings(self, host):
        """Fills in deploy/settings.yaml.in."""
        with open(os.path.join(ROOT, "deploy", "settings.yaml.in")) as file:
            text = file.read()
        zones = ",".join(f'"{zone}"' for zone in self.zones)
        text = text.replace('{{#zones}}"{{@}}"{{,}}{{/zones}}', zones)
        values = {
            "nodeName|json": json.dumps(f"edge-{host + 1}"),
            "ip|json": json.dumps(self.ip(host)),
            "zone|json": json.dumps(self.zones[host % len(self.zones)]),
            "listen.front|json": json.dumps(self.front(host)),
            "listen.ready|json": json.dumps(f"{self.ip(host)}:8184"),
            "portRange.0": "7420", "limits.cpuShare": "0.25",
            "limits.memoryMb": "260", "limits.maxFds": "4100",
            "platform.addr|json": json.dumps(self.store_address(host)),
            "platform.rowBytes": "65536",
            "recommendation|json": json.dumps(f"{self.net}.3:8182"),
            "cloud.addr|json": json.dumps(f"{self.net}.4:8182"),
            "bounds.maxHoldMs": "6000", "bounds.early_ms": "250",
            "bounds.remoteFactor": "3", "bounds.graceS": "6"}
        for name, value in values.items():
            text = text.replace("{{" + name + "}}", value)
        if "{{" in text:
            raise RuntimeError("unknown placeholder in deploy/settings.yaml.in")
        path = os.path.join(self.temporary, f"settings-{host}.yaml")
        with open(path, "w") as file:
            file.write(text)
        return path

    def store_address(self, host):
        return f"{self.net}.{50 + host}:8182"

    async def serve_store(self):
        """Each host has its own address of the store, which tells the stand-in
        the caller."""
        for host in range(self.count):
            async def handle(_, *rest, host=host):
                return await self.store.handle(host, *rest)
            await serve_http(self.store_address(host), handle)

    def start_host(self, host):
        environment = {name: os.environ[name] for name in ("PATH", "HOME",
                                                           "LANG")
                       if name in os.environ}
        environment.update(GSETTINGS_BACKEND="memory",
                           GIO_USE_PROXY_RESOLVER="dummy")
        log = open(os.path.join(self.temporary, f"host-{host}.log"), "a")
        self.processes[host] = subprocess.Popen(
            [PROGRAM, "cell", "--settings", self.write_settings(host)],
            cwd=ROOT, env=environment, stdout=log, stderr=log)
        self.note("process", host=host, pid=self.processes[host].pid)

    def signal(self, host, number):
        self.note("signal", host=host, signal=number.name)
        self.processes[host].send_signal(number)

    async def start_hosts(self):
        for host in range(self.count):
            self.start_host(host)
        await self.wait_ready(range(self.count))

    async def wait_ready(self, hosts, seconds=25):
        until = time.monotonic() + seconds
        for host in hosts:
            while True:
                answer = await call(f"{self.ip(host)}:8184", "GET",
                                    "/readiness", {"Host": "x"}, timeout=1)
                if answer and answer[0] == 200:
                    break
                if time.monotonic() > until:
                    raise RuntimeError(f"host {host} isn't ready")
                await asyncio.sleep(0.2)

    HEADERS = {"Host": "one.example", "Authorization": "Bearer key-of-one",
               "X-Fescuevane-Deadline-Ms": "3000"}

    async def submit(self, host, job, body, timeout=3.0):
        answer = await call(self.front(host), "POST", f"/q/{job}",
                            self.HEADERS, body, timeout)
        self.note("post", host=host, job=job,
                  answer=answer[0] if answer else "none")
        return answer[0] if answer else None

    async def cancel(self, host, job, timeout=3.0):
        answer = await call(self.front(host), "DELETE", f"/q/{job}",
                            self.HEADERS, None, timeout)
        self.note("delete", host=host, job=job,
                  answer=answer[0] if answer else "none")
        return answer[0] if answer else None

    async def look(self, host, job, timeout=3.0):
        answer = await call(self.front(host), "GET", f"/q/{job}",
                            self.HEADERS, None, timeout)
        if answer and answer[0] == 200:
            state = json.loads(answer[1])["state"]
        else:
            state = str(answer[0]) if answer else "none"
        self.note("get", host=host, job=job, answer=state)
        return state

    def stop(self):
        for process in self.processes.values():
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
                process.wait()
        self.record.close()
        if os.environ.get("KEEP"):
            print("logs:", self.temporary)
        else:
            shutil.rmtree(self.temporary, ignore_errors=True)


def new_job():
    return f"{random.getrandbits(64):016x}"


def run_case(folder, case, **options):
    """Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't
    run."""
    if not os.path.exists(PROGRAM):
        print("target/bin/fescuevane isn't built")
        sys.exit(2)
    trouble = os.environ.get("TROUBLE", "1") != "0"

    async def main():
        # Calls that are open at the end are dropped without a message.
        asyncio.get_running_loop().set_exception_handler(lambda *_: None)
        rig = Rig(folder, **options)
        code = 2
        try:
            broken = await asyncio.wait_for(case(rig, trouble), 112)
            print("broken" if broken else "held")
            code = 1 if broken else 0
        except BaseException as error:  # the case couldn't run
            print("couldn't run:", repr(error))
        finally:
            rig.stop()
            sys.stdout.flush()
            os._exit(code)  # tasks of the stand-ins are still open
    asyncio.run(main())
