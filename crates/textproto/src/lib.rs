//! Operators' files in protobuf's text format, read by a schema that the program carries. What is wrong with a file is told
//! with its line, its field, and what was expected: also where the text is well formed and its meaning is not.

mod places;

use std::rc::Rc;

use prost_reflect::{DescriptorPool, DynamicMessage, MessageDescriptor, ReflectMessage, Value};

use places::Places;

/// A message that a file is read as.
#[derive(Clone, Debug)]
pub struct Schema(MessageDescriptor);

/// The one file that a schema stands in.
struct Embedded(&'static str, &'static str);

impl protox::file::FileResolver for Embedded {
    fn open_file(&self, name: &str) -> Result<protox::file::File, protox::Error> {
        if name == self.0 {
            protox::file::File::from_source(name, self.1)
        } else {
            Err(protox::Error::file_not_found(name))
        }
    }
}

impl Schema {
    /// The message of this full name, in a schema's text.
    ///
    /// # Errors
    /// Where the schema is none, or has no such message.
    pub fn new(file: &'static str, text: &'static str, message: &str) -> Result<Schema, String> {
        let mut resolver = protox::file::ChainFileResolver::new();
        resolver.add(Embedded(file, text));
        let mut compiler = protox::Compiler::with_file_resolver(resolver);
        compiler.open_file(file).map_err(|e| e.to_string())?;
        let pool: DescriptorPool = compiler.descriptor_pool();
        let found = pool.get_message_by_name(message);
        found.map(Schema).ok_or_else(|| format!("{file} has no message {message}"))
    }

    /// Reads the text of a file.
    ///
    /// # Errors
    /// What is wrong with it, behind its line and column.
    pub fn parse(&self, text: &str) -> Result<Message, String> {
        let read = DynamicMessage::parse_text_format(self.0.clone(), text).map_err(|e| place(text, &e))?;
        Ok(Message { read, path: String::new(), places: Rc::new(Places::of(text)) })
    }
}

/// What the parser complains of, behind the line and the column where it stands.
fn place(text: &str, error: &prost_reflect::text_format::ParseError) -> String {
    use miette::Diagnostic;
    let at = error.labels().and_then(|mut l| l.next()).map(|l| l.offset());
    let before = text.get(..at.unwrap_or(0)).unwrap_or(text);
    let line = before.matches('\n').count() + 1;
    let column = before.rsplit('\n').next().map_or(0, str::len) + 1;
    format!("{line}:{column}: {error}")
}

/// A message of a file, and where it stands there. Fields are asked for by their names in the schema; one that is not set has
/// its type's zero.
#[derive(Clone, Debug)]
pub struct Message {
    read: DynamicMessage,
    path: String,
    places: Rc<Places>,
}

impl Message {
    fn value(&self, name: &str) -> Option<Value> {
        self.read.get_field_by_name(name).map(std::borrow::Cow::into_owned)
    }

    fn within(&self, path: String, read: DynamicMessage) -> Message {
        Message { read, path, places: Rc::clone(&self.places) }
    }

    fn path_of(&self, name: &str) -> String {
        if self.path.is_empty() {
            name.to_owned()
        } else {
            format!("{}.{name}", self.path)
        }
    }

    /// Whether the file sets a field.
    pub fn has(&self, name: &str) -> bool {
        self.read.descriptor().get_field_by_name(name).is_some_and(|f| self.read.has_field(&f))
    }

    /// A field of text.
    pub fn text(&self, name: &str) -> String {
        self.value(name).and_then(|v| v.as_str().map(str::to_owned)).unwrap_or_default()
    }

    /// A repeated field of text.
    pub fn texts(&self, name: &str) -> Vec<String> {
        let list = self.value(name);
        let list = list.as_ref().and_then(Value::as_list).unwrap_or_default();
        list.iter().filter_map(Value::as_str).map(str::to_owned).collect()
    }

    /// A field of a whole number that is not negative.
    pub fn number(&self, name: &str) -> u64 {
        let value = self.value(name);
        value.and_then(|v| v.as_u64().or_else(|| v.as_u32().map(u64::from))).unwrap_or(0)
    }

    /// A repeated field of such numbers.
    pub fn numbers(&self, name: &str) -> Vec<u64> {
        let list = self.value(name);
        let list = list.as_ref().and_then(Value::as_list).unwrap_or_default();
        list.iter().filter_map(|v| v.as_u64().or_else(|| v.as_u32().map(u64::from))).collect()
    }

    /// A field of a whole number.
    pub fn signed(&self, name: &str) -> i64 {
        let value = self.value(name);
        value.and_then(|v| v.as_i64().or_else(|| v.as_i32().map(i64::from))).unwrap_or(0)
    }

    /// A field of a fraction, where the file sets it.
    pub fn fraction(&self, name: &str) -> Option<f64> {
        let value = self.value(name).filter(|_| self.has(name))?;
        value.as_f64().or_else(|| value.as_f32().map(f64::from))
    }

    /// A field that is true or false.
    pub fn flag(&self, name: &str) -> bool {
        self.value(name).and_then(|v| v.as_bool()).unwrap_or(false)
    }

    /// The number of a field's word.
    pub fn word(&self, name: &str) -> i32 {
        self.value(name).and_then(|v| v.as_enum_number()).unwrap_or(0)
    }

    /// The numbers of a repeated field's words.
    pub fn words(&self, name: &str) -> Vec<i32> {
        let list = self.value(name);
        let list = list.as_ref().and_then(Value::as_list).unwrap_or_default();
        list.iter().filter_map(Value::as_enum_number).collect()
    }

    /// A message in a field, where the file has one.
    pub fn inner(&self, name: &str) -> Option<Message> {
        let value = self.value(name).filter(|_| self.has(name))?;
        Some(self.within(self.path_of(name), value.as_message()?.clone()))
    }

    /// The messages in a repeated field.
    pub fn list(&self, name: &str) -> Vec<Message> {
        let list = self.value(name);
        let list = list.as_ref().and_then(Value::as_list).unwrap_or_default();
        let messages = list.iter().filter_map(Value::as_message).enumerate();
        messages.map(|(n, m)| self.within(format!("{}[{n}]", self.path_of(name)), m.clone())).collect()
    }

    /// What is wrong with a field, behind its line and its path. Where the file does not set it, the line is its message's.
    pub fn wrong(&self, field: &str, what: &str) -> String {
        let path = if field.is_empty() { self.path.clone() } else { self.path_of(field) };
        match self.places.line(&path).or_else(|| self.places.line(&self.path)) {
            Some(line) => format!("{line}: {path}: {what}"),
            None => format!("{path}: {what}"),
        }
    }
}

#[cfg(test)]
mod tests;
