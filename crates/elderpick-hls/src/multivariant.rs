//! Multivariant playlists.

use url::Url;

use crate::line::{Fault, Limits, Variables, attribute, fault, lines, tag, with_attribute};

/// One variant stream.
#[derive(Clone, PartialEq, Debug)]
pub struct Variant {
    /// BANDWIDTH, in bits a second.
    pub bandwidth: u64,
    /// Its media playlist at the media host.
    pub uri: Url,
    attributes: String,
}

/// Another media playlist that the multivariant one names: a rendition or an I-frame stream.
#[derive(Clone, PartialEq, Debug)]
pub struct Rendition {
    /// Its media playlist at the media host.
    pub uri: Url,
    /// It is an I-frame stream.
    pub iframes: bool,
}

/// Which media playlist of a session a URI is wanted for.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum Part {
    /// The variant at the rung in force.
    Main,
    /// The place of a rendition in [`Multivariant::renditions`].
    Rendition(usize),
}

#[derive(Clone, PartialEq, Debug)]
enum Line {
    Kept(String),
    Variant(usize),
    /// Tag, attributes, place in `renditions`; TYPE and GROUP-ID of EXT-X-MEDIA.
    Rendition {
        tag: &'static str,
        list: String,
        at: Option<usize>,
        group: Option<(String, String)>,
    },
}

/// A multivariant playlist as a media host gave it, its URIs absolute.
#[derive(Clone, PartialEq, Debug)]
pub struct Multivariant {
    /// The variants, in the order of the file.
    pub variants: Vec<Variant>,
    /// The renditions, in the order of the file.
    pub renditions: Vec<Rendition>,
    /// For the media playlists, which may import them.
    pub variables: Variables,
    lines: Vec<Line>,
}

const MEDIA: &str = "#EXT-X-MEDIA";
const IFRAMES: &str = "#EXT-X-I-FRAME-STREAM-INF";

impl Multivariant {
    /// Reads a playlist that was loaded from `base`.
    pub fn parse(text: &[u8], base: &Url, limits: Limits) -> Result<Self, Fault> {
        let mut out = Multivariant {
            variants: Vec::new(),
            renditions: Vec::new(),
            variables: Variables::default(),
            lines: Vec::new(),
        };
        let mut pending: Option<(usize, &str)> = None;
        for (n, line) in lines(text, limits)?.into_iter().skip(1) {
            if !line.starts_with('#') {
                let Some((_, list)) = pending.take() else {
                    return fault(n, "a URI that no EXT-X-STREAM-INF announces");
                };
                let Some(bandwidth) = attribute(list, "BANDWIDTH").and_then(|b| b.parse().ok()) else {
                    return fault(n, "EXT-X-STREAM-INF without a BANDWIDTH");
                };
                let uri = out.variables.resolve(n, base, line)?;
                out.lines.push(Line::Variant(out.variants.len()));
                out.variants.push(Variant { bandwidth, uri, attributes: list.to_owned() });
            } else if let Some((n, _)) = pending {
                return fault(n, "EXT-X-STREAM-INF is not followed by a URI");
            } else if let Some(list) = tag(line, "#EXT-X-STREAM-INF") {
                pending = Some((n, list));
            } else if let Some(list) = tag(line, "#EXT-X-DEFINE") {
                let line = out.variables.define(n, list, &Variables::default(), base)?;
                out.lines.push(Line::Kept(line));
            } else if let Some(list) = tag(line, MEDIA) {
                out.rendition(n, base, MEDIA, list)?;
            } else if let Some(list) = tag(line, IFRAMES) {
                out.rendition(n, base, IFRAMES, list)?;
            } else if let Some(list) = tag(line, "#EXT-X-SESSION-KEY") {
                let list = out.variables.absolute(n, base, list)?;
                out.lines.push(Line::Kept(format!("#EXT-X-SESSION-KEY:{list}")));
            } else if let Some(list) = tag(line, "#EXT-X-SESSION-DATA") {
                let list = out.variables.absolute(n, base, list)?;
                out.lines.push(Line::Kept(format!("#EXT-X-SESSION-DATA:{list}")));
            } else if tag(line, "#EXT-X-CONTENT-STEERING").is_some() {
                // The gateway steers: a second one would move viewers off the server that has room.
            } else if tag(line, "#EXTINF").is_some() || tag(line, "#EXT-X-TARGETDURATION").is_some() {
                return fault(n, "a media playlist where a multivariant one is wanted");
            } else {
                out.lines.push(Line::Kept(line.to_owned()));
            }
        }
        match pending {
            Some((n, _)) => fault(n, "EXT-X-STREAM-INF is not followed by a URI"),
            None if out.variants.is_empty() => fault(0, "no variant"),
            None => Ok(out),
        }
    }

    fn rendition(&mut self, n: usize, base: &Url, tag: &'static str, list: &str) -> Result<(), Fault> {
        let at = match attribute(list, "URI") {
            None if tag == IFRAMES => return fault(n, "EXT-X-I-FRAME-STREAM-INF without a URI"),
            None => None,
            Some(uri) => {
                let uri = self.variables.resolve(n, base, uri)?;
                self.renditions.push(Rendition { uri, iframes: tag == IFRAMES });
                Some(self.renditions.len() - 1)
            }
        };
        let group = attribute(list, "TYPE").zip(attribute(list, "GROUP-ID"));
        let group = group.map(|(kind, id)| (kind.to_owned(), id.to_owned()));
        self.lines.push(Line::Rendition { tag, list: list.to_owned(), at, group });
        Ok(())
    }

    /// The variant that plays a rung of a ladder, given in bits a second. Where there are as many rates as rungs they
    /// belong to each other by rank; else it is the best that the rung's rate carries.
    pub fn variant_for(&self, rung: usize, ladder: &[u64]) -> usize {
        let mut rates: Vec<u64> = self.variants.iter().map(|v| v.bandwidth).collect();
        rates.sort_unstable();
        rates.dedup();
        let wanted = match ladder.get(rung) {
            Some(_) if rates.len() == ladder.len() => rates[rung],
            Some(&rate) => rates.iter().copied().rfind(|&r| r <= rate).unwrap_or(rates[0]),
            None => rates[rates.len() - 1],
        };
        self.variants.iter().position(|v| v.bandwidth == wanted).unwrap_or(0)
    }

    /// The playlist for one session: the chosen variant alone, with the renditions that it refers to. `path` gives the
    /// URI at which the session's own media playlists are served.
    pub fn for_session(&self, variant: usize, path: impl Fn(Part) -> String) -> String {
        let Some(chosen) = self.variants.get(variant) else { return String::new() };
        let refers = |kind: &str, id: &str| attribute(&chosen.attributes, kind) == Some(id);
        let mut out = String::from("#EXTM3U\n");
        for line in &self.lines {
            match line {
                Line::Kept(text) => out.push_str(text),
                Line::Variant(k) if *k == variant => {
                    out.push_str("#EXT-X-STREAM-INF:");
                    out.push_str(&chosen.attributes);
                    out.push('\n');
                    out.push_str(&path(Part::Main));
                }
                Line::Rendition { tag, list, at, group } => {
                    if group.as_ref().is_some_and(|(kind, id)| !refers(kind, id)) {
                        continue;
                    }
                    out.push_str(tag);
                    out.push(':');
                    match at {
                        Some(k) => out.push_str(&with_attribute(list, "URI", &path(Part::Rendition(*k)))),
                        None => out.push_str(list),
                    }
                }
                Line::Variant(_) => continue,
            }
            out.push('\n');
        }
        out
    }
}
