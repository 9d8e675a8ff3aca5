//! Where the fields of a text stand. The text has been read by the real parser before: what is odd here is passed over.

use std::collections::BTreeMap;

/// Lines by the paths of fields.
#[derive(Debug, Default)]
pub struct Places(BTreeMap<String, usize>);

/// A message that is open: its path, how often each field has come in it, and the field that waits for its value.
#[derive(Default)]
struct Open {
    path: String,
    seen: BTreeMap<String, usize>,
    field: Option<(String, usize)>,
    /// It is a list in brackets, whose items belong to the field before it.
    list: bool,
}

impl Open {
    fn path_of(&self, name: &str) -> String {
        if self.path.is_empty() {
            name.to_owned()
        } else {
            format!("{}.{name}", self.path)
        }
    }
}

impl Places {
    pub fn of(text: &str) -> Places {
        let mut places = Places::default();
        let mut open = vec![Open::default()];
        let mut line = 1;
        let mut rest = text.char_indices().peekable();
        while let Some((at, c)) = rest.next() {
            match c {
                '\n' => line += 1,
                '#' => while rest.next_if(|(_, c)| *c != '\n').is_some() {},
                '"' | '\'' => {
                    while let Some((_, d)) = rest.next() {
                        match d {
                            '\\' => drop(rest.next()),
                            '\n' => line += 1,
                            d if d == c => break,
                            _ => {}
                        }
                    }
                }
                '{' | '<' => places.begin(&mut open),
                '[' => open.push(Open { list: true, ..Open::default() }),
                '}' | '>' | ']' if open.len() > 1 => drop(open.pop()),
                c if c.is_alphabetic() || c == '_' => {
                    let word = |c: char| c.is_alphanumeric() || matches!(c, '_' | '.');
                    let mut end = at + c.len_utf8();
                    while let Some((at, c)) = rest.next_if(|(_, c)| word(*c)) {
                        end = at + c.len_utf8();
                    }
                    // A name is followed by a colon or by a message; a word that is neither is a value.
                    let follows = text[end..].trim_start().chars().next();
                    if matches!(follows, Some(':' | '{' | '<')) {
                        places.name(&mut open, &text[at..end], line);
                    }
                }
                _ => {}
            }
        }
        places
    }

    fn name(&mut self, open: &mut [Open], name: &str, line: usize) {
        let Some(message) = open.last_mut().filter(|m| !m.list) else { return };
        let seen = message.seen.entry(name.to_owned()).or_default();
        let number = *seen;
        *seen += 1;
        message.field = Some((name.to_owned(), line));
        let path = message.path_of(name);
        self.0.entry(path.clone()).or_insert(line);
        self.0.insert(format!("{path}[{number}]"), line);
    }

    /// A message begins; it belongs to the last field that was named.
    fn begin(&mut self, open: &mut Vec<Open>) {
        let Some(at) = open.iter().rposition(|m| !m.list) else { return };
        let Some((name, line)) = open[at].field.clone() else { return open.push(Open::default()) };
        let path = open[at].path_of(&name);
        // In brackets each message is one more of the field.
        let in_list = at + 1 < open.len();
        let number = open[at].seen.get(&name).map_or(0, |n| n - 1);
        if in_list {
            open[at].seen.entry(name.clone()).and_modify(|n| *n += 1);
        }
        let path = format!("{path}[{number}]");
        self.0.insert(path.clone(), line);
        open.push(Open { path, ..Open::default() });
    }

    /// The line of a field. A message that is no list stands under its number 0.
    pub fn line(&self, path: &str) -> Option<usize> {
        self.0.get(path).copied().or_else(|| self.0.get(&numbered(path)).copied())
    }
}

/// Each part of a path with its number, where it has none.
fn numbered(path: &str) -> String {
    let parts: Vec<_> = path.split('.').collect();
    let last = parts.len().saturating_sub(1);
    let part = |(n, p): (usize, &&str)| {
        if n == last || p.ends_with(']') {
            (*p).to_owned()
        } else {
            format!("{p}[0]")
        }
    };
    parts.iter().enumerate().map(part).collect::<Vec<_>>().join(".")
}
