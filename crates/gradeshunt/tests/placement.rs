//! Tests of requests that are forwarded to a home proxy, on real connections to a real process. The test
//! plays the other proxies and the only db host, and forces each order of events by waiting for bytes.

use std::cell::RefCell;
use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command};
use std::time::Duration;

use gradeshunt_placement::{Bucket, Fleet, Member};
use gradeshunt_stand_ins::postgres::client::{Client, Reply};
use gradeshunt_stand_ins::postgres::wire;
use gradeshunt_stand_ins::script::Table;
use gradeshunt_stand_ins::site::{Plan, Site};
use gradeshunt_stand_ins::standalone::own_address;
use serde_json::json;

/// Time limit of each wait; only a failing test reaches it.
const WAIT_TIMEOUT: Duration = Duration::from_secs(40);
/// The name of the proxy under test in the stand-in site.
const OWN_NAME: &str = "n0";

/// A listening socket and its address. No other process listens at the address, also after the socket is
/// dropped.
fn bind_listener() -> (TcpListener, SocketAddr) {
    let address = own_address();
    (TcpListener::bind(address).expect("the address is free"), address)
}

/// A fleet of one proxy group: the proxy under test and two others, which are played by the test.
struct Group {
    /// The address at which the proxy under test accepts other proxies.
    own: SocketAddr,
    /// The sockets of the two other proxies, in the order in which they are homes of [`Group::set`].
    homes: Vec<TcpListener>,
    /// A set of which the proxy under test is no home.
    set: u64,
    /// The placement file.
    text: String,
}

impl Group {
    fn new(settings: &str) -> Group {
        let own = own_address();
        let mut others: Vec<_> = ["h1", "h2"].into_iter().map(|name| (name, bind_listener())).collect();
        let mut text = format!("placement {{ group_size {{ least: 2 most: 9 }} {settings}\n");
        text += &format!("proxy {{ name: {OWN_NAME:?} zone: \"here\" address: \"{own}\" }}\n");
        for (name, (_, address)) in &others {
            text += &format!("proxy {{ name: {name:?} zone: \"here\" address: \"{address}\" }}\n");
        }
        text += "}\n";
        let fleet = Fleet::parse("test", &text).expect("the placement file is valid");
        let group = &fleet.groups()[0];
        let name = |member: &Member| group.proxies[member.0 as usize].name.clone();
        let homes = |set: u64| -> Vec<String> {
            fleet.homes(group).of(set, Bucket::new(0)).iter().map(name).collect()
        };
        let set = (1..)
            .find(|set| !homes(*set).contains(&OWN_NAME.to_owned()))
            .expect("a third of all sets have other homes");
        let place = |name: &str| homes(set).iter().position(|home| home == name);
        others.sort_by_key(|(name, _)| place(name));
        let homes = others.into_iter().map(|(_, (listener, _))| listener).collect();
        Group { own, homes, set, text }
    }
}

/// A process of the program with its db host and its discovery service.
struct Program {
    child: RefCell<Child>,
    addr: SocketAddr,
    folder: PathBuf,
    control: SocketAddr,
    /// The only db host.
    host: TcpListener,
    _discovery: TcpListener,
}

impl Drop for Program {
    fn drop(&mut self) {
        let child = self.child.get_mut();
        let _ = child.kill();
        let _ = child.wait();
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

impl Program {
    fn start(name: &str, group: &Group) -> Program {
        let (host, host_address) = bind_listener();
        let (discovery, discovery_address) = bind_listener();
        let (addr, control) = (own_address(), own_address());
        let site = Site::open(Plan { sets: vec![1], ..Plan::default() }).expect("the stand-in site starts");
        let mut config = site.config();
        config["listen"] = json!(addr.to_string());
        config["control"] = json!(control.to_string());
        config["known"]["instances"][0]["hostPort"] = json!(host_address.to_string());
        config["known"]["instances"][0]["cell"] = json!(group.set);
        config["settings"]["allowed"]["connectTimeout"] = json!(600_000.0);
        // Discovery accepts calls and sends nothing.
        config["discovery"] = json!(discovery_address.to_string());
        let folder = Path::new(env!("CARGO_TARGET_TMPDIR")).join(format!("{name}-{}", std::process::id()));
        let _ = std::fs::remove_dir_all(&folder);
        std::fs::create_dir_all(folder.join("tmp")).expect("the folder can be made");
        std::fs::write(folder.join("placement.textproto"), &group.text).expect("the file can be written");
        config["placement"] = json!(folder.join("placement.textproto"));
        std::fs::write(folder.join("config.json"), config.to_string()).expect("the file can be written");
        let child = Command::new(env!("CARGO_BIN_EXE_gradeshunt"))
            .env("ROUTER_CONFIG", folder.join("config.json"))
            .env("TMPDIR", folder.join("tmp"))
            .env_remove("ROUTER_CONTROL")
            .env_remove("ROUTER_LISTEN_FD")
            .stderr(std::fs::File::create(folder.join("log")).expect("the file can be written"))
            .spawn()
            .expect("the program can be started");
        Program { child: RefCell::new(child), addr, folder, control, host, _discovery: discovery }
    }

    fn client(&self) -> Client {
        loop {
            if let Ok(client) = Client::connect(self.addr, &[("user", "portal")], WAIT_TIMEOUT) {
                return client;
            }
            let ended = self.child.borrow_mut().try_wait().expect("the process can be polled");
            assert!(ended.is_none(), "the process ended while starting: {ended:?}");
            std::thread::yield_now();
        }
    }

    /// Replaces the placement file and makes the process reload it.
    fn reload_placement(&self, text: &str) {
        std::fs::write(self.folder.join("placement.textproto"), text).expect("the file can be written");
        let kill = Command::new("kill").arg("-HUP").arg(self.child.borrow().id().to_string()).status();
        assert!(kill.is_ok_and(|status| status.success()));
    }

    /// Waits for a log line that contains `what`.
    fn wait_for_log(&self, what: &str) {
        while !std::fs::read_to_string(self.folder.join("log")).expect("the log can be read").contains(what) {
            let ended = self.child.borrow_mut().try_wait().expect("the process can be polled");
            assert!(ended.is_none(), "the process ended: {ended:?}");
            std::thread::yield_now();
        }
    }

    fn get_control(&self, path: &str) -> String {
        let mut stream = TcpStream::connect(self.control).expect("the program listens");
        stream.set_read_timeout(Some(WAIT_TIMEOUT)).expect("the timeout can be set");
        write!(stream, "GET {path} HTTP/1.1\r\nHost: x\r\n\r\n").expect("the connection is open");
        let mut text = String::new();
        stream.read_to_string(&mut text).expect("an answer");
        text
    }
}

/// Accepts a connection of the proxy and answers its startup message. Returns the connection and the startup
/// parameters.
fn accept_proxy(listener: &TcpListener) -> (TcpStream, String) {
    let (mut stream, _) = listener.accept().expect("the proxy connects");
    stream.set_read_timeout(Some(WAIT_TIMEOUT)).expect("the timeout can be set");
    let (_, parameters) = wire::read_startup(&mut stream).expect("a startup message");
    stream
        .write_all(&[wire::message(b'R', &[0; 4]), ready_for_query()].concat())
        .expect("the connection is open");
    (stream, String::from_utf8_lossy(&parameters).into_owned())
}

fn ready_for_query() -> Vec<u8> {
    wire::message(b'Z', b"I")
}

fn result_row(value: &str) -> Vec<u8> {
    let table = Table { tag: "SELECT 1".to_owned(), ..Table::of(&["data"], &[&[value]]) };
    [wire::table(&table), ready_for_query()].concat()
}

/// Reads the next client's statement, and answers the proxy's own queries before it.
fn next_statement(stream: &mut TcpStream) -> String {
    loop {
        let (tag, body) = wire::read(stream).expect("a query");
        let text = String::from_utf8_lossy(&body).trim_end_matches('\0').to_owned();
        if tag == b'Q' && text.contains("id=") {
            return text;
        }
        let nothing = Table::of(&["x0", "x1"], &[&["0", "0"]]);
        stream
            .write_all(&[wire::table(&nothing), ready_for_query()].concat())
            .expect("the connection is open");
    }
}

/// The remaining wait that a statement carries, in milliseconds.
fn remaining_wait(statement: &str) -> u64 {
    let wait = statement.split_once(",d=").and_then(|(_, rest)| rest.split(',').next());
    wait.and_then(|wait| wait.parse().ok()).expect("a wait in milliseconds")
}

fn read_statement(id: u32, set: u64) -> String {
    format!("/* id={id},c=page-read,d=300000,cluster={set} */ SELECT data FROM facts WHERE code = '{id:x}'")
}

/// A write that must never run twice.
fn unsafe_write_statement(id: u32, set: u64) -> String {
    format!("/* id={id},c=plain-write,d=300000,cluster={set} */ INSERT INTO facts (code) VALUES ('{id:x}')")
}

fn read_reply(client: &mut Client) -> Reply {
    client.until_ready().expect("an answer and no close")
}

/// Guards the usual path of a forwarded request: the first home gets it unchanged except for the remaining
/// wait, the client gets the home's answer, and the next request uses the same connection. The db host gets
/// nothing.
#[test]
fn request_goes_to_the_first_home_over_a_kept_connection() {
    let group = Group::new("");
    let program = Program::start("first-home", &group);
    let mut client = program.client();
    client.ask(&read_statement(1, group.set)).expect("the connection is open");
    let (mut home, parameters) = accept_proxy(&group.homes[0]);
    assert!(parameters.contains("user\0gradeshunt\0") && parameters.contains("application_name\0n0\0"));
    for id in 1..=3 {
        let statement = next_statement(&mut home);
        let wait = remaining_wait(&statement);
        assert!(wait < 300_000, "the home has less time than the client");
        assert_eq!(statement.replace(&format!(",d={wait},"), ",d=300000,"), read_statement(id, group.set));
        home.write_all(&result_row(&format!("v{id}"))).expect("the connection is open");
        assert_eq!(read_reply(&mut client).value(), Some(format!("v{id}")));
        if id < 3 {
            client.ask(&read_statement(id + 1, group.set)).expect("the connection is open");
        }
    }
    let shown = program.get_control("/placement");
    assert!(shown.contains("requests home=0 sent_on=3 taken=0 direct=0 refused=0"), "{shown}");
    assert!(program.get_control("/status/metrics").contains("app_dispatches 0\n"));
}

/// Guards against dropping the retry advice (the error's detail) of a refusal by a home.
#[test]
fn refusal_of_a_home_keeps_its_retry_advice() {
    let group = Group::new("");
    let program = Program::start("refusal", &group);
    let mut client = program.client();
    client.ask(&read_statement(1, group.set)).expect("the connection is open");
    let (mut home, _) = accept_proxy(&group.homes[0]);
    next_statement(&mut home);
    let refusal = wire::message(b'E', b"SERROR\0C53300\0Mno db host can take this now\0D170\0\0");
    home.write_all(&[refusal, ready_for_query()].concat()).expect("the connection is open");
    let reply = read_reply(&mut client);
    let detail = reply.error.as_ref().and_then(|error| error.2.as_deref());
    assert_eq!((reply.code(), detail), (Some("53300"), Some("170")));
}

/// Guards against failing requests that cannot have run: a home that refuses the connection, that rejects it,
/// or that announces its end before it has read the request has not run it, so even a write that must never
/// run twice goes to the next home.
#[test]
fn request_that_cannot_have_run_goes_to_the_next_home() {
    for fault in ["refuses", "turns away", "leaves"] {
        let mut group = Group::new("");
        let program = Program::start(&format!("next-home-{}", fault.replace(' ', "-")), &group);
        let first = group.homes.remove(0);
        let mut client = program.client();
        match fault {
            "refuses" => {
                drop(first);
                client.ask(&unsafe_write_statement(1, group.set)).expect("the connection is open");
            }
            "turns away" => {
                client.ask(&unsafe_write_statement(1, group.set)).expect("the connection is open");
                let (mut stream, _) = first.accept().expect("the proxy connects");
                wire::read_startup(&mut stream).expect("a startup message");
                stream.write_all(&wire::error("57P03", "leaving")).expect("the connection is open");
            }
            _ => {
                client.ask(&unsafe_write_statement(1, group.set)).expect("the connection is open");
                let (mut stream, _) = accept_proxy(&first);
                next_statement(&mut stream);
                stream.write_all(&wire::error("PX001", "leaving")).expect("the connection is open");
                stream.shutdown(Shutdown::Write).expect("the connection is open");
            }
        }
        let (mut second, _) = accept_proxy(&group.homes[0]);
        assert!(next_statement(&mut second).contains("id=1,"), "{fault}");
        second.write_all(&result_row("done")).expect("the connection is open");
        assert_eq!(read_reply(&mut client).value().as_deref(), Some("done"), "{fault}");
    }
}

/// Guards against repeating a write that must never run twice: a home whose connection breaks after it got
/// the request may have run it. The write fails; a read goes to the next home.
#[test]
fn request_that_may_have_run_is_repeated_only_where_its_class_permits() {
    let group = Group::new("");
    let program = Program::start("may-have-run", &group);
    let mut client = program.client();
    client.ask(&unsafe_write_statement(1, group.set)).expect("the connection is open");
    let (mut home, _) = accept_proxy(&group.homes[0]);
    next_statement(&mut home);
    drop(home);
    assert_eq!(read_reply(&mut client).code(), Some("58000"));

    let group = Group::new("");
    let program = Program::start("read-may-have-run", &group);
    let mut client = program.client();
    client.ask(&read_statement(2, group.set)).expect("the connection is open");
    let (mut home, _) = accept_proxy(&group.homes[0]);
    next_statement(&mut home);
    drop(home);
    let (mut second, _) = accept_proxy(&group.homes[1]);
    assert!(next_statement(&mut second).contains("id=2,"));
    second.write_all(&result_row("v")).expect("the connection is open");
    assert_eq!(read_reply(&mut client).value().as_deref(), Some("v"));
}

/// Without a reachable home the proxy sends the request to the db host itself, or refuses it if the placement
/// file allows no set that is reached directly.
#[test]
fn request_without_a_home_goes_direct_or_is_refused() {
    let mut group = Group::new("");
    group.homes.clear();
    let program = Program::start("direct", &group);
    let mut client = program.client();
    client.ask(&unsafe_write_statement(1, group.set)).expect("the connection is open");
    let (mut host, parameters) = accept_proxy(&program.host);
    assert!(parameters.contains("user\0portal\0"));
    assert!(next_statement(&mut host).contains("id=1,"));
    host.write_all(&result_row("done")).expect("the connection is open");
    assert_eq!(read_reply(&mut client).value().as_deref(), Some("done"));
    assert!(program.get_control("/placement").contains("sets_direct 1\n"));

    let mut group = Group::new("direct_sets: 0");
    group.homes.clear();
    let program = Program::start("not-direct", &group);
    let mut client = program.client();
    client.ask(&unsafe_write_statement(1, group.set)).expect("the connection is open");
    assert_eq!(read_reply(&mut client).code(), Some("53300"));
}

/// Guards against forwarding a request twice: a proxy serves what another proxy sends it, although it is no
/// home by its own placement file.
#[test]
fn request_from_another_proxy_is_never_forwarded() {
    let group = Group::new("");
    let program = Program::start("never-twice", &group);
    drop(program.client());
    let proxy_parameters = [("user", "gradeshunt"), ("application_name", "h1")];
    let mut proxy = Client::connect(group.own, &proxy_parameters, WAIT_TIMEOUT).expect("the session starts");
    proxy.ask(&read_statement(1, group.set)).expect("the connection is open");
    let (mut host, _) = accept_proxy(&program.host);
    assert!(next_statement(&mut host).contains("id=1,"));
    host.write_all(&result_row("v")).expect("the connection is open");
    assert_eq!(read_reply(&mut proxy).value().as_deref(), Some("v"));
    assert!(program.get_control("/placement").contains("sent_on=0 taken=1"));
}

/// A connection to the address for proxies that does not come from a proxy of the group gets an error;
/// clients are served as before.
#[test]
fn unknown_peer_at_the_address_for_proxies_gets_an_error() {
    let group = Group::new("");
    let program = Program::start("stranger", &group);
    let mut client = program.client();
    let unknown_peers =
        [vec![("user", "portal")], vec![("user", "gradeshunt"), ("application_name", "h9")], vec![]];
    for peer in unknown_peers {
        let mut stream = TcpStream::connect(group.own).expect("the program listens");
        stream.set_read_timeout(Some(WAIT_TIMEOUT)).expect("the timeout can be set");
        stream.write_all(&wire::startup(&peer)).expect("the connection is open");
        let (tag, body) = wire::read(&mut stream).expect("an error");
        assert_eq!((tag, wire::field(&body, b'C').as_deref()), (b'E', Some("28000")), "{peer:?}");
        assert_eq!(stream.read(&mut [0]).expect("a close and no reset"), 0);
    }
    assert!(client.query("").expect("the query is answered").error.is_none());
}

/// Guards against running a request whose client has left: the proxy resets the connection to the home, which
/// discards bytes that the kernel has not delivered yet. A plain close would deliver them.
#[test]
fn client_that_leaves_resets_the_connection_to_the_home() {
    let group = Group::new("");
    let program = Program::start("leaves", &group);
    let mut client = program.client();
    client.ask(&read_statement(1, group.set)).expect("the connection is open");
    let (mut home, _) = accept_proxy(&group.homes[0]);
    next_statement(&mut home);
    drop(client);
    let end = home.read(&mut [0]).expect_err("a reset");
    assert_eq!(end.kind(), std::io::ErrorKind::ConnectionReset);
}

/// A draining home answers the requests that it has read. Before it closes a connection of another proxy it
/// announces its end, so that the other proxy knows that a request sent at the same moment has not run.
#[test]
fn draining_home_answers_its_requests_and_announces_its_end() {
    let group = Group::new("");
    let program = Program::start("drains", &group);
    drop(program.client());
    let proxy_parameters = [("user", "gradeshunt"), ("application_name", "h1")];
    let connect = || Client::connect(group.own, &proxy_parameters, WAIT_TIMEOUT).expect("the session starts");
    let (mut busy, mut idle) = (connect(), connect());
    busy.ask(&read_statement(1, group.set)).expect("the connection is open");
    let (mut host, _) = accept_proxy(&program.host);
    next_statement(&mut host);
    let kill = Command::new("kill").arg("-TERM").arg(program.child.borrow().id().to_string()).status();
    assert!(kill.is_ok_and(|status| status.success()));
    expect_end_announcement(&mut idle);
    host.write_all(&result_row("v")).expect("the connection is open");
    assert_eq!(read_reply(&mut busy).value().as_deref(), Some("v"));
    expect_end_announcement(&mut busy);
}

/// Reads the message that announces a home's end to another proxy, and the end of the connection after it.
fn expect_end_announcement(proxy: &mut Client) {
    let (tag, body) = wire::read(proxy.stream()).expect("the message that announces the end");
    assert_eq!((tag, wire::field(&body, b'C').as_deref()), (b'E', Some("PX001")));
    assert_eq!(proxy.stream().read(&mut [0]).expect("a close and no reset"), 0);
}

/// Guards against operators' mistakes: a placement file or an address that cannot be used refuses the start
/// with an error that names it.
#[test]
fn unusable_placement_file_refuses_the_start() {
    let refused = |name: &str, edit: &dyn Fn(&Group) -> String| {
        let mut group = Group::new("");
        group.text = edit(&group);
        let program = Program::start(name, &group);
        let status = program.child.borrow_mut().wait().expect("the process ends");
        assert!(!status.success(), "{name}");
        std::fs::read_to_string(program.folder.join("log")).expect("the log can be read")
    };
    let own_name_missing = refused("unlisted", &|group| group.text.replace("\"n0\"", "\"n9\""));
    assert!(
        own_name_missing.contains("placement.textproto:")
            && own_name_missing.contains("proxy")
            && own_name_missing.contains("\"n0\"")
    );
    let name_given_twice = refused("twice", &|group| group.text.replace("\"h2\"", "\"h1\""));
    assert!(
        name_given_twice.contains("placement.textproto:4")
            && name_given_twice.contains("\"h1\" is given twice"),
        "{name_given_twice}"
    );
    let without_address =
        refused("nowhere", &|group| group.text.replace(&format!("address: \"{}\"", group.own), ""));
    assert!(without_address.contains("has no address for other proxies"), "{without_address}");
    // An address that this machine does not have.
    let foreign_address =
        refused("foreign", &|group| group.text.replace(&group.own.to_string(), "192.0.2.1:6432"));
    assert!(
        foreign_address.contains("cannot listen for other proxies at 192.0.2.1:6432"),
        "{foreign_address}"
    );
}

/// SIGHUP reloads the placement file: an unusable one changes nothing, and a usable one takes effect at once.
#[test]
fn placement_file_is_reloaded_on_sighup() {
    let group = Group::new("");
    let program = Program::start("read-anew", &group);
    drop(program.client());
    let before = program.get_control("/placement");
    program.reload_placement("placement { proxy {");
    program.wait_for_log("the new one can't be used");
    assert_eq!(program.get_control("/placement"), before);
    let more = group.text.replacen("proxy {", "proxy { name: \"h3\" zone: \"here\" } proxy {", 1);
    program.reload_placement(&more);
    while !program.get_control("/placement").contains("proxy h3 no address\n") {}
    // A proxy that only the new file lists may connect.
    let proxy_parameters = [("user", "gradeshunt"), ("application_name", "h3")];
    let mut proxy = Client::connect(group.own, &proxy_parameters, WAIT_TIMEOUT)
        .expect("the session of the new proxy starts");
    assert!(proxy.query("").expect("the query is answered").error.is_none());
}
