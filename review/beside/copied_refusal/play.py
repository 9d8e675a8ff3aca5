"""No case, but a play for an entry of KNOWN-RED.txt: a second copy of a refusal passes for the answer to the next write.

    python3 -B review/beside/copied_refusal/play.py

It exits with 1 if a write that must never run twice ran twice, or was refused though it ran; 0 if none did; 2 if it couldn't run.
TROUBLE=0 leaves the copies out. It uses the stand-ins and the settings of case 1.
"""

import os
import random
import sys
import threading
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
CASE_1 = os.path.join(os.path.dirname(os.path.dirname(FOLDER)), "1")
sys.path.insert(0, CASE_1)
import standins as s

PLAY_S = 30.0
CLIENTS, BURST_S = 10, 0.7
SETS, MEMBERS = 2, 4
# The queue of a primary is full with other proxies' requests for so long, and then has room for as long. One in so many refusals
# has a copy.
FULL_S, WORK_S, COPIED = 0.002, (0.005, 0.015), 5
# Db hosts close idle connections early. Connections come up in this time, and behind each answer the stream has this gap.
IDLE_S, COMES_UP_S, GAP_S = 0.4, (0.005, 0.06), 0.006


def settings():
    with open(os.path.join(CASE_1, "case.py")) as f:
        text = f.read()
    names = {}
    exec(text[text.index("SETTINGS = {"):text.index("\nclass ")], names)
    return names["SETTINGS"]


class HostStream(s.Stream):
    """A connection at a db host, which closes it early when it is idle."""

    def message(self):
        self.sock.settimeout(IDLE_S)
        try:
            return super().message()
        except s.socket.timeout:
            raise s.Closed("idle")
        finally:
            self.sock.settimeout(None)


class Member(s.DbHost):
    """A db host whose answers tell no position, but for writes that went through."""

    def __init__(self, cell, number, record):
        self.cell, self.primary = cell, number == 1
        self.runs, self.refusals, self.copies, self.guard = {}, 0, 0, threading.Lock()
        super().__init__("m-%d-%d" % (cell, number), record)

    def connection(self, stream, number):
        super().connection(HostStream(stream.sock), number)

    def come_up(self, number):
        time.sleep(random.uniform(*COMES_UP_S))

    def report(self):
        behind = 0.0 if self.primary else 0.01
        return "x0=%.3f,x1=%d,queue=0" % (time.time() - behind, self.primary)

    def serve(self, stream, number, statement):
        role = s.parameter("replication_role", "primary" if self.primary else "standby")
        if not statement.writes:
            stream.send(s.row_answer(b"x", "SELECT 1") + role + s.READY)
        elif not self.primary:
            stream.send(s.error_answer("25006", "cannot execute INSERT in a read-only transaction") + role + s.READY)
        elif self.begin(number, statement):
            time.sleep(random.uniform(*WORK_S))
            position = s.parameter("log_position", "%d" % (s.unix_ms() + 1))
            stream.send(s.row_answer(b"\x9f\x03", "INSERT 0 1") + role + position + s.READY)
            self.record.line("db host", self.name, "connection", number, "answers", statement.id)
        else:
            answer = s.error_answer("53300", "queue full") + role + s.READY
            # A copy comes only where nothing else waits on the connection.
            copied = s.TROUBLE and self.refusals % COPIED == 0 and not stream.is_waiting()
            self.copies += copied
            stream.send(answer + answer if copied else answer)
            self.record.line("db host", self.name, "connection", number, "turns away", statement.id,
                             "and once more right behind" if copied else "")

    def begin(self, number, statement):
        with self.guard:
            if time.monotonic() // FULL_S % 2 == 0:
                self.refusals += 1
                return False
            self.runs.setdefault(statement.id, []).append(number)
        self.record.line("db host", self.name, "connection", number, "RUNS", statement.id)
        return True


class Network:
    """The way from the proxy to a db host: a gap behind ReadyForQuery where more stands there. It passes ends on."""

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
                piece, tag = b"", b""
                while tag != b"Z":
                    tag, body = far.message()
                    piece += s.message(tag, body)
                near.send(piece)
                if far.is_waiting():
                    time.sleep(GAP_S)
        except (s.Closed, OSError):
            pass
        self.end(near)
        self.end(far)

    def there(self, near, far):
        try:
            while True:
                data = near.sock.recv(65536)
                if not data:
                    break
                far.sock.sendall(data)
        except OSError:
            pass
        self.end(far)

    @staticmethod
    def end(stream):
        try:
            stream.sock.shutdown(s.socket.SHUT_RDWR)
        except OSError:
            pass


def play_case(play):
    record = play.record
    members = [Member(cell, number, record) for cell in range(1, SETS + 1) for number in range(1, MEMBERS + 1)]
    ways = [Network(m.addr) for m in members]
    listed = [s.instance(m.name, w.addr, m.cell, "ikeja-room", m.primary) for m, w in zip(members, ways)]
    addr, _ = play.start_proxy("n0", settings(), s.Discovery(listed))
    answers, counts, guard = {}, {}, threading.Lock()
    began = time.monotonic()

    def ask(number):
        client, n = s.Client(addr), 0
        while time.monotonic() < began + PLAY_S:
            # All clients ask at once, once in a while.
            n += 1
            time.sleep(max(0.0, began + n * BURST_S - time.monotonic()))
            ident = "c%x%05x" % (number, n)
            text = ("/* id=%s,c=map-write,d=2500,k=%x,cluster=1 */ INSERT INTO facts (code, data) VALUES ('%x%015x', '\\x9f03') "
                    "RETURNING data" % (ident, (number << 20) + n, number, n))
            record.line("client", number, "sends", ident)
            answers[ident] = client.ask(text, 3.5)
            record.line("client", number, "gets", ident, *answers[ident])
            with guard:
                counts[answers[ident][0]] = counts.get(answers[ident][0], 0) + 1

    threads = [s.thread(ask, n) for n in range(1, CLIENTS + 1)]
    for t in threads:
        t.join()
    time.sleep(0.5)
    runs = {ident: on for m in members for ident, on in m.runs.items()}
    twice = {ident: on for ident, on in runs.items() if len(on) > 1}
    denied = [ident for ident, answer in answers.items() if answer[0] == "refused" and ident in runs]
    for ident, on in twice.items():
        record.line("BROKEN", ident, "ran", len(on), "times, on connections", on, "its client got", *answers[ident])
    for ident in denied:
        record.line("BROKEN", ident, "was refused, and ran on connections", runs[ident])
    copies = sum(m.copies for m in members)
    print(f"{counts}, {len(twice)} ran twice, {len(denied)} refused though they ran, "
          f"{sum(m.refusals for m in members)} turned away by db hosts, {copies} of these once more")
    if not counts.get("served") or (s.TROUBLE and not copies):
        raise s.NotRun("no write was served, or no refusal came twice")
    return s.BROKEN if twice or denied else s.HELD


s.main(FOLDER, play_case)
