//! Tests of the part named by the folder.

use super::*;

fn folder(test: &str) -> PathBuf {
    let path = std::env::temp_dir().join(format!("gradeshunt-files-{test}-{}", std::process::id()));
    let _ = fs::remove_dir_all(&path);
    fs::create_dir_all(&path).expect("a folder");
    path
}

/// Guards the file's own story: a lock that is a process's, whose duty is its own from the first moment on.
#[test]
fn a_process_that_follows_another_has_none_of_its_duty() {
    let tmp = folder("follows");
    let mut first = Folder::open(&tmp, "n0").expect("it opens");
    first.tell(Duty::Serving).expect("it is written");
    let mut watcher = Folder::open(&tmp, "n0").expect("beside it");
    assert_eq!(watcher.look().expect("it looks").other, Some(Duty::Serving));
    drop(first);
    assert_eq!(watcher.look().expect("it looks").other, None, "a lock ends with its holder");
    let _third = Folder::open(&tmp, "n0").expect("it takes the first one's file");
    assert_eq!(watcher.look().expect("it looks").other, Some(Duty::Starting));
    fs::remove_dir_all(tmp).expect("it can be removed");
}

/// Guards bans: any name goes through a file name and back, and each process sees what the other has written.
#[test]
fn a_ban_by_one_is_seen_by_the_other() {
    let tmp = folder("bans");
    let mut one = Folder::open(&tmp, "n/0").expect("it opens");
    let mut two = Folder::open(&tmp, "n/0").expect("beside it");
    one.hold_out("s-ü/5", true).expect("it is kept");
    assert_eq!(two.look().expect("it looks").held_out, BTreeSet::from(["s-ü/5".to_owned()]));
    two.hold_out("s-ü/5", false).expect("it is kept");
    two.hold_out("s-ü/5", false).expect("once more is no error");
    assert!(one.look().expect("it looks").held_out.is_empty());
    assert!(one.hold_out(&"x".repeat(LONGEST + 1), true).is_err());
    fs::remove_dir_all(tmp).expect("it can be removed");
}
