//! The page: which of its parts are generated, and whether they are what the record gives.

mod measured;
mod roles;
mod tables;

use crate::model::Model;
use crate::record::Record;

/// How a line begins that opens a generated block; its name and [`OPENS_END`] follow.
const OPENS: &str = "<!-- generated: ";
const OPENS_END: &str = " -->";
/// The line that closes a generated block.
const CLOSES: &str = "<!-- end -->";

/// A generated block of the page.
struct Block {
    name: &'static str,
    text: fn(&Model<'_>) -> String,
}

/// All generated blocks; each has to be on the page once.
const BLOCKS: [Block; 14] = [
    Block { name: "run", text: measured::run },
    Block { name: "size", text: tables::size },
    Block { name: "overview", text: tables::overview },
    Block { name: "roles", text: roles::roles },
    Block { name: "over", text: tables::over },
    Block { name: "within", text: tables::within },
    Block { name: "no-limit", text: tables::without_limit },
    Block { name: "not-measured", text: tables::not_measured },
    Block { name: "side-by-side", text: tables::side_by_side },
    Block { name: "assumptions", text: tables::assumptions },
    Block { name: "effects", text: tables::effects },
    Block { name: "model", text: measured::resting_model },
    Block { name: "slopes", text: measured::slopes },
    Block { name: "figures", text: measured::figures },
];

/// What is wrong with the markers of a page.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum PageError {
    /// A block that the record gives is not on the page.
    Absent(String),
    /// The page has a block of a name that the record doesn't give.
    Unknown(String),
    /// The page has this block more than once.
    Twice(String),
    /// This block is not closed before the next one or the page's end.
    Open(String),
}

impl std::fmt::Display for PageError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            PageError::Absent(name) => write!(f, "the page has no generated block {name:?}"),
            PageError::Unknown(name) => write!(f, "the page has an unknown generated block {name:?}"),
            PageError::Twice(name) => write!(f, "the page has the generated block {name:?} twice"),
            PageError::Open(name) => write!(f, "the generated block {name:?} is not closed"),
        }
    }
}

impl std::error::Error for PageError {}

/// The first line in which a page is not what its record gives.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Difference {
    /// The block that the line is in.
    pub block: String,
    /// The line's number on the page, from 1.
    pub line: usize,
    /// The line on the page; `None` past its end.
    pub on_page: Option<String>,
    /// The line that the record gives; `None` past its end.
    pub from_record: Option<String>,
}

impl std::fmt::Display for Difference {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        let or_end = |line: &Option<String>| line.clone().unwrap_or_else(|| "(the end)".to_owned());
        writeln!(f, "line {}, in the generated block {:?}:", self.line, self.block)?;
        writeln!(f, "  on the page:     {}", or_end(&self.on_page))?;
        write!(f, "  from the record: {}", or_end(&self.from_record))
    }
}

/// `page` with all generated blocks as `record` gives them.
///
/// # Errors
///
/// Where the markers of the blocks are not as they have to be.
pub fn regenerate(page: &str, record: &Record) -> Result<String, PageError> {
    let model = Model::stated(record);
    let mut written = Vec::new();
    let mut text = String::new();
    let mut lines = page.lines();
    while let Some(line) = lines.next() {
        push_line(&mut text, line);
        let Some(name) = opened(line) else { continue };
        let block = BLOCKS.iter().find(|block| block.name == name);
        let block = block.ok_or_else(|| PageError::Unknown(name.to_owned()))?;
        if written.contains(&block.name) {
            return Err(PageError::Twice(name.to_owned()));
        }
        written.push(block.name);
        skip_block(&mut lines, name)?;
        push_line(&mut text, "");
        push_line(&mut text, (block.text)(&model).trim_end());
        push_line(&mut text, "");
        push_line(&mut text, CLOSES);
    }
    match BLOCKS.iter().find(|block| !written.contains(&block.name)) {
        Some(absent) => Err(PageError::Absent(absent.name.to_owned())),
        None => Ok(text),
    }
}

/// The first line of `page` that is not what `record` gives, if there is one.
///
/// # Errors
///
/// Where the markers of the blocks are not as they have to be.
pub fn difference(page: &str, record: &Record) -> Result<Option<Difference>, PageError> {
    let wanted = regenerate(page, record)?;
    let (mut found, mut wanted) = (page.lines(), wanted.lines());
    let mut block = "";
    for line in 1.. {
        let (on_page, from_record) = (found.next(), wanted.next());
        if on_page != from_record {
            let (on_page, from_record) = (on_page.map(str::to_owned), from_record.map(str::to_owned));
            return Ok(Some(Difference { block: block.to_owned(), line, on_page, from_record }));
        }
        let Some(same) = on_page else { break };
        block = opened(same).unwrap_or(block);
    }
    Ok(None)
}

/// The name of the block that `line` opens.
fn opened(line: &str) -> Option<&str> {
    line.strip_prefix(OPENS)?.strip_suffix(OPENS_END)
}

/// Takes the lines of a block, up to the one that closes it.
fn skip_block<'a>(lines: &mut impl Iterator<Item = &'a str>, name: &str) -> Result<(), PageError> {
    match lines.find(|line| *line == CLOSES || opened(line).is_some()) {
        Some(CLOSES) => Ok(()),
        _ => Err(PageError::Open(name.to_owned())),
    }
}

fn push_line(text: &mut String, line: &str) {
    text.push_str(line);
    text.push('\n');
}

/// A table in Markdown.
struct Table(String);

impl Table {
    fn new(columns: &[&str]) -> Self {
        let mut table = Table(String::new());
        table.row(columns);
        table.row(&vec!["---"; columns.len()]);
        table
    }

    fn row<T: AsRef<str>>(&mut self, cells: &[T]) {
        for cell in cells {
            self.0.push_str("| ");
            self.0.push_str(&cell.as_ref().replace('|', "\\|").replace('\n', " "));
            self.0.push(' ');
        }
        self.0.push_str("|\n");
    }
}
