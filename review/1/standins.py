"""Stand-ins of this case: discovery, db hosts, clients, and the start of the proxy.

They are written from the protocol pages and use Python's standard library alone. All addresses are on 127.0.0.1, at ports that
the system gives.
"""

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
import threading
import time
import traceback

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
HELD, BROKEN, NOT_RUN = 0, 1, 2
TROUBLE = os.environ.get("TROUBLE", "1") != "0"


def unix_ms():
    """All machines read one clock."""
    return time.time() * 1000.0


# ---- PostgreSQL's protocol, version 3 ----


def message(tag, body=b""):
    return tag + struct.pack("!I", len(body) + 4) + body


def parameter(name, value):
    return message(b"S", name.encode() + b"\0" + value.encode() + b"\0")


def row_answer(value, tag):
    """One row of one binary column, and CommandComplete."""
    description = struct.pack("!H", 1) + b"data\0" + struct.pack("!IHIhih", 0, 0, 17, -1, -1, 1)
    row = struct.pack("!HI", 1, len(value)) + value
    return message(b"T", description) + message(b"D", row) + message(b"C", tag.encode() + b"\0")


def error_answer(code, text):
    fields = b"".join(k + v.encode() + b"\0" for k, v in ((b"S", "ERROR"), (b"V", "ERROR"), (b"C", code), (b"M", text)))
    return message(b"E", fields + b"\0")


READY = message(b"Z", b"I")


class Closed(Exception):
    """The peer has ended the connection."""


class Stream:
    """A socket that is read message by message."""

    def __init__(self, sock):
        self.sock = sock
        self.sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.buffer = b""

    def exactly(self, n):
        while len(self.buffer) < n:
            try:
                more = self.sock.recv(65536)
            except socket.timeout:
                raise
            except OSError as e:
                raise Closed(str(e))
            if not more:
                raise Closed("end of stream")
            self.buffer += more
        taken, self.buffer = self.buffer[:n], self.buffer[n:]
        return taken

    def startup(self):
        (size,) = struct.unpack("!I", self.exactly(4))
        return self.exactly(size - 4)

    def message(self):
        head = self.exactly(5)
        (size,) = struct.unpack("!I", head[1:])
        return head[:1], self.exactly(size - 4)

    def is_waiting(self):
        """Whether bytes of a further request stand unread."""
        if self.buffer:
            return True
        try:
            self.sock.setblocking(False)
            return bool(self.sock.recv(1, socket.MSG_PEEK))
        except OSError:
            return False
        finally:
            self.sock.setblocking(True)

    def send(self, data):
        try:
            self.sock.sendall(data)
        except OSError as e:
            raise Closed(str(e))

    def close(self):
        try:
            self.sock.close()
        except OSError:
            pass

    def send_and_reset(self, data):
        """Writes the last bytes and ends the connection with a reset, as that of a process that dies."""
        self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        try:
            self.sock.sendall(data)
            self.sock.close()
        except OSError as e:
            raise Closed(str(e))


def listen():
    sock = socket.socket()
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    sock.bind(("127.0.0.1", 0))
    sock.listen(256)
    return sock


def thread(target, *args):
    t = threading.Thread(target=target, args=args, daemon=True)
    t.start()
    return t


# ---- What was sent, answered and run ----


class Record:
    def __init__(self, path):
        self.began = time.monotonic()
        self.lock = threading.Lock()
        self.file = open(path, "w")

    def line(self, *words):
        with self.lock:
            at = time.monotonic() - self.began
            self.file.write(f"{at:9.4f} " + " ".join(str(w) for w in words) + "\n")

    def close(self):
        with self.lock:
            self.file.flush()
            self.file.close()


# ---- Db hosts ----


class Statement:
    """A statement with its routing comment."""

    FORM = re.compile(r"^/\* (.*?) \*/ (SELECT data FROM facts|INSERT INTO facts)\b(.*)$", re.S)

    def __init__(self, text):
        found = self.FORM.match(text)
        self.known = found is not None
        if self.known:
            self.fields = dict(pair.split("=", 1) for pair in found.group(1).split(","))
            self.writes = found.group(2).startswith("INSERT")
            self.literals = re.findall(r"'([^']*)'", found.group(3))
            self.id = self.fields["id"]


class DbHost:
    """A db host: a thread a connection, one request at a time. What it answers is told by `serve`."""

    def __init__(self, name, record):
        self.name, self.record = name, record
        self.sock = listen()
        self.addr = "%s:%d" % self.sock.getsockname()
        self.next, self.lock = 0, threading.Lock()
        thread(self.accept)

    def accept(self):
        while True:
            try:
                sock, _ = self.sock.accept()
            except OSError:
                return
            with self.lock:
                number, self.next = self.next, self.next + 1
            thread(self.connection, Stream(sock), number)

    # Whether a connection is closed behind a load report, as a db host may.
    closes_behind_reports = False

    def come_up(self, number):
        """Takes the time that this connection needs to come up."""

    def connection(self, stream, number):
        try:
            stream.startup()
            self.come_up(number)
            stream.send(message(b"R", struct.pack("!I", 0)) + READY)
            while True:
                tag, body = stream.message()
                if tag == b"X":
                    break
                text = body[:-1].decode()
                if tag != b"Q":
                    stream.send(error_answer("08P01", "not a simple query") + READY)
                elif not text.strip():
                    stream.send(message(b"I") + READY)
                elif text.split()[0].upper() in ("SET", "RESET", "DISCARD"):
                    stream.send(message(b"C", text.split()[0].upper().encode() + b"\0") + READY)
                elif text == "SELECT 1":
                    stream.send(row_answer(b"1", "SELECT 1") + READY)
                elif text == "SHOW pressure":
                    stream.send(row_answer(self.report().encode(), "SHOW") + READY)
                    if self.closes_behind_reports:
                        break
                else:
                    statement = Statement(text)
                    if statement.known:
                        self.serve(stream, number, statement)
                    else:
                        stream.send(error_answer("08P01", "no client sent this") + READY)
        except Closed:
            pass
        finally:
            stream.close()


# ---- Discovery ----


def instance(name, addr, cell, zone, primary=None):
    entry = {
        "instanceId": name,
        "hostPort": addr,
        "zone": zone,
        "machineType": "std",
        "cell": cell,
        "lifecycle": "ready",
        "weight": 1.0,
        "startedAtMs": 0,
    }
    if primary is not None:
        entry["replication"] = "primary" if primary else "standby"
    return entry


class Discovery:
    """The whole list, and a watch that brings an empty line every 2 s: here nothing changes."""

    def __init__(self, instances):
        self.whole = {"generation": 1, "reset": True, "instances": instances}
        self.sock = listen()
        self.addr = "%s:%d" % self.sock.getsockname()
        thread(self.accept)

    def accept(self):
        while True:
            try:
                sock, _ = self.sock.accept()
            except OSError:
                return
            thread(self.call, sock)

    def call(self, sock):
        try:
            request = b""
            while b"\r\n\r\n" not in request:
                more = sock.recv(4096)
                if not more:
                    return
                request += more
            line = json.dumps(self.whole).encode() + b"\n"
            if b"stream=1" not in request.split(b"\r\n")[0]:
                sock.sendall(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(line) + line)
                return
            sock.sendall(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
            while True:
                sock.sendall(b"%x\r\n" % len(line) + line + b"\r\n")
                line = b"\n"
                time.sleep(2)
        except OSError:
            pass
        finally:
            sock.close()


# ---- Clients ----


class Client:
    """A client of one proxy, which keeps its connection and opens another one where that has ended."""

    def __init__(self, addr):
        host, port = addr.rsplit(":", 1)
        self.addr, self.stream = (host, int(port)), None

    def connect(self, timeout):
        sock = socket.create_connection(self.addr, timeout=timeout)
        self.stream = Stream(sock)
        body = struct.pack("!I", 196608) + b"user\0portal\0database\0crm\0\0"
        sock.sendall(struct.pack("!I", len(body) + 4) + body)
        while self.stream.message()[0] != b"Z":
            pass

    def ask(self, text, timeout):
        """Gives ('served', value), ('refused', code), ('failed', code) or ('lost', why)."""
        try:
            if self.stream is None:
                self.connect(timeout)
            self.stream.sock.settimeout(timeout)
            self.stream.sock.sendall(message(b"Q", text.encode() + b"\0"))
            value, code, empty = None, None, False
            while True:
                tag, body = self.stream.message()
                if tag == b"D":
                    value = body[6:]
                elif tag == b"E":
                    code = [f[1:].decode() for f in body.split(b"\0") if f[:1] == b"C"][0]
                elif tag == b"I":
                    empty = True
                elif tag == b"Z":
                    break
            if code in ("53300", "57P03"):
                return "refused", code
            if code is not None:
                return "failed", code
            return ("empty", b"") if empty else ("served", value)
        except (OSError, Closed) as e:
            if self.stream is not None:
                self.stream.close()
            self.stream = None
            return "lost", str(e) or type(e).__name__


# ---- The proxy, and the play ----


def free_addr():
    sock = listen()
    addr = "%s:%d" % sock.getsockname()
    sock.close()
    return addr


class NotRun(Exception):
    """The case can't be run."""


class Play:
    """One run of a case: a folder of its own, processes that it ends, a record, a watchdog."""

    def __init__(self, folder):
        self.record = Record(os.path.join(folder, "record.txt"))
        self.tmp = tempfile.mkdtemp(prefix="review-")
        self.processes = []
        self.record.line("trouble", "on" if TROUBLE else "off")

    def start_proxy(self, name, settings, discovery, **more):
        """Starts a proxy with the command of the deploy file, and waits until it answers the empty query. `more` goes into its
        configuration."""
        with open(os.path.join(ROOT, "deploy", "balancer.toml")) as f:
            run = re.search(r'^run *= *"(.*)"', f.read(), re.M).group(1)
        if not os.path.exists(os.path.join(ROOT, "target", "release", "gradeshunt")):
            raise NotRun("the program is not built")
        addr, shared = free_addr(), os.path.join(self.tmp, name)
        os.makedirs(os.path.join(shared, "tmp"))
        path = os.path.join(shared, "config.json")
        config = {
            "name": name,
            "listen": addr,
            "discovery": discovery.addr,
            "seed": "8c1f30d27a5be964",
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
            "known": discovery.whole,
            "settings": settings,
            **more,
        }
        with open(path, "w") as f:
            json.dump(config, f)
        env = {k: v for k, v in os.environ.items() if not k.startswith("ROUTER_")}
        env.update(ROUTER_NAME=name, ROUTER_LISTEN=addr, ROUTER_DISCOVERY=discovery.addr, ROUTER_CONFIG=path)
        env.update(TMPDIR=os.path.join(shared, "tmp"))
        with open(os.path.join(shared, "log"), "w") as log:
            process = subprocess.Popen(["/bin/sh", "-c", run], cwd=ROOT, env=env, stdout=log, stderr=log)
        self.processes.append(process)
        client, began = Client(addr), time.monotonic()
        while client.ask("", 1.0)[0] != "empty":
            if process.poll() is not None or time.monotonic() - began > 20:
                raise NotRun("the proxy does not come up")
            time.sleep(0.05)
        self.record.line("proxy", name, "is ready")
        return addr, process

    def check_alive(self):
        """A proxy that has ended by itself answers nothing: the case says nothing then."""
        if any(process.poll() is not None for process in self.processes):
            raise NotRun("a proxy has ended by itself")

    def end(self):
        for process in self.processes:
            if process.poll() is None:
                process.kill()
            process.wait()
        shutil.rmtree(self.tmp, ignore_errors=True)


def main(folder, play_case):
    """Plays a case and exits with its result."""
    try:
        play = Play(folder)
    except OSError as e:
        print("not run:", e)
        sys.exit(NOT_RUN)

    def stop(*_):
        raise NotRun("it takes too long")

    signal.signal(signal.SIGALRM, stop)
    signal.signal(signal.SIGTERM, stop)
    signal.alarm(110)
    try:
        result = play_case(play)
        play.check_alive()
    except Exception as e:
        if not isinstance(e, NotRun):
            traceback.print_exc()
        play.record.line("not run:", repr(e))
        print("not run:", e)
        result = NOT_RUN
    finally:
        signal.alarm(0)
        play.end()
    play.record.line("result", result)
    play.record.close()
    sys.stdout.flush()
    os._exit(result)
