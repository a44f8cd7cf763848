//! The cases. Each returns what broke the rule.

mod crowd;
mod ends;
mod flood;
mod lists;
mod seats;
mod twice;

use std::io;

use crate::Place;

pub fn play(case: &str, place: &Place) -> io::Result<Vec<String>> {
    match case {
        "crowd" => crowd::play(place),
        "ends" => ends::play(place),
        "flood" => flood::play(place),
        "lists" => lists::play(place),
        "seats" => seats::play(place),
        "twice" => twice::play(place),
        _ => Err(io::Error::other("no such case")),
    }
}
