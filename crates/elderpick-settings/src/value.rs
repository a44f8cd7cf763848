//! Unification of a file with a schema.

use serde_json::{Map, Value};

use crate::parse::{Kind, Node, Record};
use crate::quantity::Unit;
use crate::{Place, Problem};

struct Scope<'a> {
    schema: &'a Record,
    file: &'a Record,
    problems: Vec<Problem>,
    depth: usize,
    steps: usize,
}

/// Definitions that refer to one another are followed so deep.
const DEEPEST: usize = 200;
/// Values that are worked out for one file: definitions that double at each step end here.
const MOST_STEPS: usize = 500_000;

pub fn unify(schema: &Record, name: &str, file: &Record) -> Result<Value, Vec<Problem>> {
    let mut scope = Scope { schema, file, problems: Vec::new(), depth: 0, steps: 0 };
    let place = Place { line: 1, column: 1 };
    let root = Node { place, kind: Kind::Name(name.to_owned()) };
    let mut data = file.clone();
    data.fields.retain(|f| !f.name.starts_with('#'));
    let data = Node { place, kind: Kind::Record(data) };
    let value = scope.meet(&root, Some(&data), place, "");
    let mut problems = scope.problems;
    if problems.is_empty() && scope.steps < MOST_STEPS {
        return Ok(value);
    }
    if scope.steps >= MOST_STEPS {
        problems.retain(|p| p.field.is_empty());
        if problems.is_empty() {
            let rule = format!("needs more than {MOST_STEPS} steps to work out");
            problems.push(Problem { place, field: String::new(), rule, found: String::new() });
        }
    }
    problems.sort_by(|a, b| (a.place, &a.field).cmp(&(b.place, &b.field)));
    problems.dedup();
    Err(problems)
}

fn below(path: &str, name: &str) -> String {
    if path.is_empty() { name.to_owned() } else { format!("{path}.{name}") }
}

impl Scope<'_> {
    fn wrong(
        &mut self,
        place: Place,
        path: &str,
        rule: impl Into<String>,
        found: impl Into<String>,
    ) -> Value {
        let (field, rule, found) = (path.to_owned(), rule.into(), found.into());
        self.problems.push(Problem { place, field, rule, found });
        Value::Null
    }

    /// Counts a step. When they are spent the rest of the file is not looked at, and that is told once.
    fn spent(&mut self, place: Place) -> bool {
        self.steps += 1;
        if self.steps == MOST_STEPS {
            self.wrong(place, "", format!("needs more than {MOST_STEPS} steps to work out"), "");
        }
        self.steps >= MOST_STEPS
    }

    fn definition(&self, name: &str) -> Option<Node> {
        let found = self.file.field(name).or_else(|| self.schema.field(name));
        found.filter(|f| f.name.starts_with('#')).map(|f| f.node.clone())
    }

    /// The data with its references to definitions and its `&` worked out, where those are records.
    fn plain(&mut self, data: &Node, path: &str) -> Node {
        if self.spent(data.place) {
            return Node { place: data.place, kind: Kind::Null };
        }
        match &data.kind {
            Kind::Name(name) if name.starts_with('#') => match self.definition(name) {
                Some(node) if self.depth < DEEPEST => {
                    self.depth += 1;
                    let out = self.plain(&node, path);
                    self.depth -= 1;
                    out
                }
                Some(_) => {
                    self.wrong(
                        data.place,
                        path,
                        "definitions may not refer to themselves",
                        format!("`{name}`"),
                    );
                    Node { place: data.place, kind: Kind::Null }
                }
                None => data.clone(),
            },
            Kind::And(a, b) => {
                let (a, b) = (self.plain(a, path), self.plain(b, path));
                match (a.kind, b.kind) {
                    (Kind::Record(mut a), Kind::Record(b)) => {
                        for field in b.fields {
                            match a.fields.iter_mut().find(|f| f.name == field.name) {
                                Some(old) => {
                                    let both =
                                        Kind::And(Box::new(old.node.clone()), Box::new(field.node.clone()));
                                    old.node = Node { place: field.place, kind: both };
                                }
                                None => a.fields.push(field),
                            }
                        }
                        Node { place: b_place(data), kind: Kind::Record(a) }
                    }
                    (a_kind, b_kind) if literal(&a_kind) && literal(&b_kind) => {
                        if shown(&a_kind) != shown(&b_kind) {
                            let (rule, found) =
                                (format!("must be {} as well", shown(&a_kind)), shown(&b_kind));
                            self.wrong(b.place, path, rule, found);
                        }
                        Node { place: b.place, kind: b_kind }
                    }
                    // A value under a rule of the file's own.
                    (value, rule) if literal(&value) => {
                        let value = Node { place: a.place, kind: value };
                        self.scalar(&Node { place: b.place, kind: rule }, &value, path);
                        value
                    }
                    (rule, value) if literal(&value) => {
                        let value = Node { place: b.place, kind: value };
                        self.scalar(&Node { place: a.place, kind: rule }, &value, path);
                        value
                    }
                    (_, b_kind) => Node { place: b.place, kind: b_kind },
                }
            }
            _ => data.clone(),
        }
    }

    /// The value of `data` under `rule`, or of the rule's default where there is no data.
    fn meet(&mut self, rule: &Node, data: Option<&Node>, place: Place, path: &str) -> Value {
        if self.spent(place) {
            return Value::Null;
        }
        if self.depth >= DEEPEST {
            return self.wrong(place, path, "definitions may not refer to themselves", "");
        }
        self.depth += 1;
        let data = data.map(|d| self.plain(d, path));
        let out = self.meet_plain(rule, data.as_ref(), place, path);
        self.depth -= 1;
        out
    }

    fn meet_plain(&mut self, rule: &Node, data: Option<&Node>, place: Place, path: &str) -> Value {
        let at = data.map_or(place, |d| d.place);
        match &rule.kind {
            Kind::Name(name) if name.starts_with('#') => match self.definition(name) {
                Some(node) => self.meet(&node, data, place, path),
                None => self.wrong(at, path, format!("definition {name} is not known"), ""),
            },
            Kind::Or(parts) => self.choose(rule, parts, data, place, path),
            Kind::And(a, b) => match data {
                Some(_) => {
                    let first = self.meet(a, data, place, path);
                    let second = self.meet(b, data, place, path);
                    if first.is_object() && second.is_object() { merge(first, second) } else { first }
                }
                None => match defaults(a) || defaults(b) {
                    true => self.meet(if defaults(a) { a } else { b }, None, place, path),
                    false => self.absent(rule, place, path),
                },
            },
            Kind::Record(record) => {
                let empty = Record::default();
                let (fields, open) = match data.map(|d| &d.kind) {
                    Some(Kind::Record(fields)) => (fields, at),
                    Some(other) => return self.wrong(at, path, "must be a record", shown(other)),
                    // A record whose fields all have defaults need not be written.
                    None => (&empty, place),
                };
                self.record(record, fields, open, path)
            }
            Kind::List(items, rest) => {
                let Some(data) = data else { return self.absent(rule, place, path) };
                let Kind::List(given, _) = &data.kind else {
                    return self.wrong(at, path, "must be a list", shown(&data.kind));
                };
                if given.len() < items.len() {
                    let (rule, found) = (format!("needs {} elements", items.len()), given.len().to_string());
                    return self.wrong(at, path, rule, found);
                }
                let mut out = Vec::new();
                for (k, one) in given.iter().enumerate() {
                    let path = format!("{path}[{k}]");
                    match items.get(k).or(rest.as_deref()) {
                        Some(rule) => out.push(self.meet(rule, Some(one), one.place, &path)),
                        None => {
                            self.wrong(
                                one.place,
                                &path,
                                format!("at most {} elements", items.len()),
                                "one more",
                            );
                        }
                    }
                }
                Value::Array(out)
            }
            _ => match data {
                None if literal(&rule.kind) => self.scalar(rule, rule, path),
                None => self.absent(rule, place, path),
                Some(data) => self.scalar(rule, data, path),
            },
        }
    }

    fn absent(&mut self, rule: &Node, place: Place, path: &str) -> Value {
        self.wrong(place, path, format!("must be given: {}", describe(rule)), "nothing")
    }

    fn record(&mut self, rule: &Record, data: &Record, place: Place, path: &str) -> Value {
        let mut out = Map::new();
        for field in &rule.fields {
            let path = below(path, &field.name);
            match data.field(&field.name) {
                Some(given) => {
                    let value = self.meet(&field.node, Some(&given.node), given.place, &path);
                    out.insert(field.name.clone(), value);
                }
                None if field.optional => {}
                None => {
                    let value = self.meet(&field.node, None, place, &path);
                    out.insert(field.name.clone(), value);
                }
            }
        }
        for field in data.fields.iter().filter(|f| rule.field(&f.name).is_none()) {
            if rule.open {
                let any = Node { place: field.place, kind: Kind::Name("_".into()) };
                let value = self.meet(&any, Some(&field.node), field.place, &below(path, &field.name));
                out.insert(field.name.clone(), value);
            } else {
                let known: Vec<_> = rule.fields.iter().map(|f| f.name.as_str()).collect();
                let rule = format!("no such field; there are {}", known.join(", "));
                self.wrong(field.place, &below(path, &field.name), rule, format!("`{}`", field.name));
            }
        }
        Value::Object(out)
    }

    fn choose(
        &mut self,
        rule: &Node,
        parts: &[(Node, bool)],
        data: Option<&Node>,
        place: Place,
        path: &str,
    ) -> Value {
        let Some(data) = data else {
            return match parts.iter().find(|(_, marked)| *marked) {
                // It may be written as the quantity that another alternative asks for.
                Some((node, _)) if literal(&node.kind) => self.choose(rule, parts, Some(node), place, path),
                Some((node, _)) => self.meet(node, None, place, path),
                None => self.absent(rule, place, path),
            };
        };
        let known = self.problems.len();
        let mut nearest: Option<Vec<Problem>> = None;
        let in_turn = parts.iter().filter(|p| !p.1).chain(parts.iter().filter(|p| p.1));
        for (part, _) in in_turn {
            let value = self.meet(part, Some(data), place, path);
            let found = self.problems.split_off(known);
            if found.is_empty() {
                return value;
            }
            // A record that nearly fits tells more than 'none of these'.
            let deep = matches!(data.kind, Kind::Record(_)) && found.iter().all(|p| p.field != path);
            if deep && nearest.as_ref().is_none_or(|n| found.len() < n.len()) {
                nearest = Some(found);
            }
        }
        match nearest {
            Some(found) => {
                self.problems.extend(found);
                Value::Null
            }
            None => self.wrong(data.place, path, format!("must be {}", describe(rule)), shown(&data.kind)),
        }
    }

    fn scalar(&mut self, rule: &Node, data: &Node, path: &str) -> Value {
        let fits = match (&rule.kind, &data.kind) {
            (Kind::Name(name), _) if name == "_" => true,
            (Kind::Name(name), kind) => match (name.as_str(), kind) {
                ("bool", Kind::Bool(_)) | ("int", Kind::Int(_)) => true,
                ("number", Kind::Int(_) | Kind::Number(_)) | ("string", Kind::Text(_)) => true,
                (name, Kind::Text(text)) => match Unit::named(name).map(|u| (u, u.value(text))) {
                    Some((Unit::Address, Some(_))) => true,
                    Some((_, Some(value))) => return Value::from(value),
                    _ => false,
                },
                _ => false,
            },
            (Kind::Bound(op, to), kind) => match compare(kind, &to.kind) {
                Some(order) => match op.as_str() {
                    ">" => order.is_gt(),
                    ">=" => order.is_ge(),
                    "<" => order.is_lt(),
                    "<=" => order.is_le(),
                    _ => order.is_ne(),
                },
                None => op == "!=",
            },
            (Kind::Null, Kind::Null) => true,
            (a, b) => literal(a) && literal(b) && compare(a, b).is_some_and(|o| o.is_eq()),
        };
        if !fits {
            return self.wrong(data.place, path, format!("must be {}", describe(rule)), shown(&data.kind));
        }
        self.plain_value(data, path)
    }

    fn plain_value(&mut self, data: &Node, path: &str) -> Value {
        match &data.kind {
            Kind::Null => Value::Null,
            Kind::Bool(b) => Value::from(*b),
            Kind::Int(i) => Value::from(*i),
            Kind::Number(n) => Value::from(*n),
            Kind::Text(text) => Value::from(text.as_str()),
            Kind::List(items, _) => items.iter().map(|item| self.plain_value(item, path)).collect(),
            Kind::Record(record) => {
                let fields = record.fields.iter();
                let pairs =
                    fields.map(|f| (f.name.clone(), self.plain_value(&f.node, &below(path, &f.name))));
                Value::Object(pairs.collect())
            }
            other => self.wrong(data.place, path, "must be a value, not a rule", shown(other)),
        }
    }
}

fn b_place(node: &Node) -> Place {
    match &node.kind {
        Kind::And(_, b) => b_place(b),
        _ => node.place,
    }
}

fn merge(first: Value, second: Value) -> Value {
    match (first, second) {
        (Value::Object(mut a), Value::Object(b)) => {
            for (name, value) in b {
                a.entry(name).or_insert(value);
            }
            Value::Object(a)
        }
        (a, _) => a,
    }
}

fn defaults(node: &Node) -> bool {
    match &node.kind {
        Kind::Or(parts) => parts.iter().any(|(_, marked)| *marked),
        Kind::And(a, b) => defaults(a) || defaults(b),
        kind => literal(kind),
    }
}

fn literal(kind: &Kind) -> bool {
    matches!(kind, Kind::Null | Kind::Bool(_) | Kind::Int(_) | Kind::Number(_) | Kind::Text(_))
}

/// Numbers as numbers; strings as quantities where both are the same one, else as text.
fn compare(a: &Kind, b: &Kind) -> Option<std::cmp::Ordering> {
    let number = |kind: &Kind| match kind {
        Kind::Int(i) => Some(*i as f64),
        Kind::Number(n) => Some(*n),
        _ => None,
    };
    match (a, b) {
        (Kind::Text(a), Kind::Text(b)) => {
            let units = [Unit::Duration, Unit::Size, Unit::Rate];
            let both = units.into_iter().find_map(|u| u.value(a).zip(u.value(b)));
            Some(both.map_or_else(|| a.cmp(b), |(a, b)| a.cmp(&b)))
        }
        (Kind::Bool(a), Kind::Bool(b)) => Some(a.cmp(b)),
        _ => number(a)?.partial_cmp(&number(b)?),
    }
}

fn shown(kind: &Kind) -> String {
    match kind {
        Kind::Null => "null".into(),
        Kind::Bool(b) => b.to_string(),
        Kind::Int(i) => i.to_string(),
        Kind::Number(n) => n.to_string(),
        Kind::Text(text) => format!("{:?}", text.chars().take(80).collect::<String>()),
        Kind::Name(name) => format!("`{name}`"),
        Kind::Record(_) => "a record".into(),
        Kind::List(..) => "a list".into(),
        Kind::Bound(..) | Kind::And(..) | Kind::Or(_) => "a rule".into(),
    }
}

/// A rule in words.
fn describe(node: &Node) -> String {
    match &node.kind {
        Kind::Name(name) => match (Unit::named(name), name.as_str()) {
            (Some(unit), _) => unit.says().into(),
            (None, "int") => "a whole number".into(),
            (None, "number") => "a number".into(),
            (None, "string") => "a string".into(),
            (None, "bool") => "true or false".into(),
            (None, "_") => "anything".into(),
            (None, name) => format!("a record {name}"),
        },
        Kind::Bound(op, to) => {
            let words = match op.as_str() {
                ">" => "over",
                ">=" => "at least",
                "<" => "under",
                "<=" => "at most",
                _ => "other than",
            };
            format!("{words} {}", shown(&to.kind))
        }
        Kind::And(a, b) => format!("{}, {}", describe(a), describe(b)),
        Kind::Or(parts) => parts.iter().map(|(p, _)| describe(p)).collect::<Vec<_>>().join(" or "),
        Kind::List(_, Some(rest)) => format!("a list, each {}", describe(rest)),
        kind => shown(kind),
    }
}
