//! Settings as typed records: a readable subset of CUE, unified with a schema.
//!
//! A schema is a text of definitions (`#Gateway: { … }`); a settings file is a record that is unified with one of
//! them. What comes out is plain data for serde: durations in microseconds, sizes in bytes, rates in bytes a second.
//! All that is wrong in a file is told at once, each [`Problem`] with line, column, field, the rule and what was found.
//!
//! Of CUE (cuelang.org/docs/reference/spec) there are: records, definitions and references to them, `?` and `...`,
//! `a: b: 1`, lists and `[...T]`, `&`, `|` with `*` defaults, bounds, comments, and the types `bool`, `int`, `number`,
//! `string`. `duration`, `size`, `rate` and `address` are ours: strings that must be such. There are no expressions,
//! no interpolation, no imports and no comprehensions.

#![deny(missing_docs)]

mod parse;
mod quantity;
mod value;

use std::fmt;

use serde::de::DeserializeOwned;

/// A place in a text, both counted from 1.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Debug, Default)]
pub struct Place {
    /// The line, counted from 1.
    pub line: usize,
    /// The column, counted from 1.
    pub column: usize,
}

/// One thing wrong with a settings file.
#[derive(Clone, PartialEq, Eq, Debug)]
pub struct Problem {
    /// Where it is.
    pub place: Place,
    /// Path of the field, such as `classes[2].aim`; empty for the whole file.
    pub field: String,
    /// The rule that is broken.
    pub rule: String,
    /// What stands there.
    pub found: String,
}

/// All that is wrong with one file, in the order of its lines.
#[derive(Clone, PartialEq, Eq, Debug)]
pub struct Problems {
    /// The name of the file.
    pub file: String,
    /// All that is wrong with it.
    pub list: Vec<Problem>,
}

impl fmt::Display for Problems {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (k, p) in self.list.iter().enumerate() {
            let end = if k + 1 < self.list.len() { "\n" } else { "" };
            write!(f, "{}:{}:{}: ", self.file, p.place.line, p.place.column)?;
            if !p.field.is_empty() {
                write!(f, "{}: ", p.field)?;
            }
            write!(f, "{}", p.rule)?;
            if !p.found.is_empty() {
                write!(f, ", found {}", p.found)?;
            }
            write!(f, "{end}")?;
        }
        Ok(())
    }
}

impl std::error::Error for Problems {}

/// Largest text that is read, in bytes.
pub const MOST: usize = 4 << 20;

/// A set of definitions.
pub struct Schema(parse::Record);

impl Schema {
    /// Reads a schema; its problems are told as those of any file.
    pub fn new(file: &str, text: &str) -> Result<Schema, Problems> {
        parse::read(text).map(Schema).map_err(|list| Problems { file: file.into(), list })
    }

    /// Unifies a settings text with the definition `name` and gives it as `T`.
    pub fn load<T: DeserializeOwned>(&self, name: &str, file: &str, text: &str) -> Result<T, Problems> {
        let problems = |list| Problems { file: file.into(), list };
        let value = self.unify(name, text).map_err(problems)?;
        serde_json::from_value(value).map_err(|why| {
            // The schema lets pass what the program's type does not take: a fault of the schema, told as such.
            let rule = format!("the schema and the program disagree: {why}");
            problems(vec![Problem {
                place: Place::default(),
                field: String::new(),
                rule,
                found: String::new(),
            }])
        })
    }

    /// The same as plain data.
    pub fn unify(&self, name: &str, text: &str) -> Result<serde_json::Value, Vec<Problem>> {
        let data = parse::read(text)?;
        value::unify(&self.0, name, &data)
    }
}

#[cfg(test)]
mod tests;
