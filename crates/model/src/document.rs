//! Parses JSON with comments into typed values and reports the location of each error.

use crate::code::Code;
use crate::code::Fault;
use crate::code::Location;
use jsonc_parser::CollectOptions;
use jsonc_parser::ParseOptions;
use jsonc_parser::ast::Value;
use jsonc_parser::common::Ranged;
use serde::de::DeserializeOwned;

/// The largest accepted file, in bytes.
pub const MAX_FILE_BYTES: usize = 16 << 20;

/// A named text file in which field paths can be located.
pub struct Document<'a> {
    name: &'a str,
    text: &'a str,
}

impl<'a> Document<'a> {
    /// Creates a document from the name and text of a file.
    pub fn new(name: &'a str, text: &'a str) -> Self {
        Self { name, text }
    }

    /// Parses the text into a typed value.
    ///
    /// Fails with [`Code::Syntax`], [`Code::UnknownField`], [`Code::MissingField`],
    /// [`Code::OutOfRange`], [`Code::WrongType`] or [`Code::TooLarge`], each with its
    /// location.
    pub fn parse<T: DeserializeOwned>(&self) -> Result<T, Fault> {
        if self.text.len() > MAX_FILE_BYTES {
            let detail = format!(
                "{} bytes exceed the limit of {MAX_FILE_BYTES}",
                self.text.len()
            );
            return Err(Fault::new(Code::TooLarge, detail).with_location(self.location_at(0, "")));
        }
        let value = jsonc_parser::parse_to_serde_value(self.text, &ParseOptions::default())
            .map_err(|e| {
                Fault::new(Code::Syntax, e.kind().to_string())
                    .with_location(self.location_at(e.range().start, ""))
            })?
            .ok_or_else(|| {
                Fault::new(Code::Syntax, "the file is empty").with_location(self.location_at(0, ""))
            })?;
        serde_path_to_error::deserialize(value).map_err(|e| {
            let path = e.path().to_string();
            self.fault(code_of(e.inner()), e.inner().to_string(), &path)
        })
    }

    /// Creates a fault at a field path such as `accounts[0].name`.
    pub fn fault(&self, code: Code, detail: impl AsRef<str>, path: &str) -> Fault {
        Fault::new(code, detail.as_ref()).with_location(self.location_of(path))
    }

    fn location_of(&self, path: &str) -> Location {
        let parsed = jsonc_parser::parse_to_ast(
            self.text,
            &CollectOptions::default(),
            &ParseOptions::default(),
        );
        let offset = parsed
            .ok()
            .and_then(|p| p.value)
            .map_or(0, |root| offset_of(&root, path));
        self.location_at(offset, path)
    }

    fn location_at(&self, offset: usize, path: &str) -> Location {
        let end = (0..=offset.min(self.text.len()))
            .rev()
            .find(|i| self.text.is_char_boundary(*i))
            .unwrap_or(0);
        let before = &self.text[..end];
        let line = before.matches('\n').count() + 1;
        let column = before.chars().rev().take_while(|c| *c != '\n').count() + 1;
        Location {
            file: self.name.into(),
            line,
            column,
            field: if path == "." { "".into() } else { path.into() },
        }
    }
}

fn code_of(error: &serde_json::Error) -> Code {
    let text = error.to_string();
    if text.starts_with("unknown field") {
        Code::UnknownField
    } else if text.starts_with("missing field") {
        Code::MissingField
    } else if text.starts_with("out of range") || text.contains("expected u") {
        Code::OutOfRange
    } else {
        Code::WrongType
    }
}

/// Returns the byte offset of the deepest node on a field path that exists.
fn offset_of(root: &Value<'_>, path: &str) -> usize {
    let mut node = root;
    let mut offset = root.start();
    for step in path.split(['.', '[', ']']).filter(|s| !s.is_empty()) {
        let next = match node {
            Value::Object(object) => object.get(step).map(|p| (p.start(), &p.value)),
            Value::Array(array) => step
                .parse()
                .ok()
                .and_then(|i: usize| array.elements.get(i))
                .map(|v| (v.start(), v)),
            _ => None,
        };
        let Some((start, value)) = next else { break };
        offset = start;
        node = value;
    }
    offset
}
