//! From text to a tree. The words come from logos; the grammar is small enough to be read off the functions.

use logos::{Lexer, Logos};

use crate::{MOST, Place, Problem};

#[derive(Logos, Clone, PartialEq, Debug)]
#[logos(skip r"[ \t\r]+")]
#[logos(skip r"//[^\n]*")]
enum Word {
    #[token("\n")]
    Line,
    #[token("{")]
    Open,
    #[token("}")]
    Close,
    #[token("[")]
    ListOpen,
    #[token("]")]
    ListClose,
    #[token("(")]
    GroupOpen,
    #[token(")")]
    GroupClose,
    #[token(":")]
    Colon,
    #[token("?")]
    Optional,
    #[token(",")]
    Comma,
    #[token("...")]
    Dots,
    #[token("&")]
    And,
    #[token("|")]
    Or,
    #[token("*")]
    Default,
    #[regex(r">=|<=|!=|>|<", |w| w.slice().to_owned())]
    Compare(String),
    #[regex(r"[#_A-Za-z][#_A-Za-z0-9-]*", |w| w.slice().to_owned())]
    Name(String),
    #[regex(r"-?[0-9][0-9_]*(\.[0-9]+)?([eE][+-]?[0-9]+)?", |w| w.slice().replace('_', ""))]
    Number(String),
    #[regex(r#""([^"\\\n]|\\.)*""#, unquote)]
    Text(String),
}

fn unquote(word: &mut Lexer<Word>) -> Option<String> {
    serde_json::from_str(word.slice()).ok()
}

/// A tree with its place in the text.
#[derive(Clone, Debug)]
pub struct Node {
    pub place: Place,
    pub kind: Kind,
}

#[derive(Clone, Debug)]
pub enum Kind {
    Null,
    Bool(bool),
    Int(i64),
    Number(f64),
    Text(String),
    /// A type or a definition.
    Name(String),
    /// Operator and operand.
    Bound(String, Box<Node>),
    And(Box<Node>, Box<Node>),
    /// Alternatives; a marked one is the default.
    Or(Vec<(Node, bool)>),
    Record(Record),
    /// Elements, and what further ones must be.
    List(Vec<Node>, Option<Box<Node>>),
}

#[derive(Clone, Debug, Default)]
pub struct Record {
    pub fields: Vec<Field>,
    /// `...`: other fields may stand here.
    pub open: bool,
}

#[derive(Clone, Debug)]
pub struct Field {
    pub name: String,
    pub place: Place,
    pub optional: bool,
    pub node: Node,
}

impl Record {
    pub fn field(&self, name: &str) -> Option<&Field> {
        self.fields.iter().find(|f| f.name == name)
    }
}

/// Nesting that is followed; more is an error, not a full stack.
const DEEPEST: usize = 64;
/// Problems told of one file.
const MOST_PROBLEMS: usize = 100;

struct Parser {
    words: Vec<(Word, Place)>,
    at: usize,
    depth: usize,
    problems: Vec<Problem>,
    end: Place,
}

/// Given up at a place; the problem is noted.
struct Stop;

/// Reads a whole file as a record.
pub fn read(text: &str) -> Result<Record, Vec<Problem>> {
    let problem = |place, rule: String, found: String| Problem { place, field: String::new(), rule, found };
    if text.len() > MOST {
        return Err(vec![problem(
            Place::default(),
            format!("at most {MOST} bytes"),
            format!("{}", text.len()),
        )]);
    }
    let text = text.strip_prefix('\u{feff}').unwrap_or(text);
    let (mut words, mut problems) = (Vec::new(), Vec::new());
    let (mut line, mut from) = (1, 0);
    let mut lexer = Word::lexer(text);
    while let Some(word) = lexer.next() {
        let span = lexer.span();
        let place = Place { line, column: 1 + text[from..span.start].chars().count() };
        match word {
            Ok(word) => {
                if word == Word::Line {
                    (line, from) = (line + 1, span.end);
                }
                words.push((word, place));
            }
            Err(()) if problems.len() < MOST_PROBLEMS => {
                problems.push(problem(place, "not a word of settings".into(), format!("{:?}", &text[span])));
            }
            Err(()) => {}
        }
    }
    let end = Place { line, column: 1 + text[from..].chars().count() };
    let mut parser = Parser { words, at: 0, depth: 0, problems, end };
    let record = parser.record(true);
    let mut problems = parser.problems;
    match record {
        Ok(record) if problems.is_empty() => Ok(record),
        _ => {
            problems.sort_by_key(|p| p.place);
            problems.truncate(MOST_PROBLEMS);
            Err(problems)
        }
    }
}

impl Parser {
    fn peek(&self) -> Option<&Word> {
        self.words.get(self.at).map(|(word, _)| word)
    }

    fn place(&self) -> Place {
        self.words.get(self.at).map_or(self.end, |(_, place)| *place)
    }

    fn take(&mut self, word: &Word) -> bool {
        let there = self.peek() == Some(word);
        self.at += usize::from(there);
        there
    }

    fn skip_lines(&mut self) {
        while self.take(&Word::Line) {}
    }

    fn wanted<T>(&mut self, what: &str) -> Result<T, Stop> {
        let found = match self.peek() {
            None => "the end of the file".to_owned(),
            Some(Word::Line) => "the end of the line".to_owned(),
            Some(Word::Text(text)) => format!("{text:?}"),
            Some(Word::Name(name) | Word::Number(name) | Word::Compare(name)) => format!("`{name}`"),
            Some(Word::Open) => "`{`".to_owned(),
            Some(Word::Close) => "`}`".to_owned(),
            Some(Word::ListOpen) => "`[`".to_owned(),
            Some(Word::ListClose) => "`]`".to_owned(),
            Some(word) => format!("{word:?}").to_lowercase(),
        };
        let rule = format!("here must stand {what}");
        if self.problems.len() < MOST_PROBLEMS {
            self.problems.push(Problem { place: self.place(), field: String::new(), rule, found });
        }
        Err(Stop)
    }

    /// Fields up to the closing brace, or to the end of the file. A field that cannot be read is skipped to the end
    /// of its line, so that the problems of the others are told as well.
    fn record(&mut self, file: bool) -> Result<Record, Stop> {
        let mut record = Record::default();
        loop {
            while self.take(&Word::Line) || self.take(&Word::Comma) {}
            match self.peek() {
                None if file => return Ok(record),
                Some(Word::Close) if !file => {
                    self.at += 1;
                    return Ok(record);
                }
                None => return self.wanted("`}`"),
                Some(Word::Dots) => {
                    self.at += 1;
                    record.open = true;
                }
                _ => match self.field() {
                    Ok(field) => match record.fields.iter_mut().find(|f| f.name == field.name) {
                        // The same field twice must hold both.
                        Some(old) => {
                            let (place, first) = (old.node.place, old.node.clone());
                            let kind = Kind::And(Box::new(first), Box::new(field.node));
                            old.node = Node { place, kind };
                            old.optional &= field.optional;
                        }
                        None => record.fields.push(field),
                    },
                    Err(Stop) => {
                        self.recover();
                        // A brace that closes nothing was told above.
                        if file && self.peek() == Some(&Word::Close) {
                            self.at += 1;
                        }
                    }
                },
            }
        }
    }

    fn recover(&mut self) {
        let mut depth = 0usize;
        while let Some(word) = self.peek() {
            match word {
                Word::Open | Word::ListOpen => depth += 1,
                Word::Close if depth == 0 => return,
                Word::Close | Word::ListClose => depth = depth.saturating_sub(1),
                Word::Line if depth == 0 => return,
                _ => {}
            }
            self.at += 1;
        }
    }

    fn field(&mut self) -> Result<Field, Stop> {
        let place = self.place();
        let name = match self.peek() {
            Some(Word::Name(name) | Word::Text(name)) => name.clone(),
            _ => return self.wanted("the name of a field"),
        };
        self.at += 1;
        let optional = self.take(&Word::Optional);
        if !self.take(&Word::Colon) {
            return self.wanted("`:`");
        }
        // `a: b: 1` is a record in a record.
        let nested = matches!(self.peek(), Some(Word::Name(_) | Word::Text(_)))
            && matches!(self.words.get(self.at + 1), Some((Word::Colon, _)));
        let node = if nested {
            let inner = self.deeper(|p| p.field())?;
            let record = Record { fields: vec![inner], open: false };
            Node { place, kind: Kind::Record(record) }
        } else {
            self.or()?
        };
        match self.peek() {
            None | Some(Word::Line | Word::Comma | Word::Close) => Ok(Field { name, place, optional, node }),
            _ => self.wanted("the end of the field"),
        }
    }

    fn deeper<T>(&mut self, f: impl FnOnce(&mut Self) -> Result<T, Stop>) -> Result<T, Stop> {
        if self.depth >= DEEPEST {
            return self.wanted(&format!("no more than {DEEPEST} levels"));
        }
        self.depth += 1;
        let out = f(self);
        self.depth -= 1;
        out
    }

    fn or(&mut self) -> Result<Node, Stop> {
        let place = self.place();
        let mut parts = Vec::new();
        loop {
            let marked = self.take(&Word::Default);
            parts.push((self.and()?, marked));
            if !self.take(&Word::Or) {
                break;
            }
            self.skip_lines();
        }
        Ok(match parts.pop() {
            Some((only, false)) if parts.is_empty() => only,
            Some(last) => {
                parts.push(last);
                Node { place, kind: Kind::Or(parts) }
            }
            None => Node { place, kind: Kind::Or(parts) },
        })
    }

    fn and(&mut self) -> Result<Node, Stop> {
        let mut left = self.operand()?;
        while self.take(&Word::And) {
            self.skip_lines();
            let right = self.operand()?;
            left = Node { place: left.place, kind: Kind::And(Box::new(left), Box::new(right)) };
        }
        Ok(left)
    }

    fn operand(&mut self) -> Result<Node, Stop> {
        let place = self.place();
        let Some(word) = self.peek().cloned() else { return self.wanted("a value") };
        let kind = match word {
            Word::Name(name) => match name.as_str() {
                "null" => Kind::Null,
                "true" => Kind::Bool(true),
                "false" => Kind::Bool(false),
                _ => Kind::Name(name),
            },
            Word::Text(text) => Kind::Text(text),
            Word::Number(text) => match text.parse::<i64>() {
                Ok(int) => Kind::Int(int),
                Err(_) => match text.parse::<f64>() {
                    Ok(number) if number.is_finite() => Kind::Number(number),
                    _ => return self.wanted("a number within bounds"),
                },
            },
            Word::Compare(op) => {
                self.at += 1;
                let operand = self.deeper(|p| p.operand())?;
                return Ok(Node { place, kind: Kind::Bound(op, Box::new(operand)) });
            }
            Word::GroupOpen => {
                self.at += 1;
                self.skip_lines();
                let inner = self.deeper(|p| p.or())?;
                self.skip_lines();
                if !self.take(&Word::GroupClose) {
                    return self.wanted("`)`");
                }
                return Ok(inner);
            }
            Word::Open => {
                self.at += 1;
                let record = self.deeper(|p| p.record(false))?;
                return Ok(Node { place, kind: Kind::Record(record) });
            }
            Word::ListOpen => {
                self.at += 1;
                return self.deeper(|p| p.list(place));
            }
            _ => return self.wanted("a value"),
        };
        self.at += 1;
        Ok(Node { place, kind })
    }

    fn list(&mut self, place: Place) -> Result<Node, Stop> {
        let (mut items, mut rest) = (Vec::new(), None);
        loop {
            self.skip_lines();
            if self.take(&Word::ListClose) {
                return Ok(Node { place, kind: Kind::List(items, rest) });
            }
            if self.take(&Word::Dots) {
                let any = Node { place, kind: Kind::Name("_".into()) };
                let of = if matches!(self.peek(), Some(Word::ListClose)) { any } else { self.or()? };
                rest = Some(Box::new(of));
            } else {
                items.push(self.or()?);
            }
            self.skip_lines();
            if !self.take(&Word::Comma) && self.peek() != Some(&Word::ListClose) {
                return self.wanted("`,` or `]`");
            }
        }
    }
}
