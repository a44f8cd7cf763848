//! The inventory: what servers there are, as configuration tools keep it, in CSV or YAML.
//!
//! A file is read whole or not at all. Every row that cannot be accepted is told with its line, field and reason, and
//! then none is taken. CSV has a header that names the columns; YAML is a list of mappings, or a mapping with the key
//! `servers`. The fields are the same in both: `id`, `address`, `zone`, `kind`, `cell`, `weight`, `started`, `state`.
//! What changes while a gateway runs comes from the list service; a changed file is read by a later start.

#![deny(missing_docs)]

use std::collections::BTreeMap;
use std::fmt;
use std::net::SocketAddr;

use saphyr::{LoadableYamlNode, MarkedYaml, Scalar, YamlData};

/// Whether a server takes sessions.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum State {
    /// It takes new sessions.
    Up,
    /// It takes no new sessions; those that it has go on.
    Draining,
    /// It is out of service.
    Gone,
}

/// One media server.
#[derive(Clone, PartialEq, Debug)]
pub struct Server {
    /// Its name.
    pub id: String,
    /// Where it listens.
    pub address: SocketAddr,
    /// The name of its zone.
    pub zone: String,
    /// The name of its kind.
    pub kind: String,
    /// Tells its rack and which titles it holds.
    pub cell: usize,
    /// Its size over that of others.
    pub weight: f64,
    /// Its last start, microseconds since 1970, where that is known.
    pub started: Option<i64>,
    /// Whether it may be used.
    pub state: State,
}

/// Why a row is not accepted.
#[derive(Clone, PartialEq, Eq, Debug)]
pub struct Fault {
    /// Counted from 1; 0 concerns the whole file.
    pub line: usize,
    /// The field that is wrong.
    pub field: String,
    /// What is wrong with it.
    pub why: String,
}

/// All that is wrong with one file.
#[derive(Clone, PartialEq, Eq, Debug)]
pub struct Faults {
    /// The name of the file.
    pub file: String,
    /// All that is wrong with it.
    pub list: Vec<Fault>,
}

impl fmt::Display for Faults {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (k, fault) in self.list.iter().enumerate() {
            let end = if k + 1 < self.list.len() { "\n" } else { "" };
            let field = if fault.field.is_empty() { String::new() } else { format!("{}: ", fault.field) };
            write!(f, "{}:{}: {field}{}{end}", self.file, fault.line, fault.why)?;
        }
        Ok(())
    }
}

impl std::error::Error for Faults {}

/// The notation of a file.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum Format {
    /// Comma-separated values, with a line of names.
    Csv,
    /// YAML.
    Yaml,
}

impl Format {
    /// By the ending of a file's name.
    pub fn of(file: &str) -> Option<Format> {
        match file.rsplit('.').next()? {
            "csv" => Some(Format::Csv),
            "yaml" | "yml" => Some(Format::Yaml),
            _ => None,
        }
    }
}

/// Most bytes of a file, and most servers in it.
pub const MOST_BYTES: usize = 16 << 20;
/// Servers that an inventory may name at most.
pub const MOST_SERVERS: usize = 20_000;
const MOST_FAULTS: usize = 200;
const FIELDS: [&str; 8] = ["id", "address", "zone", "kind", "cell", "weight", "started", "state"];

/// A row before its values are checked: the line of the row and of each value.
struct Row {
    line: usize,
    values: BTreeMap<String, (usize, String)>,
}

/// Reads an inventory whole, or tells all that is wrong with it. `zones` and `kinds` are those the settings name; an
/// empty list accepts any.
pub fn read(
    file: &str,
    text: &[u8],
    format: Format,
    zones: &[String],
    kinds: &[String],
) -> Result<Vec<Server>, Faults> {
    let faults = |list| Faults { file: file.to_owned(), list };
    let whole = |line, why: String| faults(vec![Fault { line, field: String::new(), why }]);
    if text.len() > MOST_BYTES {
        return Err(whole(0, format!("{} bytes, {MOST_BYTES} at most", text.len())));
    }
    let text = text.strip_prefix(b"\xef\xbb\xbf").unwrap_or(text);
    let text = std::str::from_utf8(text).map_err(|at| {
        let before = &text[..at.valid_up_to()];
        whole(1 + before.iter().filter(|&&b| b == b'\n').count(), "not UTF-8".into())
    })?;
    let mut list = Vec::new();
    let rows = match format {
        Format::Csv => csv_rows(text, &mut list),
        Format::Yaml => yaml_rows(text, &mut list),
    };
    let mut servers = Vec::new();
    let (mut ids, mut addresses) = (BTreeMap::new(), BTreeMap::new());
    for row in rows {
        let before = list.len();
        let server = check(&row, zones, kinds, &mut list);
        let Some(server) = server.filter(|_| list.len() == before) else { continue };
        let mut twice = |field: &str, first: Option<usize>| {
            if let Some(first) = first {
                let why = format!("stands in line {first} already");
                list.push(Fault { line: row.line, field: field.into(), why });
            }
        };
        twice("id", ids.insert(server.id.clone(), row.line));
        twice("address", addresses.insert(server.address, row.line));
        servers.push(server);
    }
    if servers.len() > MOST_SERVERS {
        let why = format!("{} servers, {MOST_SERVERS} at most", servers.len());
        list.push(Fault { line: 0, field: String::new(), why });
    }
    if list.is_empty() {
        return Ok(servers);
    }
    list.sort_by(|a, b| (a.line, &a.field).cmp(&(b.line, &b.field)));
    list.truncate(MOST_FAULTS);
    Err(faults(list))
}

fn csv_rows(text: &str, faults: &mut Vec<Fault>) -> Vec<Row> {
    let mut reader = csv::ReaderBuilder::new()
        .comment(Some(b'#'))
        .trim(csv::Trim::All)
        .flexible(true)
        .from_reader(text.as_bytes());
    let mut fault = |line, field: &str, why: String| faults.push(Fault { line, field: field.into(), why });
    let header = match reader.headers() {
        Ok(header) => header.clone(),
        Err(why) => {
            fault(1, "", why.to_string());
            return Vec::new();
        }
    };
    for (k, name) in header.iter().enumerate() {
        if !FIELDS.contains(&name) {
            fault(1, name, format!("no such column; there are {}", FIELDS.join(", ")));
        } else if header.iter().take(k).any(|n| n == name) {
            fault(1, name, "the column stands twice".into());
        }
    }
    let mut rows = Vec::new();
    for record in reader.records() {
        let record = match record {
            Ok(record) => record,
            Err(why) => {
                let line = why.position().map_or(0, |p| p.line() as usize);
                fault(line, "", why.to_string());
                continue;
            }
        };
        let line = record.position().map_or(0, |p| p.line() as usize);
        if record.len() != header.len() {
            fault(line, "", format!("{} values under {} columns", record.len(), header.len()));
            continue;
        }
        let values = header.iter().zip(record.iter()).filter(|(_, value)| !value.is_empty());
        let values = values.map(|(name, value)| (name.to_owned(), (line, value.to_owned()))).collect();
        rows.push(Row { line, values });
    }
    rows
}

fn yaml_rows(text: &str, faults: &mut Vec<Fault>) -> Vec<Row> {
    let mut fault = |line, field: &str, why: &str| {
        faults.push(Fault { line, field: field.into(), why: why.into() });
    };
    let documents = match MarkedYaml::load_from_str(text) {
        Ok(documents) => documents,
        Err(why) => {
            fault(why.marker().line(), "", why.info());
            return Vec::new();
        }
    };
    let [document] = &documents[..] else {
        fault(0, "", "one document is wanted");
        return Vec::new();
    };
    let list = match &document.data {
        YamlData::Sequence(list) => list,
        YamlData::Mapping(top) => {
            let servers = top.iter().find(|(key, _)| key.data.as_str() == Some("servers"));
            match servers.map(|(_, value)| &value.data) {
                Some(YamlData::Sequence(list)) => list,
                _ => {
                    fault(document.span.start.line(), "servers", "must be a list of servers");
                    return Vec::new();
                }
            }
        }
        _ => {
            fault(document.span.start.line(), "", "must be a list of servers");
            return Vec::new();
        }
    };
    let mut rows = Vec::new();
    for item in list {
        let line = item.span.start.line();
        let YamlData::Mapping(fields) = &item.data else {
            fault(line, "", "a server must be a mapping");
            continue;
        };
        let mut values = BTreeMap::new();
        for (key, value) in fields {
            let at = key.span.start.line();
            let Some(name) = key.data.as_str() else {
                fault(at, "", "the name of a field must be a string");
                continue;
            };
            if !FIELDS.contains(&name) {
                fault(at, name, &format!("no such field; there are {}", FIELDS.join(", ")));
                continue;
            }
            let text = match &value.data {
                YamlData::Value(Scalar::String(text)) => text.to_string(),
                YamlData::Value(Scalar::Integer(int)) => int.to_string(),
                YamlData::Value(Scalar::FloatingPoint(float)) => float.to_string(),
                YamlData::Value(Scalar::Boolean(bool)) => bool.to_string(),
                YamlData::Value(Scalar::Null) => continue,
                _ => {
                    fault(at, name, "must be a single value");
                    continue;
                }
            };
            values.insert(name.to_owned(), (at, text));
        }
        rows.push(Row { line, values });
    }
    rows
}

fn check(row: &Row, zones: &[String], kinds: &[String], faults: &mut Vec<Fault>) -> Option<Server> {
    let mut fault = |field: &str, why: String| {
        let line = row.values.get(field).map_or(row.line, |v| v.0);
        faults.push(Fault { line, field: field.into(), why });
    };
    let text = |field: &str| row.values.get(field).map(|(_, text)| text.as_str());
    let id = text("id").unwrap_or_default();
    let plain = |c: char| c.is_ascii_alphanumeric() || "._-".contains(c);
    if id.is_empty() || id.len() > 128 || !id.chars().all(plain) {
        fault("id", format!("must be 1 to 128 letters, digits, '.', '_' or '-', found {id:?}"));
    }
    let address = text("address").unwrap_or_default().parse::<SocketAddr>();
    if address.is_err() {
        fault("address", format!("must be IP:port, found {:?}", text("address").unwrap_or_default()));
    }
    let mut named = |field: &str, known: &[String]| {
        let name = text(field).unwrap_or_default().to_owned();
        if name.is_empty() || !(known.is_empty() || known.contains(&name)) {
            let known = if known.is_empty() { "a name".into() } else { known.join(", ") };
            fault(field, format!("must be one of: {known}; found {name:?}"));
        }
        name
    };
    let (zone, kind) = (named("zone", zones), named("kind", kinds));
    let cell = text("cell").unwrap_or("0").parse::<usize>();
    if cell.is_err() {
        fault("cell", format!("must be a whole number, found {:?}", text("cell").unwrap_or_default()));
    }
    let weight = text("weight").unwrap_or("1").parse::<f64>().ok().filter(|w| w.is_finite() && *w > 0.0);
    if weight.is_none() {
        fault("weight", format!("must be a number over 0, found {:?}", text("weight").unwrap_or_default()));
    }
    let started = text("started").map(|at| at.parse::<jiff::Timestamp>());
    if let Some(Err(_)) = &started {
        fault(
            "started",
            format!("must be a time by RFC 3339, found {:?}", text("started").unwrap_or_default()),
        );
    }
    let state = match text("state").unwrap_or("up") {
        "up" => Some(State::Up),
        "draining" => Some(State::Draining),
        "gone" => Some(State::Gone),
        other => {
            fault("state", format!("must be up, draining or gone, found {other:?}"));
            None
        }
    };
    let started = started.and_then(|at| at.ok()).map(|at| at.as_microsecond());
    Some(Server {
        id: id.to_owned(),
        address: address.ok()?,
        zone,
        kind,
        cell: cell.ok()?,
        weight: weight?,
        started,
        state: state?,
    })
}

#[cfg(test)]
#[path = "../tests/unit/crate_root.rs"]
mod tests;
