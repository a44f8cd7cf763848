//! JSON objects read strictly: a name that stands twice is an error, at any depth (RFC 7515, 5.2 lets a reader choose).

use std::fmt;

use serde::de::{self, Deserialize, Deserializer, MapAccess, SeqAccess, Visitor};
use serde_json::{Map, Value};

pub struct Strict(pub Value);

impl<'de> Deserialize<'de> for Strict {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        struct Any;
        impl<'de> Visitor<'de> for Any {
            type Value = Value;
            fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str("JSON")
            }
            fn visit_bool<E>(self, v: bool) -> Result<Value, E> {
                Ok(v.into())
            }
            fn visit_i64<E>(self, v: i64) -> Result<Value, E> {
                Ok(v.into())
            }
            fn visit_u64<E>(self, v: u64) -> Result<Value, E> {
                Ok(v.into())
            }
            fn visit_f64<E>(self, v: f64) -> Result<Value, E> {
                Ok(v.into())
            }
            fn visit_str<E>(self, v: &str) -> Result<Value, E> {
                Ok(v.into())
            }
            fn visit_unit<E>(self) -> Result<Value, E> {
                Ok(Value::Null)
            }
            fn visit_seq<A: SeqAccess<'de>>(self, mut seq: A) -> Result<Value, A::Error> {
                let mut list = Vec::new();
                while let Some(Strict(one)) = seq.next_element()? {
                    list.push(one);
                }
                Ok(list.into())
            }
            fn visit_map<A: MapAccess<'de>>(self, mut entries: A) -> Result<Value, A::Error> {
                let mut map = Map::new();
                while let Some(name) = entries.next_key::<String>()? {
                    let Strict(value) = entries.next_value()?;
                    if map.insert(name, value).is_some() {
                        return Err(de::Error::custom(TWICE));
                    }
                }
                Ok(map.into())
            }
        }
        deserializer.deserialize_any(Any).map(Strict)
    }
}

pub const TWICE: &str = "a name stands twice";

/// An object, and whether the reason that there is none is a name that stands twice.
pub fn object(text: &[u8]) -> Result<Map<String, Value>, bool> {
    match serde_json::from_slice(text) {
        Ok(Strict(Value::Object(map))) => Ok(map),
        Ok(_) => Err(false),
        Err(why) => Err(why.to_string().starts_with(TWICE)),
    }
}
