"""Case 2: a client is served with the value of another client's request."""

import os
import random
import sys
import threading
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, FOLDER)
import standins as s

PLAY_S = 25.0
CLIENTS = 8
WORK_S = (0.09, 0.16)
# One answer in so many brings a second copy right behind.
COPIED = 10
# One fact in so many is a long one, of more than the 64 KiB up to which an answer is buffered whole.
LONG, LONG_BYTES = 4, 100 * 1024
# The network cuts an answer here and there, and what follows comes so much later.
GAP_S = 0.006

SETTINGS = {
    "allowed": {"connIdle": 30000.0, "connectTimeout": 250.0, "cpuUsPerRequest": 0.0, "cpuUsPerS": 500000, "maxOpen": 20000,
                "maxRetryAfter": 2000.0, "mayCancel": True, "peers": False, "probing": True, "retryAfter": True,
                "secondCopies": False, "sendCap": 8, "streamsPerConn": 1},
    "categories": [
        {"deadline": 1200.0, "group": "all", "keyTtl": 5000.0, "lateWorth": 0.0, "name": "page-read", "repeat": "pure",
         "slo": 500.0, "stream": False, "worth": 2.0},
        {"deadline": 2000.0, "group": "all", "keyTtl": 5000.0, "lateWorth": 0.0, "name": "own-read", "repeat": "pure",
         "slo": 600.0, "stream": False, "worth": 1.0},
        {"deadline": 3000.0, "group": "cell", "keyTtl": 2000.0, "lateWorth": 0.3, "name": "tally-write", "repeat": "token",
         "slo": 600.0, "stream": False, "worth": 3.0},
    ],
    "clients": {"marksRetry": True},
    "customers": [],
    "failureDomains": ["wdh-north", "wdh-south"],
    "family": "replicas",
    "familyInfo": {"catchUpWait": 0.0, "lagAllowed": [200.0, 0.0, 0.0], "positionZero": 0.0, "positions": True,
                   "readLevel": ["lag_bound", "causal", "mutate"], "reportX0": "position in seconds after zero",
                   "reportX1": "1 from a primary", "roleListed": "static", "sessionMarks": "brought", "waitsForCopy": False,
                   "whenBehind": "bounce"},
    "feedback": {"fields": ["x0", "x1"], "how": "pull"},
    "fleetSize": 1, "layer": 0, "me": 0, "membershipMode": "on_request", "overShareWorth": 0.1,
    "penalties": {"crossZone": 0.013, "lateFail": 0.054, "probe": 0.04, "waste": 0.1},
    "rules": {"answerSlack": 20.0, "cold": 18000.0, "coldShare": 0.17, "drainGrace": 250.0, "fall": 3000.0,
              "fallMultiple": 4.0, "mustAskIn": 10000.0},
    "skus": ["std-3core"], "tick": 5.0, "tiers": ["tally-db"], "valueBy": "request", "weightKind": "nominal",
    "zone": "wdh-south",
}


def is_long(code):
    return int(code, 16) % LONG == 0


def value_of(code):
    """The data of a fact: no two facts have the same."""
    data = b"data of " + code.encode()
    return data.ljust(LONG_BYTES, b".") if is_long(code) else data


class Member(s.DbHost):
    """A db host. It writes an answer, and its second copy where there is one, at once; `Network` lies between it and the proxy."""

    def __init__(self, name, record, primary):
        self.primary, self.behind_ms = primary, 0.0 if primary else 8.0
        self.answers, self.lock_answers = 0, threading.Lock()
        super().__init__(name, record)

    def report(self):
        return "x0=%.3f,x1=%d" % ((s.unix_ms() - self.behind_ms) / 1000.0, self.primary)

    def serve(self, stream, number, statement):
        own = s.parameter("replication_role", "primary" if self.primary else "standby")
        position = s.parameter("log_position", "%d" % (s.unix_ms() - self.behind_ms))
        if statement.writes and not self.primary:
            stream.send(s.error_answer("25006", "cannot execute INSERT in a read-only transaction") + own + position + s.READY)
            return
        self.record.line("db host", self.name, "connection", number, "has", statement.id, "for", statement.literals[0])
        time.sleep(random.uniform(*WORK_S))
        position = s.parameter("log_position", "%d" % (s.unix_ms() - self.behind_ms + statement.writes))
        tag = "INSERT 0 1" if statement.writes else "SELECT 1"
        answer = s.row_answer(value_of(statement.literals[0]), tag) + own + position + s.READY
        with self.lock_answers:
            self.answers += 1
            copied = s.TROUBLE and self.answers % COPIED == 0
        # A copy comes only where nothing else waits on the connection.
        copied = copied and not stream.is_waiting()
        stream.send(answer + answer if copied else answer)
        self.record.line("db host", self.name, "connection", number, "answers", statement.id,
                         "and once more right behind" if copied else "")


class Network:
    """The way from the proxy to a db host: what the db host writes comes in pieces. It cuts behind ReadyForQuery, and behind a
    short answer before that, too."""

    def __init__(self, to):
        host, port = to.rsplit(":", 1)
        self.to, self.sock = (host, int(port)), s.listen()
        self.addr = "%s:%d" % self.sock.getsockname()
        s.thread(self.accept)

    def accept(self):
        while True:
            sock, _ = self.sock.accept()
            s.thread(self.carry, s.Stream(sock))

    def carry(self, near):
        far = s.Stream(s.socket.create_connection(self.to))
        s.thread(self.there, near, far)
        try:
            while True:
                tag, body = far.message()
                piece = s.message(tag, body)
                while tag != b"Z" and (tag != b"C" or len(piece) >= LONG_BYTES):
                    tag, body = far.message()
                    piece += s.message(tag, body)
                near.send(piece)
                # What the db host has written by now comes later.
                if tag == b"C" or far.is_waiting():
                    time.sleep(GAP_S)
        except (s.Closed, OSError):
            pass
        near.close()
        far.close()

    def there(self, near, far):
        try:
            while True:
                data = near.sock.recv(65536)
                if not data:
                    break
                far.sock.sendall(data)
        except OSError:
            pass
        try:
            far.sock.shutdown(s.socket.SHUT_RDWR)
        except OSError:
            pass


def play_case(play):
    record = play.record
    members = [Member("s-1", record, True), Member("s-2", record, False), Member("s-3", record, False)]
    ways = [Network(m.addr) for m in members]
    listed = [s.instance(m.name, w.addr, 1, "wdh-south", m.primary) for m, w in zip(members, ways)]
    addr, _ = play.start_proxy("n0", SETTINGS, s.Discovery(listed))
    wrong, counts, lock = [], {}, threading.Lock()
    end = time.monotonic() + PLAY_S

    def ask(number):
        client, rng, n = s.Client(addr), random.Random(number), 0
        while time.monotonic() < end:
            n += 1
            ident, code = "c%x%05x" % (number, n), "%x%015x" % (number, n)
            if rng.random() < 0.2:
                text = ("/* id=%s,c=tally-write,d=3000,k=%x%08x,cluster=1 */ INSERT INTO facts (code, data) VALUES ('%s', "
                        "'\\x9f') RETURNING data" % (ident, number, n, code))
            else:
                text = "/* id=%s,c=page-read,d=1200,cluster=1 */ SELECT data FROM facts WHERE code = '%s'" % (ident, code)
            record.line("client", number, "asks", ident, "for", code)
            what, value = client.ask(text, 3.5)
            record.line("client", number, "gets", ident, what, len(value), "bytes:", value[:40])
            with lock:
                counts[what] = counts.get(what, 0) + 1
                if what == "served" and value != value_of(code):
                    wrong.append(len(value) >= LONG_BYTES)
                    record.line("BROKEN", ident, "asked for", code, "and was served with", value[:40])

    threads = [s.thread(ask, n) for n in range(1, CLIENTS + 1)]
    for t in threads:
        t.join()
    print(f"answers {counts}, {len(wrong)} with another request's value ({sum(wrong)} of them long ones)")
    if not counts.get("served"):
        raise s.NotRun("nothing was served")
    return s.BROKEN if wrong else s.HELD


s.main(FOLDER, play_case)
