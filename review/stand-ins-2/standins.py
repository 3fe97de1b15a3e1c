"""Stand-ins for clients, nodes, discovery, and the start of a router, for the cases of review/REPORT-2.md.

They follow the operators' PROTOCOL page. Only the standard library of Python is used; all addresses are loopback
addresses, all ports are free ones, and all files but record.txt lie in a temporary folder.
"""
import asyncio
import ctypes
import json
import os
import re
import shutil
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import time

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
HOST = "127.0.0.1"
TROUBLE = os.environ.get("TROUBLE", "1") != "0"


class CannotRun(Exception):
    """The case could not be played: exit code 2."""


# --- Time and record

class Clock:
    """The one wall clock of all machines, in seconds. A step moves it; what was read before stays as it was read."""

    def __init__(self):
        self.steps = [(0.0, 0.0)]  # from this monotonic time on, the offset

    def step(self, seconds):
        self.steps.append((time.monotonic(), self.steps[-1][1] + seconds))

    def at(self, monotonic):
        offset = [step[1] for step in self.steps if step[0] <= monotonic][-1]
        return self.base + monotonic + offset

    def now(self):
        return self.at(time.monotonic())

    base = time.time() - time.monotonic()


class Record:
    def __init__(self, folder):
        self.file = open(os.path.join(folder, "record.txt"), "w")
        self.start = time.monotonic()

    def __call__(self, text, at=None):
        at = time.monotonic() if at is None else at
        self.file.write("%9.4f %s\n" % (at - self.start, text))
        self.file.flush()


# --- The PostgreSQL wire protocol

def message(kind, body=b""):
    return kind + struct.pack("!I", len(body) + 4) + body


READY = message(b"Z", b"I")
STARTED = message(b"R", struct.pack("!I", 0)) + message(b"K", b"\0" * 8) + READY


def status(name, value):
    return message(b"S", name.encode() + b"\0" + str(value).encode() + b"\0")


def row(value, tag, column=b"body"):
    description = struct.pack("!H", 1) + column + b"\0" + struct.pack("!IHIhih", 0, 0, 17, -1, -1, 1)
    return (message(b"T", description) + message(b"D", struct.pack("!HI", 1, len(value)) + value) +
            message(b"C", tag + b"\0"))


def error(code, text, severity=b"ERROR"):
    return message(b"E", b"S" + severity + b"\0V" + severity + b"\0C" + code.encode() + b"\0M" + text.encode() + b"\0\0")


async def read_message(reader):
    head = await reader.readexactly(5)
    return head[:1], await reader.readexactly(struct.unpack("!I", head[1:])[0] - 4)


def comment_of(statement):
    fields = re.search(r"/\* *(.*?) *\*/", statement).group(1)
    return dict(field.split("=", 1) for field in fields.split(","))


def read_statement(key, fields):
    return "SELECT body FROM objects WHERE oid = '%s' /* %s */" % (key, fields)


def write_statement(key, hexadecimal, fields):
    return "INSERT INTO objects (oid, body) VALUES ('%s', '\\x%s') RETURNING body /* %s */" % (key, hexadecimal, fields)


# --- Nodes

class Group:
    """The data of one group: its commits, in order, each with its real time, its position and its value."""

    def __init__(self, clock):
        self.clock = clock
        self.commits = []  # (monotonic time, position in ms, key, value)
        self.last_position = 0

    def commit(self, key, value):
        now = time.monotonic()
        position = max(int(self.clock.at(now) * 1000) + 1, self.last_position)  # rounded up; never goes back
        self.last_position = position
        self.commits.append((now, position, key, value))
        return position

    def position_of(self, key):
        """The position of the key's last commit, which a client's session carries."""
        return [commit[1] for commit in self.commits if commit[2] == key][-1]

    def value(self, key, up_to):
        """The newest value of the key among what was committed up to this monotonic time."""
        values = [commit[3] for commit in self.commits if commit[2] == key and commit[0] <= up_to]
        return values[-1] if values else b""


class Node:
    """A node. Behaviour that a case needs is set in its fields, or by a sub-class that overrides execute()."""

    def __init__(self, name, group, clock, record, primary=False, lag=0.0):
        self.name, self.group, self.clock, self.record = name, group, clock, record
        self.primary, self.lag = primary, lag
        self.work = 0.02         # seconds of one statement
        self.handshake = 0.0     # seconds that a new connection takes longer
        self.started_ms = 0
        self.health = "up"
        self.received = []       # (monotonic time, comment's fields, statement)
        self.closes_after_answer = False
        self.roles_told = []     # (monotonic time, part) of each answer
        self.connections = 0

    async def start(self):
        self.server = await asyncio.start_server(self.serve, HOST, 0)
        self.port = self.server.sockets[0].getsockname()[1]

    @property
    def address(self):
        return "%s:%d" % (HOST, self.port)

    def applied_until(self):
        """The monotonic time up to which all commits are applied."""
        return time.monotonic() - (0.0 if self.primary else self.lag)

    def position_ms(self):
        return int(self.clock.at(self.applied_until()) * 1000)

    def role_status(self):
        part = "master" if self.primary else "replica"
        self.roles_told.append((time.monotonic(), part))
        return status("part", part)

    async def serve(self, reader, writer):
        try:
            length = struct.unpack("!I", await reader.readexactly(4))[0]
            await reader.readexactly(length - 4)
            self.connections += 1
            if self.handshake:
                await asyncio.sleep(self.handshake)
            writer.write(STARTED)
            while True:
                kind, body = await read_message(reader)
                if kind == b"X":
                    break
                if kind != b"Q":
                    continue
                text = body[:-1].decode()
                if not text.strip(" ;"):
                    writer.write(message(b"I") + READY)
                    continue
                if text == "SHOW gauges":
                    report = "x0=%.3f,x1=%d" % (self.position_ms() / 1000, self.primary)
                    writer.write(row(report.encode(), b"SHOW", b"gauges") + READY)
                    continue
                fields = comment_of(text)
                self.received.append((time.monotonic(), fields, text))
                self.record("node %s received id=%s c=%s d=%s" % (self.name, fields["id"], fields["c"], fields["d"]))
                answer = await self.execute(text, fields)
                if answer is None:
                    continue
                writer.write(answer)
                if self.closes_after_answer:
                    break
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    async def execute(self, text, fields):
        key = re.search(r"'([^']*)'", text).group(1)
        if text.startswith("INSERT"):
            if not self.primary:
                return error("25006", "this node is no primary") + self.role_status() + READY
            await asyncio.sleep(self.work)
            value = bytes.fromhex(re.search(r"'\\x([0-9a-f]*)'", text).group(1))
            position = self.group.commit(key, value)
            self.record("node %s ran id=%s" % (self.name, fields["id"]))
            return row(value, b"INSERT 0 1") + self.role_status() + status("caught_up_to", position) + READY
        await asyncio.sleep(self.work)
        value = self.group.value(key, self.applied_until())
        self.record("node %s answers id=%s with %r" % (self.name, fields["id"], value))
        return row(value, b"SELECT 1") + self.role_status() + READY


# --- Discovery

class Discovery:
    """The agent of one router: answers at once with what it has, and writes each change to the open watches."""

    def __init__(self, entries, record):
        """`entries`: a function that returns the present entries of the list."""
        self.entries, self.record = entries, record
        self.version, self.watches, self.told = 1, [], []

    async def start(self):
        self.server = await asyncio.start_server(self.serve, HOST, 0)
        self.address = "%s:%d" % (HOST, self.server.sockets[0].getsockname()[1])

    def document(self, entries, full):
        return (json.dumps({"version": self.version, "full": full, "servers": entries}) + "\n").encode()

    def publish(self, changed):
        """The entries have changed: writes them to all watches."""
        self.version += 1
        self.told.append((time.monotonic(), [entry["id"] + " " + entry["state"] for entry in changed]))
        self.record("discovery tells version %d: %s" % (self.version, self.told[-1][1][:4]))
        body = self.document(changed, False)
        for writer in self.watches:
            writer.write(b"%x\r\n" % len(body) + body + b"\r\n")

    async def serve(self, reader, writer):
        try:
            request = await reader.readuntil(b"\r\n\r\n")
            body = self.document(self.entries(), True)
            if b"stream=1" not in request.split(b"\r\n")[0]:
                self.record("discovery is asked for the whole list, and answers with %d bytes" % len(body))
                writer.write(b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n" %
                             len(body) + body)
                await writer.drain()
                return
            index = int(re.search(rb"index=(\d+)", request).group(1))
            self.record("discovery is asked for a watch after version %d" % index)
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nTransfer-Encoding: chunked\r\n\r\n")
            if index != self.version:
                writer.write(b"%x\r\n" % len(body) + body + b"\r\n")
            else:
                writer.write(b"1\r\n\n\r\n")
            self.watches.append(writer)
            while True:
                await asyncio.sleep(2)
                writer.write(b"1\r\n\n\r\n")
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            pass
        finally:
            if writer in self.watches:
                self.watches.remove(writer)
            writer.close()


def entry_of(node, cell=1):
    return {"id": "s-" + node.name, "addr": node.address, "zone": "sala", "kind": "std", "cell": cell,
            "state": node.health, "weight": 1.0, "started_ms": node.started_ms,
            "part": "master" if node.primary else "replica"}


# --- Clients

class Client:
    """A connection of a client. ask() sends one statement and returns (kind, value or SQLSTATE)."""

    def __init__(self, address):
        self.host, port = address.rsplit(":", 1)
        self.port = int(port)

    async def open(self):
        self.reader, self.writer = await asyncio.open_connection(self.host, self.port)
        body = struct.pack("!I", 3 << 16) + b"user\0worker\0database\0catalog\0\0"
        self.writer.write(struct.pack("!I", len(body) + 4) + body)
        await self.until_ready()
        return self

    async def until_ready(self):
        outcome = ("nothing", b"")
        while True:
            kind, body = await read_message(self.reader)
            if kind == b"D":
                outcome = ("served", body[6:])
            elif kind == b"I":
                outcome = ("empty", b"")
            elif kind == b"E":
                fields = dict((part[:1], part[1:]) for part in body.split(b"\0") if part)
                code = fields[b"C"].decode()
                outcome = ("refused" if code in ("53300", "57P03") else "failed", code)
                if fields.get(b"S") == b"FATAL":
                    return outcome
            elif kind == b"Z":
                return outcome

    def send(self, statement):
        self.writer.write(message(b"Q", statement.encode() + b"\0"))

    async def ask(self, statement):
        self.send(statement)
        return await self.until_ready()

    def close(self):
        self.writer.close()


# --- Routers

def run_command():
    with open(os.path.join(ROOT, "deploy", "balancer.toml")) as file:
        return re.search(r'^run = "(.*)"$', file.read(), re.M).group(1)


def end_with_parent():
    """The router is killed if the script is (PR_SET_PDEATHSIG)."""
    ctypes.CDLL(None).prctl(1, signal.SIGKILL)


def free_port():
    with socket.socket() as probe:
        probe.bind((HOST, 0))
        return probe.getsockname()[1]


class Router:
    def __init__(self, name, discovery, settings, known, folder, record, sockets=1024):
        self.address = "%s:%d" % (HOST, free_port())
        self.record, self.name = record, name
        config = {"name": name, "listen": self.address, "discovery": discovery, "seed": "8c1f30d27a5be964",
                  "limits": {"cores": 1.0, "memory_mb": 192, "sockets": sockets}, "known": known, "settings": settings}
        path = os.path.join(folder, name + ".json")
        with open(path, "w") as file:
            json.dump(config, file)
        environment = {key: value for key, value in os.environ.items() if not key.startswith(("BALANCER_", "GULLTRESTLE_"))}
        environment.update(BALANCER_CONFIG=path, BALANCER_NAME=name, BALANCER_LISTEN=self.address,
                           BALANCER_DISCOVERY=discovery, TMPDIR=folder)
        self.log_path = os.path.join(folder, name + ".log")
        self.process = subprocess.Popen(["/bin/sh", "-c", run_command()], cwd=ROOT, env=environment,
                                        stdout=open(self.log_path, "w"), stderr=subprocess.STDOUT,
                                        preexec_fn=end_with_parent)
        record("router %s started: %s" % (name, run_command()))

    async def ready(self):
        for _ in range(200):
            if self.process.poll() is not None:
                raise CannotRun("the router ended: " + open(self.log_path).read()[-500:])
            try:
                client = await Client(self.address).open()
                if (await client.ask(""))[0] == "empty":
                    client.close()
                    self.record("router %s is ready" % self.name)
                    return self
            except (OSError, asyncio.IncompleteReadError):
                pass
            await asyncio.sleep(0.05)
        raise CannotRun("the router was not ready in 10 s")

    def signal(self, number):
        self.record("router %s gets %s" % (self.name, signal.Signals(number).name))
        self.process.send_signal(number)

    def end(self):
        if self.process.poll() is None:
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
        self.process.wait()


# --- A case

def play(folder, case):
    """Runs the coroutine `case(record, temporary folder, routers)`, which returns the list of what broke the rule.
    Exits with 11 if the rule was broken, 0 if it held, 2 if the case could not run; run.sh makes 1 of 11, so that a
    fault of the script itself is never taken for a broken rule."""
    record = Record(folder)
    record("TROUBLE=%d" % TROUBLE)
    temporary = tempfile.mkdtemp(prefix="review-")
    routers = []
    try:
        broken = asyncio.run(asyncio.wait_for(case(record, temporary, routers), 110))
        for line in broken:
            record("BROKEN " + line)
        result = 11 if broken else 0
        print("%s: %s" % (os.path.basename(folder), broken[0] + " (%d in all)" % len(broken) if broken else "the rule held"))
    except Exception as failure:  # also a router that ended, and a time-out of the case
        record("could not run: %r" % failure)
        print("could not run: %r" % failure)
        result = 2
    finally:
        for router in routers:
            router.end()
            try:
                with open(router.log_path) as log:
                    for line in log.read().splitlines()[-40:]:
                        record.file.write("          log of %s: %s\n" % (router.name, line))
            except OSError:
                pass
        shutil.rmtree(temporary, ignore_errors=True)
        record("exit code %d" % result)
    sys.stdout.flush()
    os._exit(result)


def settings(lanes, read_levels, lag_allowed=None, **others):
    """Settings of a small deployment. `lanes`: the classes; `others`: further keys, such as rules=…"""
    base = {"zone": "sala", "round": 5000, "balancers": 1, "discovery": "pushed", "family": "replicas",
            "limits": {"probes": True, "cancel": True, "secondCopies": True, "retryAfter": True, "maxAttempts": 6,
                       "maxRetryAfter": 500000, "connIdle": 30000000, "connectTimeout": 250000},
            "lanes": lanes, "report": {"via": "on_probe", "fields": ["x0", "x1"]},
            "rules": {"coldFrom": 0.15, "cold": 17000000, "drainGrace": 1000000, "overloadFactor": 4.0,
                      "fall": 2000000, "graceToAnswer": 20000},
            "specifics": {"readLevel": read_levels, "lagAllowed": lag_allowed or [0] * len(lanes),
                          "sessionMarks": "client", "guards": "off", "roleListed": "delayed", "answersStamped": False}}
    for key, value in others.items():
        if isinstance(value, dict):
            base[key].update(value)
        else:
            base[key] = value
    return base


def lane(name, effect, objective, deadline, worth=1, late=0.0, **others):
    return dict({"name": name, "effect": effect, "objective": objective * 1000, "deadline": deadline * 1000,
                 "worth": worth, "lateShare": late, "stream": False}, **others)
