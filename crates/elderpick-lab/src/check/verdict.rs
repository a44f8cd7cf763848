//! The verdict on a drill.
//!
//! kind: tool

use std::collections::BTreeMap;

/// What was found of one rule.
#[derive(Clone, Debug)]
pub struct Rule {
    pub number: usize,
    pub name: &'static str,
    /// Events that the rule applied to.
    pub judged: usize,
    /// Broken, each with what was seen.
    pub broken: Vec<String>,
    /// How near the rule came to being broken.
    pub margin: String,
}

/// What became of a class's requests.
#[derive(Clone, Default, Debug)]
pub struct Service {
    pub asked: usize,
    pub plays: usize,
    pub sent_on: usize,
    pub refused: usize,
    pub failed: usize,
    pub left: usize,
    pub whole: usize,
    pub broken: usize,
    pub segments: usize,
    pub short: usize,
    pub rung_changes: usize,
}

#[derive(Clone, Debug)]
pub struct Verdict {
    pub rules: Vec<Rule>,
    pub service: BTreeMap<String, Service>,
    pub further: usize,
    pub downs: usize,
}

impl Verdict {
    pub fn broken(&self) -> bool {
        self.rules.iter().any(|r| !r.broken.is_empty())
    }

    /// The tables, as they are printed.
    pub fn table(&self) -> String {
        let mut out = format!("{:<4} {:<34} {:>7} {:>7}  margin\n", "rule", "", "judged", "broken");
        for r in &self.rules {
            out += &format!(
                "{:<4} {:<34} {:>7} {:>7}  {}\n",
                r.number,
                r.name,
                r.judged,
                r.broken.len(),
                r.margin
            );
        }
        for r in self.rules.iter().filter(|r| !r.broken.is_empty()) {
            for what in r.broken.iter().take(5) {
                out += &format!("  rule {}: {what}\n", r.number);
            }
        }
        out += &format!(
            "\n{:<12} {:>6} {:>6} {:>7} {:>8} {:>7} {:>5} {:>6} {:>7} {:>9} {:>6} {:>6}\n",
            "class",
            "asked",
            "plays",
            "sent on",
            "refused",
            "failed",
            "left",
            "whole",
            "broken",
            "segments",
            "short",
            "rungs"
        );
        for (class, s) in &self.service {
            out += &format!(
                "{class:<12} {:>6} {:>6} {:>7} {:>8} {:>7} {:>5} {:>6} {:>7} {:>9} {:>6} {:>6}\n",
                s.asked,
                s.plays,
                s.sent_on,
                s.refused,
                s.failed,
                s.left,
                s.whole,
                s.broken,
                s.segments,
                s.short,
                s.rung_changes
            );
        }
        out + &format!("further attempts {}, hosts that went down {}\n", self.further, self.downs)
    }
}
