//! Hollow proxies beside the discovery for thousands: counts alone, each awaited.

use std::io::{Read, Write};
use std::net::TcpStream;

use gradeshunt_stand_ins::watches::{First, Watches};
use serde_json::Value;

use super::fleet::{entries, entry, unknown, Fleet};
use super::*;

const PROXIES: usize = 12;
const HOSTS: usize = 90;
const CHANGES: u64 = 5;
/// A crowd that hears nothing more fails a test; it must not hold it up for ever.
const GUARD: Duration = Duration::from_secs(60);

struct Play {
    discovery: Watches,
    crowd: Crowd,
    fleet: Fleet,
    folder: PathBuf,
}

impl Play {
    fn open(name: &str, first: First) -> Play {
        let folder = std::env::temp_dir().join(format!("gradeshunt-hollow-{name}-{}", std::process::id()));
        let fleet = Fleet::new(&folder, PROXIES).expect("a folder");
        let discovery = Watches::open(entries(HOSTS), first).expect("a port");
        Play { discovery, crowd: Crowd::open().expect("a thread"), fleet, folder }
    }

    fn start_all(&self, known: &Value) {
        for proxy in 0..PROXIES {
            let file = self.fleet.write(proxy, self.discovery.addr(), known).expect("a file");
            self.crowd.start(proxy, &file);
        }
    }

    /// Waits until each proxy has heard this, and none has ended.
    fn until(&self, what: &str, so: impl Fn(&Heard) -> bool) {
        let all =
            |h: &[Heard]| h.len() == PROXIES && h.iter().all(&so) || h.iter().any(|h| h.failed.is_some());
        let heard = self.crowd.wait(GUARD, all);
        assert!(heard && self.crowd.heard().iter().all(&so), "{what}: {:?}", self.crowd.heard());
    }

    /// Changes a db host so often, each time once the change before is in force everywhere.
    fn change_one_by_one(&self) {
        let before = self.crowd.heard()[0].changes;
        for n in 1..=CHANGES {
            self.discovery.change(vec![entry(7, 1.0 + n as f64)]);
            self.until("a change", |h| h.changes >= before + n);
        }
    }
}

impl Drop for Play {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

/// The whole list as discovery gives it to a call that is no watch.
fn fetched(discovery: &Watches) -> String {
    let mut stream = TcpStream::connect(discovery.addr()).expect("it listens");
    stream.write_all(b"GET /api/targets HTTP/1.1\r\nHost: x\r\n\r\n").expect("it is open");
    let (mut head, mut byte) = (Vec::new(), [0]);
    while !head.ends_with(b"\r\n\r\n") {
        stream.read_exact(&mut byte).expect("a head");
        head.extend(byte);
    }
    let head = String::from_utf8(head).expect("text");
    let length = head.split("Content-Length: ").nth(1).and_then(|l| l.trim().parse().ok());
    let mut body = vec![0; length.expect("a length")];
    stream.read_exact(&mut body).expect("a body");
    String::from_utf8(body).expect("text")
}

/// The bytes of a line as a chunk of a watch.
fn chunk(line: usize) -> u64 {
    (format!("{line:x}").len() + "\r\n".len() + line + "\r\n".len()) as u64
}

/// Guards the counts that the slopes are made of: one watch and one whole list a proxy, each change once to each, all
/// watches back after a cut with one call each, and a restart with an old list.
#[test]
fn each_proxy_is_told_everything_once() {
    let play = Play::open("whole", First::Whole);
    let proxies = PROXIES as u64;
    let body = fetched(&play.discovery);
    let fetches = play.discovery.counts();
    assert_eq!((fetches.calls, fetches.watches, fetches.lists), (1, 0, 1));

    play.start_all(&unknown());
    play.until("a whole list", |h| h.lists == 1);
    let first = play.discovery.counts();
    assert_eq!((first.watches, first.calls, first.lists), (proxies, 1 + proxies, 1 + proxies));
    assert_eq!(first.list_bytes - fetches.list_bytes, proxies * chunk(body.len()));
    assert_eq!(first.changes, 0);

    play.change_one_by_one();
    let changed = play.discovery.counts();
    assert_eq!((changed.changes, changed.lists), (CHANGES * proxies, first.lists));
    let line = |generation: u64| {
        let entry = entry(7, generation as f64);
        format!("{{\"generation\":{generation},\"instances\":[{entry}],\"reset\":false}}\n").len()
    };
    let bytes: u64 = (2..2 + CHANGES).map(|generation| chunk(line(generation))).sum();
    assert_eq!(changed.change_bytes, proxies * bytes);
    play.until("each change once", |h| (h.changes, h.changed, h.lists) == (CHANGES, CHANGES, 1));

    play.discovery.cut();
    play.until("the list anew", |h| h.lists == 2);
    let back = play.discovery.counts();
    assert_eq!((back.watches, back.calls), (proxies, 1 + 2 * proxies));

    let old: Value = serde_json::from_str(&body).expect("JSON");
    play.start_all(&old);
    play.until("the list after a restart", |h| h.starts == 2 && h.lists == 3);
    // A change that all have heard shows that no call came after those.
    play.change_one_by_one();
    let again = play.discovery.counts();
    assert_eq!((again.watches, again.calls, again.lists), (proxies, 1 + 3 * proxies, 1 + 3 * proxies));
    play.until("the old list, and nothing twice", |h| {
        (h.known, h.lists, h.changes, h.unanswered) == (HOSTS as u64, 3, 2 * CHANGES, 0)
    });
}

/// Guards the other answer that the protocol allows for: to a restart with an old list, what has changed since.
#[test]
fn an_old_list_is_brought_up_by_its_changes() {
    let play = Play::open("changes", First::Changes);
    let old: Value = serde_json::from_str(&fetched(&play.discovery)).expect("JSON");
    play.start_all(&unknown());
    play.until("a whole list", |h| h.lists == 1);
    play.change_one_by_one();
    play.start_all(&old);
    // One object with all that came since.
    play.until("the changes since", |h| {
        (h.starts, h.known, h.lists, h.changes, h.changed) == (2, HOSTS as u64, 1, CHANGES + 1, 2 * CHANGES)
    });
    let counts = play.discovery.counts();
    assert_eq!((counts.watches, counts.calls), (PROXIES as u64, 1 + 2 * PROXIES as u64));
}
