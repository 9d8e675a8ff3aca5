//! Messages, written and read in blocking fashion.

use std::io::{self, Read};

use crate::script::Table;

/// One message: its type, and its body.
pub type Message = (u8, Vec<u8>);

pub fn message(tag: u8, body: &[u8]) -> Vec<u8> {
    [&[tag], &(body.len() as u32 + 4).to_be_bytes()[..], body].concat()
}

pub fn startup(parameters: &[(&str, &str)]) -> Vec<u8> {
    let mut body = 196_608_u32.to_be_bytes().to_vec();
    for (name, value) in parameters {
        body.extend([name.as_bytes(), b"\0", value.as_bytes(), b"\0"].concat());
    }
    body.push(0);
    [&(body.len() as u32 + 4).to_be_bytes()[..], &body].concat()
}

pub fn query(statement: &str) -> Vec<u8> {
    message(b'Q', &[statement.as_bytes(), b"\0"].concat())
}

pub fn error(code: &str, text: &str) -> Vec<u8> {
    message(b'E', format!("SERROR\0VERROR\0C{code}\0M{text}\0\0").as_bytes())
}

pub fn parameter(name: &str, value: &str) -> Vec<u8> {
    message(b'S', format!("{name}\0{value}\0").as_bytes())
}

/// The whole answer to an empty query.
pub fn empty_query_answer() -> Vec<u8> {
    [message(b'I', &[]), message(b'Z', b"I")].concat()
}

/// A result of text columns.
pub fn table(table: &Table) -> Vec<u8> {
    let mut bytes = Vec::new();
    for notice in &table.notices {
        bytes.extend(message(b'N', format!("SNOTICE\0VNOTICE\0C00000\0M{notice}\0\0").as_bytes()));
    }
    let mut description = (table.columns.len() as u16).to_be_bytes().to_vec();
    for column in &table.columns {
        description.extend(column.as_bytes());
        // No table, no column number, type text, any length, no modifier, text format.
        description.extend([0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 25, 255, 255, 255, 255, 255, 255, 0, 0]);
    }
    if !table.columns.is_empty() {
        bytes.extend(message(b'T', &description));
    }
    for row in &table.rows {
        let mut body = (row.len() as u16).to_be_bytes().to_vec();
        for value in row {
            match value {
                None => body.extend((-1_i32).to_be_bytes()),
                Some(v) => {
                    body.extend((v.len() as u32).to_be_bytes());
                    body.extend(v);
                }
            }
        }
        bytes.extend(message(b'D', &body));
    }
    let tag = if table.tag.is_empty() { format!("SELECT {}", table.rows.len()) } else { table.tag.clone() };
    bytes.extend(message(b'C', format!("{tag}\0").as_bytes()));
    bytes
}

/// Reads one message.
pub fn read(from: &mut impl Read) -> io::Result<Message> {
    let mut head = [0; 5];
    from.read_exact(&mut head)?;
    let length = u32::from_be_bytes([head[1], head[2], head[3], head[4]]) as usize;
    let mut body = vec![0; length.saturating_sub(4)];
    from.read_exact(&mut body)?;
    Ok((head[0], body))
}

/// Reads what a client begins with: the code, and what follows it.
pub fn read_startup(from: &mut impl Read) -> io::Result<(u32, Vec<u8>)> {
    let mut head = [0; 8];
    from.read_exact(&mut head)?;
    let length = u32::from_be_bytes([head[0], head[1], head[2], head[3]]) as usize;
    let mut rest = vec![0; length.saturating_sub(8)];
    from.read_exact(&mut rest)?;
    Ok((u32::from_be_bytes([head[4], head[5], head[6], head[7]]), rest))
}

/// A field of an ErrorResponse or NoticeResponse.
pub fn field(body: &[u8], name: u8) -> Option<String> {
    let fields = body.split(|b| *b == 0).filter(|f| f.first() == Some(&name));
    fields.map(|f| String::from_utf8_lossy(&f[1..]).into_owned()).next()
}

/// The columns of a DataRow.
pub fn columns(body: &[u8]) -> Option<Vec<Option<Vec<u8>>>> {
    let (count, mut rest) = body.split_at_checked(2)?;
    let mut columns = Vec::new();
    for _ in 0..u16::from_be_bytes([count[0], count[1]]) {
        let (length, after) = rest.split_at_checked(4)?;
        let length = i32::from_be_bytes([length[0], length[1], length[2], length[3]]);
        let (value, after) = after.split_at_checked(usize::try_from(length).unwrap_or(0))?;
        columns.push((length >= 0).then(|| value.to_vec()));
        rest = after;
    }
    rest.is_empty().then_some(columns)
}
