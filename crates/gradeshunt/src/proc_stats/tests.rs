//! Tests of parsing proc(5) files.

use super::*;

#[test]
fn parses_proc_files() {
    let stat = "17 (a) b) S 1 2 3 4 5 6 70 80 9 100 11 12 13";
    let read = parse("5000000 2000999 17\n", stat, "cpu  1 2 3 4 5 6 7 8 9\ncpu0 1");
    assert_eq!(read, Sample { ran: 5000, waited: 2000, major_faults: 9, stolen: 80_000 });
    assert_eq!(parse("", "", ""), Sample::default());
    let now = ProcStats::open().sample();
    assert!(ProcStats::open().sample().ran >= now.ran);
}
