//! Clients that send messages or open connections at full speed.

use std::thread;
use std::time::Duration;

use gradeshunt_stand_ins::flood::{Flood, Form};

use super::fixture::Fixture;

/// How long each flood lasts.
const FLOOD: Duration = Duration::from_secs(3);
const FLOODING_CLIENTS: u64 = 6;

fn assert_flood_delays_no_other_client(form: Form) {
    let mut fixture = Fixture::open_with(&format!("{form:?}"), |_, _| {});
    let addr = fixture.addr();
    fixture.assert_in_time_beside(|| {
        let flood = Flood::begin(addr, form, FLOODING_CLIENTS);
        thread::sleep(FLOOD);
        assert!(flood.written() > 0 || form.is_connections(), "the flood sent nothing");
    });
}

#[test]
fn flood_of_tls_requests_delays_no_other_client() {
    assert_flood_delays_no_other_client(Form::TlsRequests);
}

#[test]
fn flood_of_empty_statements_delays_no_other_client() {
    assert_flood_delays_no_other_client(Form::EmptyStatements);
}

#[test]
fn flood_of_no_routing_comment_delays_no_other_client() {
    assert_flood_delays_no_other_client(Form::NoRoutingComment);
}

#[test]
fn flood_of_new_classes_delays_no_other_client() {
    assert_flood_delays_no_other_client(Form::NewClasses);
}

#[test]
fn flood_of_copy_data_delays_no_other_client() {
    assert_flood_delays_no_other_client(Form::CopyData);
}

#[test]
fn flood_of_syncs_delays_no_other_client() {
    assert_flood_delays_no_other_client(Form::Syncs);
}

#[test]
fn flood_of_parses_delays_no_other_client() {
    assert_flood_delays_no_other_client(Form::Parses);
}

#[test]
fn flood_of_pipelined_reads_delays_no_other_client() {
    assert_flood_delays_no_other_client(Form::PipelinedReads);
}

#[test]
fn flood_of_unknown_sets_delays_no_other_client() {
    assert_flood_delays_no_other_client(Form::UnknownSets);
}

#[test]
fn flood_of_new_connections_delays_no_other_client() {
    assert_flood_delays_no_other_client(Form::NewConnections);
}

#[test]
fn flood_of_broken_connections_delays_no_other_client() {
    assert_flood_delays_no_other_client(Form::BrokenConnections);
}

#[test]
fn flood_of_cancels_delays_no_other_client() {
    assert_flood_delays_no_other_client(Form::Cancels);
}
