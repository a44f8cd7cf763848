//! The cases. Each returns what broke the rule.

mod crowd;
mod cut;
mod ends;
mod flood;
mod lists;

use std::io;

use crate::Place;

pub fn play(case: &str, place: &Place) -> io::Result<Vec<String>> {
    match case {
        "crowd" => crowd::play(place),
        "cut" => cut::play(place),
        "ends" => ends::play(place),
        "flood" => flood::play(place),
        "lists" => lists::play(place),
        _ => Err(io::Error::other("no such case")),
    }
}
