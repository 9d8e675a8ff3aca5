"""No case, but a play for an entry of KNOWN-RED.txt: the next home of a keyed write knows nothing of the first one's attempt.

    python3 -B review/beside/placement/play.py

It exits with 1 if a key was applied twice, or a write refused though it had been applied; 0 if not; 2 if it couldn't run. TROUBLE=0
leaves out the stop of the home and the change of primary. It uses the stand-ins and the settings of case 2, with placement on.
"""

import os
import signal
import sys
import threading
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
CASE_2 = os.path.join(os.path.dirname(os.path.dirname(FOLDER)), "2")
sys.path.insert(0, CASE_2)
import standins as s

TRIALS, PROXIES = 5, 3
# A set drops a key that it has applied for so long; the class's window in the settings is as long.
REMEMBERS_S = 2.0
WORK_S, STOPS_S = 0.3, 0.03
# The old primary takes no more writes, and the new one begins to: so long after the first attempt.
HANDS_OVER_S = (1.45, 2.2)


def settings(me):
    with open(os.path.join(CASE_2, "case.py")) as f:
        text = f.read()
    names = {}
    exec(text[text.index("SETTINGS = {"):text.index("\n\n\ndef ")], names)
    return dict(names["SETTINGS"], fleetSize=PROXIES, me=me)


class Set:
    """A replica set of two: who is its primary, and which keys it has applied when."""

    def __init__(self, record):
        self.record, self.guard = record, threading.Lock()
        self.primary, self.applied, self.dropped, self.came = 0, {}, {}, threading.Event()
        self.first = None

    def apply(self, key, proxy, host):
        """Applies a key, unless it has done so lately."""
        now = time.monotonic()
        with self.guard:
            times = self.applied.setdefault(key, [])
            if times and now - times[-1] < REMEMBERS_S:
                self.record.line("db host", host, "DROPS", key, "from proxy", proxy, "as a repeat")
                return
            times.append(now)
            self.record.line("db host", host, "APPLIES", key, "from proxy", proxy)
            if self.first is None:
                self.first = (key, proxy)
                self.came.set()


class Way(s.DbHost):
    """A db host as one proxy reaches it: each proxy has an address of its own for it."""

    def __init__(self, set_, number, proxy):
        self.set, self.number, self.proxy = set_, number, proxy
        super().__init__("s-%d" % number, set_.record)

    def is_primary(self):
        return self.set.primary == self.number

    def told(self, ahead=0):
        behind = 0.0 if self.is_primary() else 8.0
        role = s.parameter("replication_role", "primary" if self.is_primary() else "standby")
        return role + s.parameter("log_position", "%d" % (s.unix_ms() - behind + ahead))

    def report(self):
        behind = 0.0 if self.is_primary() else 8.0
        return "x0=%.3f,x1=%d" % ((s.unix_ms() - behind) / 1000.0, self.is_primary())

    def serve(self, stream, number, statement):
        if not statement.writes:
            stream.send(s.row_answer(b"x", "SELECT 1") + self.told() + s.READY)
        elif not self.is_primary():
            self.record.line("db host", self.name, "is no primary for", statement.id, "from proxy", self.proxy)
            stream.send(s.error_answer("25006", "cannot execute INSERT in a read-only transaction") + self.told() + s.READY)
        else:
            self.set.apply(statement.fields["k"], self.proxy, self.name)
            time.sleep(WORK_S)
            stream.send(s.row_answer(b"\x9f", "INSERT 0 1") + self.told(1) + s.READY)


def roster(play, trial):
    path = os.path.join(play.tmp, "placement-%d" % trial)
    proxies = "".join('  proxy { name: "t%d-n%d" zone: "wdh-south" address: "%s" }\n' % (trial, n, s.free_addr()) for n in range(PROXIES))
    with open(path, "w") as f:
        f.write('placement {\n  group_size { least: 3 most: 3 }\n  homes: 2\n  direct_sets: 8\n  roster_versions: 2\n'
                '  zone { name: "wdh-south" groups: 1 }\n%s  set { cluster: 1 }\n}\n' % proxies)
    return path


def trial(play, number):
    """Gives the key, its times of effect, and what its client got; nothing where the write was served where it came."""
    record, set_ = play.record, Set(play.record)
    path, proxies = roster(play, number), []
    for n in range(PROXIES):
        ways = [Way(set_, host, n) for host in (0, 1)]
        listed = [s.instance(w.name, w.addr, 1, "wdh-south", w.number == 0) for w in ways]
        proxies.append(play.start_proxy("t%d-n%d" % (number, n), settings(n), s.Discovery(listed), placement=path))
    client, got = s.Client(proxies[0][0]), []
    key = "5c0f%04x" % (number * 7919 + 1)

    def ask():
        text = ("/* id=w%04x,c=tally-write,d=3000,k=%s,cluster=1 */ INSERT INTO facts (code, data) VALUES ('%016x', '\\x9f') "
                "RETURNING data" % (number, key, number))
        record.line("client sends", key, "to proxy 0")
        got.append(client.ask(text, 5.0))
        record.line("client gets", key, *got[0])

    asking = s.thread(ask)
    if not set_.came.wait(3.0):
        raise s.NotRun("no write came to the db hosts")
    began, home = time.monotonic(), set_.first[1]
    if home != 0 and s.TROUBLE:
        time.sleep(STOPS_S)
        proxies[home][1].send_signal(signal.SIGSTOP)
        record.line("proxy", home, "is stopped")
        for primary, at in zip((None, 1), HANDS_OVER_S):
            time.sleep(max(0.0, began + at - time.monotonic()))
            set_.primary = primary
            record.line("primary:", "none" if primary is None else "s-%d" % primary)
    asking.join()
    time.sleep(0.5)
    for _, process in proxies:
        process.send_signal(signal.SIGKILL)
        process.wait()
        play.processes.remove(process)
    return None if home == 0 else (key, set_.applied[key], got[0])


def play_case(play):
    done, number = [], 0
    while len(done) < TRIALS and number < 6 * TRIALS:
        number += 1
        done += filter(None, [trial(play, number)])
    twice = [(key, times) for key, times, _ in done if len(times) > 1]
    denied = [key for key, _, answer in done if answer[0] == "refused"]
    for key, times in twice:
        play.record.line("BROKEN", key, "was applied", len(times), "times, %.2f s apart" % (times[1] - times[0]))
    for key in denied:
        play.record.line("BROKEN", key, "was refused though it had been applied")
    print(f"{len(done)} writes over another proxy, {len(twice)} applied twice, {len(denied)} refused though applied")
    if len(done) < TRIALS:
        raise s.NotRun("too few writes went over another proxy")
    return s.BROKEN if twice or denied else s.HELD


s.main(FOLDER, play_case)
