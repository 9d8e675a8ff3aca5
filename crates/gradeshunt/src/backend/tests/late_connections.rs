//! Requests that have waited for a connection: what was true when they were to go there is looked at again.

use std::io::Write;
use std::net::TcpStream;

use leadmast::{ClassId, Ending, GroupId, ListKind, Micros, Probed, Report};

use super::{call, entry, Play, MEMBER};
use crate::exchange::Order;
use crate::pg::Writer;

/// How old the data of the class in the example may be.
const BOUND: Micros = 200_000;
const GROUP: GroupId = GroupId(0);

impl Play {
    /// The only replica of a set tells its position, and a read that may see data of some age is to go there; its connection comes up this
    /// much later.
    fn read_on_a_connection_that_is_late_by(&mut self, late: Micros) {
        self.exchange.members(&mut self.turn, ListKind::Full, vec![entry(GROUP, false)]);
        self.tell_role(false);
        let server = self.connect_for_a_read();
        self.turn.now += late;
        self.come_up(server);
    }

    /// The db host tells that it is a primary or not, and its position.
    fn tell_role(&mut self, primary: bool) {
        let report = Report { position: Some(self.turn.now), primary: Some(primary), ..Report::default() };
        let probed = Probed { member: MEMBER, ending: Ending::Ok, elapsed: 0, report: Some(report) };
        self.exchange.probed(&mut self.turn, probed);
    }

    /// A read is to go to the db host, and a connection is opened for it.
    fn connect_for_a_read(&mut self) -> TcpStream {
        self.exchange.submit(&mut self.turn, call(ClassId(0), GROUP));
        let orders = std::mem::take(&mut self.exchange.orders);
        for order in orders.into_iter().filter(|order| matches!(order, Order::Start { .. })) {
            self.backend.carry_out(&mut self.turn, &mut self.exchange, order);
        }
        self.host.accept().expect("it connects").0
    }

    fn come_up(&mut self, mut server: TcpStream) {
        server.write_all(&Writer::default().message(b'R', &[&[0; 4]]).ready().0).expect("it is open");
        self.until(|backend| backend.hosts[&MEMBER].starting == 0);
    }

    fn is_written(&self) -> bool {
        !self.backend.attempts.is_empty()
    }

    fn denied_as_too_old(&self) -> Option<u64> {
        self.exchange.figures().denials.get("data_too_old").copied()
    }
}

/// Guards against stale reads: a read is not written to a replica whose data has become too old while the connection came up.
#[test]
fn read_whose_replica_is_too_far_behind_once_its_connection_is_up_is_not_written() {
    let mut play = Play::open();
    play.read_on_a_connection_that_is_late_by(BOUND + 1);
    assert_eq!((play.is_written(), play.denied_as_too_old()), (false, Some(1)));
}

/// Guards reads at replicas: one whose replica is still recent enough once its connection is up is written.
#[test]
fn read_whose_replica_is_recent_enough_once_its_connection_is_up_is_written() {
    let mut play = Play::open();
    play.read_on_a_connection_that_is_late_by(BOUND);
    assert_eq!((play.is_written(), play.denied_as_too_old()), (true, None));
}

/// Guards against stale reads: one that only the primary may serve is not written to a db host that has told by the time its connection is
/// up that it is none any more.
#[test]
fn read_whose_db_host_is_no_primary_once_its_connection_is_up_is_not_written() {
    let mut play =
        Play::open_with(|config| config["settings"]["familyInfo"]["readLevel"][0] = "strong".into());
    play.exchange.members(&mut play.turn, ListKind::Full, vec![entry(GROUP, true)]);
    play.tell_role(true);
    let server = play.connect_for_a_read();
    play.turn.now += BOUND;
    play.tell_role(false);
    play.come_up(server);
    assert_eq!((play.is_written(), play.denied_as_too_old()), (false, Some(1)));
}
