"""Stand-ins for the review's cases: clients, database nodes, discovery, and a router started with the run
command of deploy/balancer.toml. Standard library only; every address is 127.0.0.1, every port is a free one.

They follow the operators' protocol page: nodes and clients speak the PostgreSQL wire protocol, version 3, with simple
queries; discovery is an HTTP agent that answers at once. Figures are those of hanul-bookings unless a case says so.
"""
import asyncio
import json
import os
import re
import shutil
import signal
import socket
import struct
import subprocess
import tempfile
import time

ROOT = os.path.abspath(os.path.join(os.path.dirname(__file__), "..", ".."))
TROUBLE = os.environ.get("TROUBLE", "1") != "0"

# The settings of a small deployment (hanul-bookings, one router).
SETTINGS = {
    "zone": "yard-office", "round": 5000, "balancers": 1, "discovery": "pushed", "family": "replicas",
    "limits": {"probes": True, "cancel": True, "secondCopies": True, "retryAfter": True, "maxAttempts": 6,
               "maxRetryAfter": 500000, "connIdle": 30000000, "connectTimeout": 250000},
    "lanes": [
        {"name": "yard-board", "effect": "idempotent", "group": "all", "objective": 300000, "deadline": 750000,
         "worth": 1, "lateShare": 0, "window": 5000000, "stream": False},
        {"name": "own-booking", "effect": "idempotent", "group": "all", "objective": 400000, "deadline": 1000000,
         "worth": 1, "lateShare": 0, "window": 5000000, "stream": False},
        {"name": "route-lookup", "effect": "idempotent", "group": "all", "objective": 300000, "deadline": 1200000,
         "worth": 2, "lateShare": 0.2, "window": 5000000, "stream": False},
        {"name": "month-report", "effect": "idempotent", "group": "all", "objective": 3000000, "deadline": 6000000,
         "worth": 6, "lateShare": 0, "window": 5000000, "stream": False},
        {"name": "book-charge", "effect": "at_most_once", "group": "all", "objective": 400000, "deadline": 5000000,
         "worth": 3, "lateShare": 0.7, "window": 5000000, "stream": False}],
    "report": {"fields": ["x0", "x1", "active", "cpu"], "via": "on_probe"},
    "rules": {"askWithin": 10000000, "cold": 17000000, "coldFrom": 0.15, "drainGrace": 1000000, "fall": 2000000,
              "graceToAnswer": 20000, "overloadFactor": 4.0},
    "specifics": {"answersStamped": False, "catchUpWait": 0, "guards": "off", "lagAllowed": [3000000, 0, 0, 0, 0],
                  "readLevel": ["recent", "own_writes", "loose", "loose", "update"], "roleListed": "delayed",
                  "sessionMarks": "client", "sync": False},
}


class Record:
    """record.txt: a line for everything that was sent, answered and run. Times are seconds since the start."""

    def __init__(self, folder):
        self.start = time.monotonic()
        self.file = open(os.path.join(folder, "record.txt"), "w", encoding="utf-8")

    def now(self):
        return time.monotonic() - self.start

    def __call__(self, text):
        self.file.write(f"{self.now():9.4f} {text}\n")
        self.file.flush()


class WallClock:
    """The one clock that serves all machines: Unix time in ms. It may be stepped."""

    def __init__(self):
        self.offset_ms = 0.0

    def now_ms(self):
        return time.time() * 1000 + self.offset_ms


def message(kind, body):
    return kind + struct.pack("!I", len(body) + 4) + body


def text(value):
    return value.encode() + b"\0"


def row(value):
    description = struct.pack("!H", 1) + text("body") + struct.pack("!IhIhih", 0, 0, 17, -1, -1, 1)
    data = struct.pack("!HI", 1, len(value)) + value
    return message(b"T", description) + message(b"D", data)


def error(code, words):
    return message(b"E", b"SERROR\0VERROR\0" + b"C" + text(code) + b"M" + text(words) + b"\0")


def parameter(name, value):
    return message(b"S", text(name) + text(value))


READY = message(b"Z", b"I")
STATEMENT = re.compile(
    r"^(?:(SELECT) body FROM objects WHERE oid = '([^']*)'"
    r"|(INSERT) INTO objects \(oid, body\) VALUES \('([^']*)', '\\x([0-9a-f]*)'\) RETURNING body) /\* ?(.*?) ?\*/$")


class Group:
    """What the nodes of a group share: the log of commits. A commit has a sequence number, the moment (monotonic) and
    the date (Unix ms by the wall clock, rounded up) at which it was committed, a key and a value."""

    def __init__(self, clock):
        self.clock = clock
        self.log = []
        self.primary = None

    def commit(self, key, value):
        date = int(self.clock.now_ms()) + 1
        self.log.append((time.monotonic(), date, key, value))
        return date


class Node:
    """A database node. A replica gets the log `ship` seconds late and applies it with one thread that takes `apply`
    seconds for a commit. A read takes its snapshot when it begins."""

    def __init__(self, name, group, cell, record, ship=0.015, apply=0.020, work=0.044):
        self.name, self.group, self.cell, self.record = name, group, cell, record
        self.ship, self.apply, self.work = ship, apply, work
        self.applied_at = []  # by sequence number, as a replica
        self.applied_base = 0
        self.hung = False
        self.connections = set()
        self.server = None
        self.runs = []  # (time, id, kind)
        self.on_run = None
        self.port = None
        self.state = "up"
        self.started_ms = 0

    @property
    def is_primary(self):
        return self.group.primary is self

    async def start(self):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        self.port = self.server.sockets[0].getsockname()[1]

    @property
    def address(self):
        return f"127.0.0.1:{self.port}"

    def die(self):
        """The process dies: its connections are reset and new ones are refused."""
        self.server.close()
        for writer in list(self.connections):
            writer.transport.abort()

    def applied_count(self):
        """How many commits of the log it has applied."""
        if self.is_primary:
            return len(self.group.log)
        for at, *_ in self.group.log[len(self.applied_at):]:
            before = self.applied_at[-1] if self.applied_at else 0
            self.applied_at.append(max(before, at + self.ship) + self.apply)
        now = time.monotonic()
        count = len(self.applied_at)
        while count and self.applied_at[count - 1] > now:
            count -= 1
        return count

    def position_ms(self):
        """The time up to which it has applied all commits; a primary stands at the present."""
        now = self.group.clock.now_ms()
        if self.is_primary:
            return now
        count = self.applied_count()
        position = now - self.ship * 1000
        if count < len(self.group.log):
            position = min(position, self.group.log[count][1] - 2)
        return position

    def value_of(self, key):
        for _, _, other, value in reversed(self.group.log[:self.applied_count()]):
            if other == key:
                return value
        return b"none"

    async def serve(self, reader, writer):
        self.connections.add(writer)
        try:
            size, = struct.unpack("!I", await reader.readexactly(4))
            await reader.readexactly(size - 4)
            await self.wait_while_hung()
            writer.write(message(b"R", struct.pack("!I", 0)) + READY)
            while True:
                kind = await reader.readexactly(1)
                size, = struct.unpack("!I", await reader.readexactly(4))
                body = await reader.readexactly(size - 4)
                if kind == b"X":
                    return
                if kind == b"Q":
                    query = body.rstrip(b"\0").decode()
                    arrived = time.monotonic()
                    await self.wait_while_hung()
                    writer.write(await self.answer(query, arrived) + READY)
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            self.connections.discard(writer)
            writer.close()

    async def wait_while_hung(self):
        while self.hung:
            await asyncio.sleep(0.01)

    def role(self):
        return parameter("part", "master" if self.is_primary else "replica")

    async def answer(self, query, arrived):
        if not query.strip():
            return message(b"I", b"")
        if query == "SELECT 1":
            return row(b"1") + message(b"C", text("SELECT 1"))
        if query == "SHOW gauges":
            gauges = f"x0={self.position_ms() / 1000:.6f},x1={int(self.is_primary)},inflight=0,util=0.3"
            return row(gauges.encode()) + message(b"C", text("SHOW"))
        found = STATEMENT.match(query)
        if not found:
            self.record(f"{self.name} UNKNOWN STATEMENT {query!r}")
            return error("08P01", "no client sent this")
        fields = dict(part.strip().split("=", 1) for part in found.group(6).split(","))
        self.record(f"{self.name} got {fields['id']} d={fields['d']} {found.group(1) or found.group(3)}")
        self.runs.append((arrived, fields["id"], found.group(1) or found.group(3)))
        if self.on_run:
            self.on_run(self, fields["id"], arrived)
        if found.group(1):
            key = found.group(2)
            value, seen = self.value_of(key), self.applied_count()
            role = self.role()
            await asyncio.sleep(self.work)
            self.record(f"{self.name} answers {fields['id']} with {value.decode()} of {key}, "
                        f"{len(self.group.log) - seen} commits behind at its snapshot")
            return row(value) + message(b"C", text("SELECT 1")) + role
        if not self.is_primary:
            return error("25006", "this is no primary") + self.role()
        await asyncio.sleep(self.work)
        value = bytes.fromhex(found.group(5))
        date = self.group.commit(found.group(4), value)
        self.record(f"{self.name} ran {fields['id']}, committed at {date}")
        return row(value) + message(b"C", text("INSERT 0 1")) + self.role() + parameter("caught_up_to", str(date))


class Discovery:
    """The agent on the router's machine: the whole list, and a watch with an empty line every 2 s."""

    def __init__(self, nodes, roles):
        self.nodes, self.roles, self.version = nodes, roles, 1
        self.changed = asyncio.Event()
        self.whole_lists_sent = 0
        self.is_down = False  # it accepts connections, and says nothing
        self.server = None

    async def start(self):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        self.address = "127.0.0.1:%d" % self.server.sockets[0].getsockname()[1]

    def list(self):
        return {"version": self.version, "full": True, "servers": [
            {"id": node.name, "addr": node.address, "zone": "yard-office", "kind": "std-5core", "cell": node.cell,
             "state": node.state, "weight": 1.0, "started_ms": node.started_ms,
             "part": "master" if self.roles.get(node.name) else "replica"} for node in self.nodes]}

    def publish(self):
        self.version += 1
        self.changed.set()
        self.changed = asyncio.Event()

    async def serve(self, reader, writer):
        try:
            head = (await reader.readuntil(b"\r\n\r\n")).decode()
            path = head.split(" ")[1]
            if self.is_down:
                await reader.read()
                return
            if "stream=1" not in path:
                body = json.dumps(self.list()).encode()
                writer.write(b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: %d\r\n"
                             b"Connection: close\r\n\r\n" % len(body) + body)
                await writer.drain()
                self.whole_lists_sent += 1
                return
            known = int(re.search(r"index=(\d+)", path).group(1))
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nTransfer-Encoding: chunked\r\n\r\n")
            while True:
                changed = self.changed
                line = b"\n"
                if known != self.version:
                    known, line = self.version, json.dumps(self.list()).encode() + b"\n"
                    self.whole_lists_sent += 1
                writer.write(b"%x\r\n" % len(line) + line + b"\r\n")
                await writer.drain()
                try:
                    await asyncio.wait_for(changed.wait(), 2)
                except asyncio.TimeoutError:
                    pass
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            writer.close()


def run_command():
    for line in open(os.path.join(ROOT, "deploy", "balancer.toml"), encoding="utf-8"):
        if line.startswith("run = "):
            return json.loads(line[6:].strip())
    raise RuntimeError("deploy/balancer.toml has no run command")


class Router:
    """The project's program, started by /bin/sh -c from the root as the deploy file says."""

    def __init__(self, name, discovery, settings, record, known=None):
        self.record, self.folder = record, tempfile.mkdtemp(prefix="review-")
        with socket.socket() as free:
            free.bind(("127.0.0.1", 0))
            self.port = free.getsockname()[1]
        self.config = {"name": name, "listen": f"127.0.0.1:{self.port}", "discovery": discovery.address,
                       "seed": "5eed", "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
                       "known": known or discovery.list(), "settings": settings}
        path = os.path.join(self.folder, "config.json")
        with open(path, "w", encoding="utf-8") as file:
            json.dump(self.config, file)
        env = dict(os.environ, BALANCER_CONFIG=path, TMPDIR=self.folder)
        for name in ("BALANCER_NAME", "BALANCER_LISTEN", "BALANCER_DISCOVERY", "GULLTRESTLE_FLEET",
                     "GULLTRESTLE_EXT_PROC", "GULLTRESTLE_LOGGING"):
            env.pop(name, None)
        if os.environ.get("REVIEW_TRACE"):
            trace = os.path.join(self.folder, "logging.json")
            with open(trace, "w", encoding="utf-8") as file:
                file.write('{"txns": true}')
            env["GULLTRESTLE_LOGGING"] = trace
        self.log = open(os.path.join(self.folder, "router.log"), "wb")
        self.process = subprocess.Popen(["/bin/sh", "-c", run_command()], cwd=ROOT, env=env, stdout=self.log,
                                        stderr=subprocess.STDOUT, stdin=subprocess.DEVNULL)

    def signal(self, number):
        self.record(f"router gets {signal.Signals(number).name}")
        self.process.send_signal(number)

    async def ready(self):
        """Waits until it answers an empty query."""
        for _ in range(300):
            if self.process.poll() is not None:
                return False
            try:
                client = await Client.connect(self.port)
                answer = await asyncio.wait_for(client.query(""), 2)
                client.close()
                if answer.kind == "empty":
                    return True
            except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
                pass
            await asyncio.sleep(0.05)
        return False

    def end(self):
        if self.process.poll() is None:
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
        self.process.wait()
        self.log.close()
        with open(os.path.join(self.folder, "router.log"), "r", encoding="utf-8", errors="replace") as log:
            for line in log:
                self.record.file.write("router: " + line)
        shutil.rmtree(self.folder, ignore_errors=True)


class Answer:
    """kind: served, refused, failed, empty, or lost (the connection ended without a whole answer)."""

    def __init__(self, kind, value=b"", code="", position=None):
        self.kind, self.value, self.code, self.position = kind, value, code, position

    def __str__(self):
        return self.kind + (" " + self.value.decode() if self.value else "") + (" " + self.code if self.code else "")


STARTUP = struct.pack("!I", 196608) + text("user") + text("worker") + text("database") + text("catalog") + b"\0"
STARTUP = struct.pack("!I", len(STARTUP) + 4) + STARTUP


def query_bytes(statement):
    return message(b"Q", text(statement))


class Client:
    def __init__(self, reader, writer):
        self.reader, self.writer = reader, writer

    @staticmethod
    async def connect(port, startup=True):
        client = Client(*await asyncio.open_connection("127.0.0.1", port))
        if startup:
            client.writer.write(STARTUP)
        return client

    async def query(self, statement):
        self.writer.write(query_bytes(statement))
        return await self.answer()

    async def answer(self):
        """Reads one answer, up to its ReadyForQuery. The startup's answer and notices are skipped."""
        found = None
        try:
            while True:
                kind = await self.reader.readexactly(1)
                size, = struct.unpack("!I", await self.reader.readexactly(4))
                body = await self.reader.readexactly(size - 4)
                if kind == b"I":
                    found = Answer("empty")
                elif kind == b"D":
                    found = Answer("served", body[6:])
                elif kind == b"E":
                    fields = {part[:1]: part[1:].decode() for part in body.split(b"\0") if part}
                    code = fields.get(b"C", "")
                    found = Answer("refused" if code in ("53300", "57P03") else "failed", code=code)
                    if fields.get(b"V", fields.get(b"S")) == "FATAL":
                        return found
                elif kind == b"Z" and found:
                    return found
        except (asyncio.IncompleteReadError, ConnectionError):
            return Answer("lost")

    def half_close(self):
        self.writer.write_eof()

    def close(self):
        self.writer.close()


def read_statement(key, ident, grade, limit_ms, cell, after=None):
    return (f"SELECT body FROM objects WHERE oid = '{key}' /* id={ident},c={grade},t=dispatch,d={limit_ms},"
            f"cluster={cell}" + (f",after={after}" if after else "") + " */")


def write_statement(key, value, ident, grade, limit_ms, cell):
    return (f"INSERT INTO objects (oid, body) VALUES ('{key}', '\\x{value.hex()}') RETURNING body "
            f"/* id={ident},c={grade},t=dispatch,d={limit_ms},cluster={cell} */")


def main(case, folder):
    """Runs `case(record)`, which returns None if the rule held, else what broke it. Exit codes: 0 held, 1 broken,
    2 could not run."""
    record = Record(folder)
    record(f"TROUBLE={int(TROUBLE)}")
    try:
        broken = asyncio.run(asyncio.wait_for(case(record), 115))
    except Exception as failure:  # pylint: disable=broad-except
        record(f"could not run: {type(failure).__name__}: {failure}")
        print(f"could not run: {type(failure).__name__}: {failure}")
        return 2
    verdict = f"broken: {broken}" if broken else "held"
    record(verdict)
    print(verdict)
    return 1 if broken else 0
