//! What went over the sockets, as stand-ins and viewers saw it: the only thing the checker reads.

use std::cell::RefCell;
use std::rc::Rc;
use std::time::{SystemTime, UNIX_EPOCH};

use serde::{Deserialize, Serialize};

/// Microseconds since 1970.
pub fn now() -> i64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |d| d.as_micros() as i64)
}

#[derive(Clone, PartialEq, Debug, Serialize, Deserialize)]
#[serde(tag = "what", rename_all = "snake_case")]
pub enum What {
    /// A viewer sent a request for a session.
    Asked {
        trace: String,
        /// Who asks; the same for all its tries.
        viewer: String,
        gateway: String,
        class: String,
        /// The licence and the holder that its token names.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        seat: Option<(String, String)>,
    },
    /// It got the final answer.
    Replied {
        trace: String,
        code: u16,
    },
    /// It closed its connection before the answer, by its own will or since its time was up.
    LeftWaiting {
        trace: String,
        patient: bool,
    },
    /// The connection broke: the gateway was killed.
    CutOff {
        trace: String,
    },
    /// A viewer's session ended; whether it played to its end.
    Played {
        trace: String,
        whole: bool,
        segments: usize,
        short: usize,
        rung_changes: usize,
    },
    /// A host got a set-up.
    SetUp {
        host: String,
        gateway: String,
        session: String,
        class: String,
        title: String,
        rung: usize,
        trace: String,
    },
    /// What the host did with it: `plays`, `full`, `failed`, `cut` (the gateway closed), `lost` (no answer was given).
    SetUpDone {
        host: String,
        session: String,
        how: String,
    },
    /// The host holds a session no more.
    Over {
        host: String,
        session: String,
        /// Bytes of segments that went out.
        #[serde(default)]
        bytes: u64,
    },
    /// The host's process ended, by a trouble or since it was pushed over when cold.
    Down {
        host: String,
        pushed: bool,
    },
    Up {
        host: String,
    },
    RungSet {
        host: String,
        session: String,
        rung: usize,
    },
    /// The list service wrote a state of a server to a gateway.
    Told {
        gateway: String,
        host: String,
        state: String,
    },
    GatewayUp {
        gateway: String,
    },
    GatewayDown {
        gateway: String,
    },
    Trouble {
        kind: String,
        on: bool,
    },
}

#[derive(Clone, PartialEq, Debug, Serialize, Deserialize)]
pub struct Line {
    pub at: i64,
    #[serde(flatten)]
    pub what: What,
}

/// The growing record of one run.
#[derive(Clone, Default)]
pub struct Record(Rc<RefCell<Vec<Line>>>);

impl Record {
    pub fn add(&self, what: What) {
        self.0.borrow_mut().push(Line { at: now(), what });
    }

    pub fn lines(&self) -> Vec<Line> {
        self.0.borrow().clone()
    }

    pub fn since(&self, from: usize) -> Vec<Line> {
        self.0.borrow()[from..].to_vec()
    }
}
