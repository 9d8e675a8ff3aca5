//! Tests of the shared folder.

use super::*;

fn folder(test: &str) -> PathBuf {
    let path = std::env::temp_dir().join(format!("gradeshunt-files-{test}-{}", std::process::id()));
    let _ = fs::remove_dir_all(&path);
    fs::create_dir_all(&path).expect("a folder");
    path
}

/// Guards a reused process file: a process starts with its own state, whatever the process that used the file
/// before has left in it.
#[test]
fn process_does_not_inherit_the_state_of_an_earlier_one() {
    let tmp = folder("follows");
    let mut first = Folder::open(&tmp, "n0").expect("it opens");
    first.publish(ProcessState::Serving).expect("it is written");
    let mut watcher = Folder::open(&tmp, "n0").expect("a second process opens it");
    assert_eq!(watcher.scan().expect("the folder is readable").other_process, Some(ProcessState::Serving));
    drop(first);
    assert_eq!(
        watcher.scan().expect("the folder is readable").other_process,
        None,
        "a lock ends with its holder"
    );
    let _third = Folder::open(&tmp, "n0").expect("it takes over the first one's file");
    assert_eq!(watcher.scan().expect("the folder is readable").other_process, Some(ProcessState::Starting));
    fs::remove_dir_all(tmp).expect("it can be removed");
}

/// Guards hold-outs: any name survives the conversion to a file name and back, and each process sees what the
/// other has written.
#[test]
fn hold_out_by_one_process_is_seen_by_the_other() {
    let tmp = folder("hold-outs");
    let mut one = Folder::open(&tmp, "n/0").expect("it opens");
    let mut two = Folder::open(&tmp, "n/0").expect("a second process opens it");
    one.hold_out("s-ü/5", true).expect("it is stored");
    assert_eq!(two.scan().expect("the folder is readable").held_out, BTreeSet::from(["s-ü/5".to_owned()]));
    two.hold_out("s-ü/5", false).expect("it is stored");
    two.hold_out("s-ü/5", false).expect("repeating it is no error");
    assert!(one.scan().expect("the folder is readable").held_out.is_empty());
    assert!(one.hold_out(&"x".repeat(LONGEST_ID + 1), true).is_err());
    fs::remove_dir_all(tmp).expect("it can be removed");
}
