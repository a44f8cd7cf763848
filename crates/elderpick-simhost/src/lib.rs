//! The adapter between the simulator's wire and the decision core. It translates and decides nothing.

#![deny(missing_docs)]

mod wire;

use std::collections::BTreeMap;

use elderpick_core::Controller;
use elderpick_core::api::{
    Action, Entry, Event, ListKind, Note, Report, RequestId, ServerId, ServerState, Status, Viewing,
};
use elderpick_platform::boot;
use wire::{Batch, Code, Feedback, FleetKind, Member, MemberStatus, News, Order, Reply, Wish};

/// Hosts the instances of one process. They share nothing but the numbered lists of the wire.
#[derive(Default)]
pub struct Host {
    cores: BTreeMap<u64, Controller>,
    banks: BTreeMap<u64, Vec<Entry>>,
}

impl Host {
    /// Answers one batch, given as a line, with one reply line (without its end).
    pub fn batch(&mut self, line: &[u8]) -> Result<String, String> {
        let batch: Batch = serde_json::from_slice(line).map_err(|e| format!("not a batch: {e}"))?;
        let mut orders = Vec::new();
        let mut actions = Vec::new();
        for news in batch.news {
            let Some((instance, event)) = self.translate(news)? else { continue };
            let core =
                self.cores.get_mut(&instance).ok_or_else(|| format!("instance {instance} never began"))?;
            core.handle(batch.ts_us, event, &mut actions);
            orders.extend(actions.drain(..).map(|action| order(instance, action)));
        }
        serde_json::to_string(&Reply { orders }).map_err(|e| format!("cannot write the reply: {e}"))
    }

    /// The event behind a piece of news; none for what concerns the host alone or no decision.
    fn translate(&mut self, news: News) -> Result<Option<(u64, Event)>, String> {
        Ok(Some(match news {
            News::Attach { i, entropy, boot_info } => {
                self.cores.insert(
                    i,
                    Controller::new(entropy, boot::settings(&boot_info).map_err(|why| why.to_string())?),
                );
                return Ok(None);
            }
            News::Retire { i } => {
                self.cores.remove(&i);
                return Ok(None);
            }
            News::Roster { bank, members_list } => {
                self.banks.insert(bank, members_list.into_iter().map(entry).collect());
                return Ok(None);
            }
            News::Inbox { .. } => return Ok(None),
            News::Fleet { i, kind, bank } => {
                let kind = match kind {
                    FleetKind::Update => ListKind::Changes,
                    FleetKind::Replace => ListKind::Full,
                    FleetKind::Restored => ListKind::Restored,
                    FleetKind::Unavailable => ListKind::Failed,
                };
                let entries = match bank {
                    _ if kind == ListKind::Failed => Vec::new(),
                    Some(bank) => {
                        self.banks.get(&bank).cloned().ok_or(format!("roster {bank} is not known"))?
                    }
                    None => return Err("a fleet event names no roster".into()),
                };
                (i, Event::List { kind, entries })
            }
            News::Incoming { i, corr, wish } => {
                (i, Event::Request { id: request(&corr)?, viewing: viewing(wish) })
            }
            News::Preexisting { i, corr, host, wish } => {
                (i, Event::Open { id: request(&corr)?, viewing: viewing(wish), server: server(host) })
            }
            News::Established { i, corr, hop } => (i, Event::Playing { id: request(&corr)?, attempt: hop }),
            News::Completed { i, corr, hop, code, done_flag, feedback } => {
                let (id, report) = (request(&corr)?, report(feedback));
                (i, Event::Outcome { id, attempt: hop, status: status(code), closed: done_flag, report })
            }
            News::Heartbeat { i, corr, host, topic, amount } => {
                let note = match topic {
                    1 => Note::Delivered(amount),
                    2 => Note::Rung(amount as usize),
                    3 => Note::LinkAsked(amount),
                    4 => Note::UplinkAsked(amount),
                    _ => return Ok(None),
                };
                (i, Event::Noted { id: request(&corr)?, server: server(host), note })
            }
            News::HealthResult { i, host, code, feedback } => {
                (i, Event::Probed { server: server(host), status: status(code), report: report(feedback) })
            }
            News::CancelledByClient { i, corr } => (i, Event::Gone { id: request(&corr)? }),
            News::TickDue { i, token } => (i, Event::Alarm { token }),
        }))
    }
}

fn order(i: u64, action: Action) -> Order {
    match action {
        Action::Rate { id, rung } => Order::SetRate { i, corr: corr(id), step: rung },
        Action::Send { id, server, timeout } => {
            Order::Issue { i, corr: corr(id), host: server.to_string(), try_for_us: timeout }
        }
        Action::Refuse { id, retry_after } => Order::Reject { i, corr: corr(id), stay_away_us: retry_after },
        Action::Fail { id } => Order::FinishError { i, corr: corr(id) },
        Action::Probe { server } => Order::Ping { i, host: server.to_string() },
        Action::Subscribe => Order::Tail { i, active: true },
        Action::Fetch => Order::Reload { i },
        Action::Alarm { token, at } => Order::SetAlarm { i, token, due_at_us: at },
    }
}

fn request(corr: &str) -> Result<RequestId, String> {
    let digits = corr.len() == 16 && corr.bytes().all(|b| b.is_ascii_hexdigit());
    let id = digits.then(|| u64::from_str_radix(corr, 16).ok()).flatten();
    id.map(RequestId).ok_or_else(|| format!("{corr:?} is no request id"))
}

fn corr(id: RequestId) -> String {
    format!("{:016x}", id.0)
}

fn server(host: String) -> ServerId {
    ServerId(host.into())
}

fn viewing(wish: Wish) -> Viewing {
    Viewing {
        class: wish.profile,
        title: wish.item,
        left: wish.remaining_us,
        hint: wish.effort_us.filter(|&hint| hint > 0),
        home: wish.first_cell,
        copies: wish.holders,
        top: wish.ceiling_rung.unwrap_or(usize::MAX),
    }
}

fn entry(member: Member) -> Entry {
    Entry {
        server: server(member.host),
        zone: member.region_part,
        kind: member.family_type,
        cell: member.slot_no,
        state: match member.status {
            MemberStatus::InService => ServerState::Up,
            MemberStatus::Terminating => ServerState::Draining,
            MemberStatus::Terminated => ServerState::Gone,
        },
        weight: member.weight,
        started: member.came_up_us.filter(|&at| at != 0),
    }
}

fn report(feedback: Option<Feedback>) -> Report {
    feedback.map_or(Report::default(), |f| Report {
        link: f.x0.or(f.utilization),
        uplink: f.x1,
        streams: f.outstanding,
    })
}

fn status(code: Code) -> Status {
    match code {
        Code::Ok => Status::Ok,
        Code::Failed => Status::Failed,
        Code::QueueFull => Status::Full,
        Code::TimedOut => Status::TimedOut,
        Code::ConnectError => Status::ConnectError,
        Code::ResetByPeer => Status::Reset,
        Code::Canceled => Status::Cancelled,
        Code::Ignored => Status::Ignored,
    }
}
