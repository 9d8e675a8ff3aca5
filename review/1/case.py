"""Case 1: a write that must never run twice runs twice."""

import os
import sys
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, FOLDER)
import standins as s

WRITES = 120
WORK_S = 0.09
# Two sets of four db hosts. One of the eight is failing, the primary of the first set: of the writes that a connection of it gets,
# these end in an error, all in the same words. With the disruption it resets the connection behind the last one.
SETS, MEMBERS = 2, 4
ERRORS = (4, 8)

# The site's figures, with the write's class as one that must never run twice.
SETTINGS = {
    "allowed": {"connIdle": 30000.0, "connectTimeout": 250.0, "cpuUsPerRequest": 0.0, "cpuUsPerS": 80000, "maxOpen": 20000,
                "maxRetryAfter": 2000.0, "mayCancel": True, "peers": False, "probing": True, "retryAfter": True,
                "secondCopies": False, "sendCap": 8, "streamsPerConn": 1},
    "categories": [
        {"deadline": 1200.0, "group": "all", "keyTtl": 5000.0, "lateWorth": 0.0, "name": "map-read", "repeat": "pure",
         "slo": 400.0, "stream": False, "worth": 2.0},
        {"deadline": 2000.0, "group": "all", "keyTtl": 5000.0, "lateWorth": 0.0, "name": "own-edit-read", "repeat": "pure",
         "slo": 500.0, "stream": False, "worth": 3.0},
        {"deadline": 1500.0, "group": "all", "keyTtl": 5000.0, "lateWorth": 0.0, "name": "live-read", "repeat": "pure",
         "slo": 500.0, "stream": False, "worth": 1.0},
        {"deadline": 3000.0, "group": "cell", "keyTtl": 2000.0, "lateWorth": 0.7, "name": "map-write",
         "repeat": "side_effect", "slo": 1200.0, "stream": False, "worth": 6.0},
    ],
    "clients": {"marksRetry": True},
    "customers": [],
    "failureDomains": ["ikeja-room"],
    "family": "replicas",
    "familyInfo": {"catchUpWait": 100.0, "lagAllowed": [500.0, 0.0, 0.0, 0.0], "positionZero": 0.0, "positions": False,
                   "readLevel": ["lag_bound", "causal", "strong", "mutate"], "reportX0": "position in seconds after zero",
                   "reportX1": "1 from a primary", "roleListed": "trailing", "sessionMarks": "kept", "waitsForCopy": True,
                   "whenBehind": "await"},
    "feedback": {"fields": ["x0", "x1", "queue"], "how": "pull"},
    "fleetSize": 1, "layer": 0, "me": 0, "membershipMode": "on_request", "overShareWorth": 0.1,
    "penalties": {"crossZone": 0.0, "lateFail": 0.094, "probe": 0.01, "waste": 0.16},
    "rules": {"answerSlack": 20.0, "cold": 18000.0, "coldShare": 0.21, "drainGrace": 2000.0, "fall": 2000.0,
              "fallMultiple": 4.0, "mustAskIn": 10000.0},
    "skus": ["std-4core"], "tick": 5.0, "tiers": ["map-db"], "valueBy": "request", "weightKind": "silent",
    "zone": "ikeja-room",
}


class Member(s.DbHost):
    """A db host of a set whose answers tell no position, but for writes that went through."""

    def __init__(self, cell, number, record):
        self.cell, self.primary, self.failing = cell, number == 1, (cell, number) == (1, 1)
        self.runs, self.writes_on, self.resets = {}, {}, 0
        super().__init__("m-%d-%d" % (cell, number), record)

    def report(self):
        behind = 0.0 if self.primary else 0.01
        return "x0=%.3f,x1=%d,queue=0" % (time.time() - behind, self.primary)

    def role(self):
        return s.parameter("replication_role", "primary" if self.primary else "standby")

    def serve(self, stream, number, statement):
        if not statement.writes:
            stream.send(s.row_answer(b"x", "SELECT 1") + self.role() + s.READY)
            return
        if not self.primary:
            stream.send(s.error_answer("25006", "cannot execute INSERT in a read-only transaction") + self.role() + s.READY)
            return
        self.record.line("db host", self.name, "connection", number, "has", statement.id, "whole")
        time.sleep(WORK_S)
        self.runs.setdefault(statement.id, []).append(number)
        self.record.line("db host", self.name, "connection", number, "RUNS", statement.id)
        n = self.writes_on[number] = self.writes_on.get(number, 0) + 1
        if not self.failing or n not in ERRORS:
            position = s.parameter("log_position", "%d" % (s.unix_ms() + 1))
            stream.send(s.row_answer(b"\x9f\x03", "INSERT 0 1") + self.role() + position + s.READY)
            self.record.line("db host", self.name, "connection", number, "answers", statement.id, "with its row")
            return
        answer = s.error_answer("XX000", "internal error") + self.role() + s.READY
        resets = s.TROUBLE and n == ERRORS[-1]
        if resets:
            stream.send_and_reset(answer)
        else:
            stream.send(answer)
        self.record.line("db host", self.name, "connection", number, "answers", statement.id, "with XX000")
        if resets:
            self.resets += 1
            self.record.line("db host", self.name, "connection", number, "is reset behind that answer")
            raise s.Closed("reset")


def play_case(play):
    record = play.record
    members = [Member(cell, number, record) for cell in range(1, SETS + 1) for number in range(1, MEMBERS + 1)]
    discovery = s.Discovery([s.instance(m.name, m.addr, m.cell, "ikeja-room", m.primary) for m in members])
    addr, _ = play.start_proxy("n0", SETTINGS, discovery)
    client = s.Client(addr)
    answers = {}
    for n in range(WRITES):
        ident = "c1%06x" % n
        text = ("/* id=%s,c=map-write,d=2500,k=%x,cluster=%d */ INSERT INTO facts (code, data) VALUES ('%016x', '\\x9f03') "
                "RETURNING data" % (ident, 0x5C0F6E1A + n, 1 + (n % 4 == 3), 0x7F3A9C21 + n))
        record.line("client sends", ident)
        answers[ident] = client.ask(text, 3.5)
        record.line("client gets", ident, *answers[ident])
    time.sleep(0.5)
    runs = {ident: runs for m in members for ident, runs in m.runs.items()}
    twice = {ident: on for ident, on in runs.items() if len(on) > 1}
    resets = sum(m.resets for m in members)
    for ident, on in twice.items():
        record.line("BROKEN", ident, "ran", len(on), "times, on connections", on, "its client got", *answers[ident])
    served = sum(1 for a in answers.values() if a[0] == "served")
    print(f"{WRITES} writes, {served} served, {len(twice)} ran twice, {resets} resets")
    if not served or (s.TROUBLE and not resets):
        raise s.NotRun("no write was served, or no connection reset")
    return s.BROKEN if twice else s.HELD


s.main(FOLDER, play_case)
