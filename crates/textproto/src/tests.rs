//! Tests of the part named by the folder.

use super::*;

const SCHEMA: &str = r#"
    syntax = "proto3"; package t;
    message File { repeated Part part = 1; optional double share = 2; Kind kind = 3; repeated string name = 4; }
    message Part { string name = 1; optional uint32 many = 2; Part inner = 3; repeated Part part = 4; int32 at = 5; }
    enum Kind { NONE = 0; SOME = 1; }
"#;

/// Guards what operators are told: the line and the field of what is set, and of what is missing its message's.
#[test]
fn tells_where_things_stand() {
    let schema = Schema::new("t.proto", SCHEMA, "t.File").expect("the schema");
    let text = "# part { name: 'no' }\nshare: 0.5 kind: SOME\nname: ['a', \"b\"]\npart { name: 'x' }\n\
                part: <\n  inner { many: 3,\n   name: '}' }\n  part {} part {\n at: -1 }\n>\n";
    let file = schema.parse(text).expect("it is read");
    assert_eq!((file.fraction("share"), file.word("kind")), (Some(0.5), 1));
    assert_eq!(file.texts("name"), ["a", "b"]);
    let parts = file.list("part");
    assert_eq!((parts.len(), parts[0].text("name").as_str()), (2, "x"));
    assert_eq!(parts[0].wrong("name", "odd"), "4: part[0].name: odd");
    assert_eq!(parts[0].wrong("many", "missing"), "4: part[0].many: missing");
    let inner = parts[1].inner("inner").expect("it is set");
    assert_eq!((inner.number("many"), inner.has("part"), inner.text("name").as_str()), (3, false, "}"));
    assert_eq!(inner.wrong("name", "odd"), "7: part[1].inner.name: odd");
    assert_eq!(parts[1].list("part")[1].signed("at"), -1);
    assert_eq!(parts[1].list("part")[1].wrong("at", "odd"), "9: part[1].part[1].at: odd");
    assert!(schema.parse("share: 1\n  shape: 2").is_err_and(|e| e.starts_with("2:3: ")));
    assert!(Schema::new("t.proto", SCHEMA, "t.None").is_err());
}
