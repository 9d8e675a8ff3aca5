//! A steady open loop of statements: each is due at its time, whether or not earlier ones have ended, as far as a few
//! connections carry that.

use std::io;
use std::net::SocketAddr;
use std::thread;
use std::time::{Duration, Instant};

use gradeshunt_stand_ins::checker::Outcome;
use gradeshunt_stand_ins::postgres::client::{Client, Reply};
use gradeshunt_stand_ins::postgres::farm::without_comment;

/// Who the clients say they are.
pub const PARAMETERS: [(&str, &str); 2] = [("user", "portal"), ("database", "crm")];
/// How long a client waits for anything.
pub const PATIENCE: Duration = Duration::from_secs(30);
/// The wait that statements name, in milliseconds: long, as a busy machine is no fault of the program.
const WAIT: u32 = 20_000;

/// What became of statements.
#[derive(Clone, Default, Debug)]
pub struct Sent {
    pub statements: u64,
    /// Bytes of their text behind the routing comment.
    pub bytes: u64,
    pub served: u64,
    pub refused: u64,
    pub failed: u64,
    /// What the first of those that failed was told.
    pub why: Option<String>,
}

impl Sent {
    pub fn add(&mut self, other: &Sent) {
        self.statements += other.statements;
        self.bytes += other.bytes;
        self.served += other.served;
        self.refused += other.refused;
        self.failed += other.failed;
        self.why = self.why.take().or_else(|| other.why.clone());
    }

    fn take(&mut self, text: &str, reply: &Reply) {
        self.statements += 1;
        self.bytes += without_comment(text.as_bytes()).len() as u64;
        match reply.outcome() {
            Outcome::Served => self.served += 1,
            Outcome::Refused => self.refused += 1,
            _ => {
                self.failed += 1;
                self.why.get_or_insert_with(|| format!("{text}: {:?}", reply.error));
            }
        }
    }
}

/// Clients of one proxy, that read from all sets alike.
pub struct Load {
    clients: Vec<Client>,
    sets: usize,
    /// Statements a second, of all clients together.
    rate: f64,
    random: fastrand::Rng,
}

impl Load {
    pub fn connect(addr: SocketAddr, clients: usize, sets: usize, rate: f64, seed: u64) -> io::Result<Load> {
        let clients = (0..clients).map(|_| Client::connect(addr, &PARAMETERS, PATIENCE));
        Ok(Load {
            clients: clients.collect::<io::Result<_>>()?,
            sets,
            rate,
            random: fastrand::Rng::with_seed(seed),
        })
    }

    /// Sends so many statements, and tells what became of them. They begin at once, at the steady rate.
    pub fn run(&mut self, statements: usize) -> io::Result<Sent> {
        let (sets, rate, count) = (self.sets, self.rate, self.clients.len());
        let began = Instant::now();
        let mut sent = Sent::default();
        let random = &mut self.random;
        thread::scope(|scope| {
            let lanes: Vec<_> = (0..)
                .zip(&mut self.clients)
                .map(|(lane, client)| {
                    let mut random = random.fork();
                    scope.spawn(move || {
                        let mut sent = Sent::default();
                        for number in (lane..statements).step_by(count) {
                            let due = began + Duration::from_secs_f64(number as f64 / rate);
                            thread::sleep(due.saturating_duration_since(Instant::now()));
                            let text = read(&mut random, sets);
                            sent.take(&text, &client.query(&text)?);
                        }
                        Ok::<_, io::Error>(sent)
                    })
                })
                .collect();
            for lane in lanes {
                sent.add(&lane.join().map_err(|_| io::Error::other("a client panicked"))??);
            }
            Ok(sent)
        })
    }
}

/// A read of any set: as often of a class whose answers may only be so old, for which the proxy has to know how far
/// replicas are, as of one that takes any replica's.
pub fn read(random: &mut fastrand::Rng, sets: usize) -> String {
    let (id, set, code) = (random.u32(..), random.usize(1..=sets), random.u8(..));
    let class = if random.bool() { "page-read" } else { "own-read" };
    format!(
        "/* id={id:08x},c={class},d={WAIT},cluster={set} */ SELECT data FROM facts WHERE code = '{code:02x}'"
    )
}
