//! Requests that waited for a connection: their conditions are checked again before they are written.

use std::io::Write;
use std::net::TcpStream;

use leadmast::{ClassId, Ending, GroupId, ListKind, Micros, Probed, Report};

use super::{call, entry, Play, MEMBER};
use crate::exchange::BackendCommand;
use crate::pg::Writer;

/// The maximum age of the data for the example's class.
const BOUND: Micros = 200_000;
const GROUP: GroupId = GroupId(0);

impl Play {
    /// The only replica of a set reports its position, and a read with a bound on the age of its data is
    /// assigned to it. The connection for the read is established this much later.
    fn read_on_a_connection_that_is_late_by(&mut self, late: Micros) {
        self.exchange.update_members(&mut self.turn, ListKind::Full, vec![entry(GROUP, false)]);
        self.tell_role(false);
        let server = self.connect_for_a_read();
        self.turn.now += late;
        self.come_up(server);
    }

    /// The db host reports its role and its position.
    fn tell_role(&mut self, primary: bool) {
        let report = Report { position: Some(self.turn.now), primary: Some(primary), ..Report::default() };
        let probed = Probed { member: MEMBER, ending: Ending::Ok, elapsed: 0, report: Some(report) };
        self.exchange.probe_ended(&mut self.turn, probed);
    }

    /// Submits a read, for which the backend opens a connection.
    fn connect_for_a_read(&mut self) -> TcpStream {
        self.exchange.submit(&mut self.turn, call(ClassId(0), GROUP));
        let commands = std::mem::take(&mut self.exchange.backend_commands);
        for command in commands.into_iter().filter(|command| matches!(command, BackendCommand::Start { .. }))
        {
            self.backend.execute(&mut self.turn, &mut self.exchange, command);
        }
        self.host.accept().expect("no connection arrived").0
    }

    fn come_up(&mut self, mut server: TcpStream) {
        server
            .write_all(&Writer::default().message(b'R', &[&[0; 4]]).ready().0)
            .expect("the connection is closed");
        self.until(|backend| backend.hosts[&MEMBER].starting == 0);
    }

    fn is_written(&self) -> bool {
        !self.backend.attempts.is_empty()
    }

    fn denied_as_too_old(&self) -> Option<u64> {
        self.exchange.figures().denials.get("data_too_old").copied()
    }
}

/// A read must not be written to a replica whose data became too old while the connection was being opened.
#[test]
fn read_whose_replica_is_too_far_behind_once_its_connection_is_up_is_not_written() {
    let mut play = Play::open();
    play.read_on_a_connection_that_is_late_by(BOUND + 1);
    assert_eq!((play.is_written(), play.denied_as_too_old()), (false, Some(1)));
}

/// A read must be written if its replica is still recent enough once the connection is established.
#[test]
fn read_whose_replica_is_recent_enough_once_its_connection_is_up_is_written() {
    let mut play = Play::open();
    play.read_on_a_connection_that_is_late_by(BOUND);
    assert_eq!((play.is_written(), play.denied_as_too_old()), (true, None));
}

/// A read that only the primary may serve must not be written to a db host that reported, while the
/// connection was being opened, that it is no longer the primary.
#[test]
fn read_whose_db_host_is_no_primary_once_its_connection_is_up_is_not_written() {
    let mut play =
        Play::open_with(|config| config["settings"]["familyInfo"]["readLevel"][0] = "strong".into());
    play.exchange.update_members(&mut play.turn, ListKind::Full, vec![entry(GROUP, true)]);
    play.tell_role(true);
    let server = play.connect_for_a_read();
    play.turn.now += BOUND;
    play.tell_role(false);
    play.come_up(server);
    assert_eq!((play.is_written(), play.denied_as_too_old()), (false, Some(1)));
}
