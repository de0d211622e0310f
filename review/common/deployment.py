"""A small deployment on loopback addresses: stand-ins of the platform's store and API, of servers and of clients, and the project's
gateways as separate processes. Each stand-in follows PROTOCOL.md; where the pages are silent it behaves like a sound one."""

import base64
import json
import os
import random
import re
import shutil
import signal
import socket
import subprocess
import tempfile
import threading
import time
import urllib.parse

ROOT = os.path.abspath(os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", ".."))
PROGRAM = os.path.join(ROOT, "target", "cowsliphead")
HOST = "ficu95.example"
KEYS = {"huka270": "2b9wu3fexd9dnn2ctnfz", "puhu251": "s989anu6wsjnbanfqasn"}
ZONES = ["plv-a", "plv-b", "szg-c"]


class CannotRun(Exception):
    """The case could not be carried out."""


def render(template, fields):
    """Fills in the placeholders of a settings template that platform/settings.template uses: {{a.b}} and {{a.b|json}}."""

    def value(match):
        found = fields
        for name in match[1].split("."):
            found = found[int(name)] if isinstance(found, list) else found[name]
        return json.dumps(found) if match[2] else str(found)

    return re.sub(r"\{\{([A-Za-z0-9.]+)(\|json)?\}\}", value, template)


class Record:
    """Writes what was sent, answered and run to record.txt, with the time since the start."""

    def __init__(self, path):
        self._file = open(path, "w", encoding="utf-8")
        self._start = time.monotonic()
        self._lock = threading.Lock()

    def __call__(self, text):
        with self._lock:
            self._file.write(f"{time.monotonic() - self._start:8.3f} {text}\n")
            self._file.flush()


class Message:
    def __init__(self, first, headers, body):
        self.first = first
        self.headers = headers
        self.body = body

    def values(self, name):
        return [value for field, value in self.headers if field.lower() == name.lower()]

    def get(self, name, default=None):
        values = self.values(name)
        return values[0] if values else default


class Reader:
    """Reads HTTP/1.1 messages from a socket. A trailer section is read and discarded, as RFC 9112 allows."""

    def __init__(self, sock):
        self._sock = sock
        self._data = b""

    def _more(self):
        chunk = self._sock.recv(65536)
        if not chunk:
            raise EOFError
        self._data += chunk

    def _line(self):
        while b"\n" not in self._data:
            self._more()
        line, self._data = self._data.split(b"\n", 1)
        return line.rstrip(b"\r").decode("latin-1")

    def _exactly(self, size):
        while len(self._data) < size:
            self._more()
        part, self._data = self._data[:size], self._data[size:]
        return part

    def head(self):
        first = self._line()
        headers = []
        while True:
            line = self._line()
            if not line:
                return Message(first, headers, b"")
            name, value = line.split(":", 1)
            headers.append((name, value.strip()))

    def chunk(self):
        """The next chunk; empty at the end of the body."""
        size = int(self._line().split(";")[0], 16)
        if size == 0:
            while self._line():
                pass
            return b""
        part = self._exactly(size)
        self._line()
        return part

    def body(self, message):
        if "chunked" in (message.get("Transfer-Encoding") or "").lower():
            parts = []
            while part := self.chunk():
                parts.append(part)
            return b"".join(parts)
        return self._exactly(int(message.get("Content-Length") or 0))

    def message(self):
        message = self.head()
        message.body = self.body(message)
        return message


class Listener:
    """Accepts channels on a free loopback port; each is served by a thread."""

    def __init__(self):
        self._socket = socket.socket()
        self._socket.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self._socket.bind(("127.0.0.1", 0))
        self._socket.listen(256)
        self.port = self._socket.getsockname()[1]
        self.address = f"127.0.0.1:{self.port}"
        threading.Thread(target=self._accept, daemon=True).start()

    def _accept(self):
        while True:
            try:
                channel, _ = self._socket.accept()
            except OSError:
                return
            channel.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            threading.Thread(target=self._serve, args=(channel,), daemon=True).start()

    def _serve(self, channel):
        try:
            self.serve(channel)
        except (EOFError, OSError, ValueError):
            pass
        finally:
            channel.close()

    def serve(self, channel):
        raise NotImplementedError


def response(status, headers, body=b""):
    reasons = {200: "OK", 404: "Not Found", 409: "Conflict", 412: "Precondition Failed", 421: "Misdirected Request", 503: "Service Unavailable"}
    lines = [f"HTTP/1.1 {status} {reasons.get(status, 'Status')}"]
    lines += [f"{name}: {value}" for name, value in headers]
    return ("\r\n".join(lines) + "\r\n\r\n").encode() + body


def whole(status, headers, body=b""):
    return response(status, headers + [("Content-Length", str(len(body)))], body)


def json_answer(status, document):
    return whole(status, [("Content-Type", "application/json")], json.dumps(document).encode())


class Store(Listener):
    """The platform's store: linearizable, with leases and watches."""

    def __init__(self):
        self._changed = threading.Condition()
        self._items = {}
        self._history = []
        self._revision = 100
        self._leases = {}
        self._next_lease = 7000
        super().__init__()

    def put(self, key, document):
        with self._changed:
            self._put(key, json.dumps(document).encode(), 0)

    def remove(self, key):
        with self._changed:
            self._remove(key)

    def _put(self, key, value, lease):
        self._revision += 1
        created = self._items[key]["createRev"] if key in self._items else self._revision
        self._items[key] = {"key": key, "value": base64.b64encode(value).decode(), "revision": self._revision, "createRev": created, "lease": lease}
        self._history.append(self._items[key])
        self._changed.notify_all()

    def _remove(self, key):
        if self._items.pop(key, None) is not None:
            self._revision += 1
            self._history.append({"key": key, "revision": self._revision, "removed": True})
            self._changed.notify_all()

    def _expire(self):
        now = time.monotonic()
        for lease in [number for number, (ends, _) in self._leases.items() if ends <= now]:
            self._end(lease)

    def _end(self, lease):
        if self._leases.pop(lease, None) is None:
            return False
        for key in [key for key, item in self._items.items() if item["lease"] == lease]:
            self._remove(key)
        return True

    def serve(self, channel):
        reader = Reader(channel)
        while True:
            request = reader.message()
            method, target, _ = request.first.split(" ")
            path, _, query = target.partition("?")
            fields = {name: values[0] for name, values in urllib.parse.parse_qs(query).items()}
            body = json.loads(request.body) if request.body else {}
            channel.sendall(json_answer(*self._handle(method, path, fields, body)))

    def _handle(self, method, path, fields, body):
        with self._changed:
            self._expire()
            if path == "/api/kv-key":
                item = self._items.get(fields["key"])
                return (200, dict(item, currentRev=self._revision)) if item else (404, {})
            if path == "/api/kv-range":
                after = fields.get("after", "")
                items = [self._items[key] for key in sorted(self._items) if key.startswith(fields["prefix"]) and key > after]
                return 200, {"items": items[:500], "hasMore": len(items) > 500, "currentRev": self._revision}
            if path == "/api/kv-watch":
                return self._watch(fields["prefix"], int(fields["after"]), int(fields["waitMs"]) / 1000)
            if path == "/api/kv-txn":
                return self._transact(body)
            if path == "/api/kv-lease":
                self._next_lease += 1
                self._leases[self._next_lease] = (time.monotonic() + body["ttlMs"] / 1000, body["ttlMs"] / 1000)
                return 200, {"lease": self._next_lease, "ttlMs": body["ttlMs"]}
            number = int(path.rsplit("/", 1)[1])
            if path.startswith("/api/kv-keep/"):
                if number not in self._leases:
                    return 404, {}
                length = self._leases[number][1]
                self._leases[number] = (time.monotonic() + length, length)
                return 200, {"ttlMs": int(length * 1000)}
            return (200, {}) if method == "DELETE" and self._end(number) else (404, {})

    def _watch(self, prefix, after, wait):
        ends = time.monotonic() + wait
        while True:
            self._expire()
            events = [item for item in self._history if item["revision"] > after and item["key"].startswith(prefix)]
            left = ends - time.monotonic()
            if events or left <= 0:
                return 200, {"events": events, "currentRev": self._revision}
            self._changed.wait(min(left, 0.1))

    def _transact(self, body):
        for row in body["expected"]:
            item = self._items.get(row["key"])
            if row["revision"] != (item["revision"] if item else 0):
                return 412, {"items": [self._items[row["key"]] for row in body["expected"] if row["key"] in self._items]}
        if any(put.get("lease", 0) and put["lease"] not in self._leases for put in body["puts"]):
            return 404, {}
        for put in body["puts"]:
            self._put(put["key"], base64.b64decode(put["value"]), put.get("lease", 0))
        for key in body["remove"]:
            self._remove(key)
        return 200, {"revision": self._revision}


class Cloud(Listener):
    """The platform's API for duties: takes all calls."""

    def serve(self, channel):
        reader = Reader(channel)
        while True:
            reader.message()
            channel.sendall(json_answer(200, {}))


class Server(Listener):
    """A server that answers each request at once; behave(channel, request) may do something else and return True."""

    def __init__(self, store, record, service, zone, slots=12, behave=None):
        self.id = "i-" + os.urandom(4).hex()
        self._store = store
        self._record = record
        self._behave = behave
        self.runs = []
        self._entry = {"service": service, "zone": zone, "version": "v1", "slots": slots, "state": "ready", "coldRemainingMs": 0, "sequence": 1}
        super().__init__()
        self._entry["address"] = self.address
        threading.Thread(target=self._beat, daemon=True).start()

    def add_fields(self, fields):
        self._entry.update(fields)

    def _beat(self):
        while True:
            self._store.put("servers/" + self.id, self._entry)
            time.sleep(1.2)
            self._entry["sequence"] += 1

    def serve(self, channel):
        reader = Reader(channel)
        while True:
            request = reader.message()
            method, target, _ = request.first.split(" ")
            attempt = request.get("X-Attempt-Id", "")
            if target == "/health":
                channel.sendall(whole(200, [("X-Instance-Id", self.id)]))
                continue
            if request.get("X-Expect-Instance", self.id) != self.id:
                channel.sendall(whole(421, [("X-Instance-Id", self.id), ("X-Not-Executed", "1"), ("X-Attempt-Id", attempt)]))
                continue
            self.runs.append(request)
            self._record(f"server {self.id} runs {method} {target} attempt={attempt} tenant={request.values('X-Tenant')}"
                         f" token-count={request.values('X-Token-Count')} last-event={request.values('Last-Event-Id')}")
            if self._behave and self._behave(channel, request):
                continue
            if target.split("/")[1] in ("verdict", "chat"):
                send_stream(channel, request, [f"token {number}" for number in range(1, 7)])
                continue
            body = f"answer to {attempt}".encode()
            channel.sendall(whole(200, self.answer_headers(request), body))

    @staticmethod
    def answer_headers(request):
        return [("X-Attempt-Id", request.get("X-Attempt-Id", "")), ("X-Response-Stamp", "3e1b.07.5a2.600.0.c9f2a4d1"), ("Keep-Alive", "timeout=30")]


def send_stream(channel, request, texts):
    """A whole stream of one event for each text, from Last-Event-Id on."""
    first = int(request.get("Last-Event-Id") or 0)
    channel.sendall(response(200, Server.answer_headers(request) + [("Content-Type", "text/event-stream"), ("Transfer-Encoding", "chunked")]))
    for number, text in enumerate(texts[first:], first + 1):
        event = f"id: {number}\ndata: {text}\n\n".encode()
        channel.sendall(b"%x\r\n%s\r\n" % (len(event), event))
    channel.sendall(b"0\r\n\r\n")


def route(name, kind, service, timeout, target, attempts, resumable=False):
    entry = {"name": "r-" + name, "hostname": HOST, "prefix": f"/{name}/", "kind": kind, "service": service, "timeoutMs": timeout,
             "targetLatencyMs": target, "priority": 1, "maxAttempts": attempts, "allowAnonymous": False, "sticky": kind == "streaming"}
    if kind == "streaming":
        entry.update({"resumable": resumable, "gapAimMs": 150})
    return entry


def configuration():
    """The routes of tks-bundles."""
    return {"version": 7,
            "routes": [route("verdict", "streaming", "lm-pool", 8000, 600, 2, True),
                       route("chat", "streaming", "lm-pool", 4000, 250, 1),
                       route("order", "non_idempotent", "shop-app", 1000, 150, 1),
                       route("look", "idempotent", "shop-app", 1000, 150, 2)],
            "services": [{"name": "lm-pool", "healthPath": "/health", "maxConnections": 180, "protocol": "h1", "tls": False},
                         {"name": "shop-app", "healthPath": "/health", "maxConnections": 110, "protocol": "h1", "tls": False}],
            "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
            "tenants": [{"name": name, "apiKeys": [key], "priority": 1} for name, key in KEYS.items()]}


# The bounds of tks-bundles.
BOUNDS = {"drainMs": 2000, "graceS": 8, "configMs": 2000, "revokeMs": 5000, "budgetSlack": 56, "leaseMs": 3000, "reportWindowS": 5, "usageLateS": 10}


class Gateway:
    """A gateway process on an address of its own, started with the command of the deploy file."""

    def __init__(self, number, deployment):
        self.name = f"front-{ZONES[number]}-1"
        self.ip = f"{deployment.network}.{number + 1}"
        self._fields = {"nodeName": self.name, "zone": ZONES[number], "ip": self.ip, "internalPorts": [7660, 7675],
                        "listen": {"front": f"{self.ip}:8405", "ready": f"{self.ip}:8406"}, "provider": {"address": deployment.store.address},
                        "cloud": {"address": deployment.cloud.address}, "bounds": dict(BOUNDS)}
        self._settings = os.path.join(deployment.folder, self.name + ".settings")
        self._log = open(os.path.join(deployment.folder, self.name + ".log"), "w", encoding="utf-8")
        self.write_settings()
        self.process = None
        self.start()

    def write_settings(self, **bounds):
        """Fills in the project's template, with other bounds if given."""
        self._fields["bounds"].update(bounds)
        with open(os.path.join(ROOT, "platform", "settings.template"), encoding="utf-8") as template:
            text = render(template.read(), self._fields)
        with open(self._settings, "w", encoding="utf-8") as file:
            file.write(text)

    def start(self):
        self.process = subprocess.Popen([PROGRAM, "gateway"], cwd=ROOT, stdout=self._log, stderr=self._log,
                                        env={"PATH": os.environ["PATH"], "COWSLIPHEAD_SETTINGS": self._settings})

    def hang_up(self):
        self.process.send_signal(signal.SIGHUP)

    def connect(self):
        """A new channel of a client."""
        return socket.create_connection((self.ip, 8405), 1)

    def is_ready(self):
        try:
            with socket.create_connection((self.ip, 8406), 1) as channel:
                channel.settimeout(1)
                channel.sendall(b"GET /api/readiness HTTP/1.1\r\nHost: ready\r\nConnection: close\r\n\r\n")
                return Reader(channel).head().first.split(" ")[1] == "200"
        except (OSError, EOFError):
            return False

    def log_tail(self, lines=5):
        with open(self._log.name, encoding="utf-8", errors="replace") as file:
            return file.read().splitlines()[-lines:]

    def end(self):
        if self.process.poll() is None:
            self.process.kill()
        self.process.wait()


class Deployment:
    """Store, platform API and one gateway in each zone."""

    def __init__(self, gateways=3):
        if not os.access(PROGRAM, os.X_OK):
            raise CannotRun("target/cowsliphead is missing; run the build of deploy/system.toml first")
        self.folder = tempfile.mkdtemp(prefix="review-")
        self.network = f"127.{random.randrange(1, 255)}.{random.randrange(255)}"
        self.store = Store()
        self.cloud = Cloud()
        self.store.put("op/config", configuration())
        self.gateways = []
        self._count = gateways

    def start_gateways(self):
        for number in range(self._count):
            self.gateways.append(Gateway(number, self))
        ends = time.monotonic() + 15
        while not all(gateway.is_ready() for gateway in self.gateways):
            if time.monotonic() > ends:
                raise CannotRun("the gateways did not become ready")
            time.sleep(0.1)
        # All machines are calm for contactMs.
        time.sleep(3.5)

    def end(self):
        for gateway in self.gateways:
            gateway.end()
        shutil.rmtree(self.folder, ignore_errors=True)


def request_bytes(method, target, headers, body=b"", chunked=False, trailers=()):
    lines = [f"{method} {target} HTTP/1.1", f"Host: {HOST}"]
    lines += [f"{name}: {value}" for name, value in headers]
    if chunked:
        lines.append("Transfer-Encoding: chunked")
        payload = b"%x\r\n%s\r\n0\r\n" % (len(body), body)
        payload += b"".join(f"{name}: {value}\r\n".encode() for name, value in trailers) + b"\r\n"
    else:
        lines.append(f"Content-Length: {len(body)}")
        payload = body
    return ("\r\n".join(lines) + "\r\n\r\n").encode() + payload


def attempt_id():
    return os.urandom(8).hex()


def main(record_folder, case):
    """Runs case(deployment, record, is_disturbed), which returns True if the rule held. Exits with 0, 1 or 2."""
    try:
        record = Record(os.path.join(record_folder, "record.txt"))
    except OSError:
        os._exit(2)

    def give_up(number, _):
        raise CannotRun("took longer than 110 s" if number == signal.SIGALRM else "was stopped")

    for number in (signal.SIGALRM, signal.SIGTERM, signal.SIGINT):
        signal.signal(number, give_up)
    signal.alarm(110)
    deployment = None
    code = 2
    try:
        deployment = Deployment()
        held = case(deployment, record, os.environ.get("TROUBLE", "1") != "0")
        record("the rule held" if held else "the rule was BROKEN")
        code = 0 if held else 1
    except CannotRun as error:
        record(f"could not run: {error}")
    except Exception as error:  # whatever it is, it shows nothing about the rule
        record(f"could not run: {error!r}")
    finally:
        for number in (signal.SIGALRM, signal.SIGTERM, signal.SIGINT):
            signal.signal(number, signal.SIG_IGN)
        if deployment:
            deployment.end()
        os._exit(code)
