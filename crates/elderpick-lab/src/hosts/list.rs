//! The list service.

use std::convert::Infallible;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http::{Request, StatusCode};
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use tokio::net::TcpListener;
use tokio::sync::mpsc;
use tokio::task::spawn_local;

use super::{Host, State, Stream, World, reply};
use crate::record::What;

pub(super) fn told(id: &str, state: State, started: i64) -> String {
    format!("{{\"id\":\"{id}\",\"state\":\"{}\",\"started_us\":{started}}}", state.name())
}

impl World {
    /// Puts a state into the list; gateways hear of it late.
    pub fn announce(self: &Rc<Self>, host: &Rc<Host>, state: State) {
        host.state.set(state);
        let (world, host) = (self.clone(), host.clone());
        let (started, late) = (host.started.get(), self.list.late.get());
        spawn_local(async move {
            tokio::time::sleep(late).await;
            world.list.known.borrow_mut().insert(host.id.clone(), (state, started));
            if world.list.down.get() {
                return;
            }
            let text =
                format!("event: changes\ndata: {{\"servers\":[{}]}}\n\n", told(&host.id, state, started));
            let record = world.record.clone();
            world.list.listeners.borrow_mut().retain(|(gateway, to)| {
                let reached = to.try_send(Bytes::from(text.clone())).is_ok();
                if reached {
                    let (gateway, host) = (gateway.clone(), host.id.clone());
                    record.add(What::Told { gateway, host, state: state.name().into() });
                }
                reached
            });
        });
    }

    /// The list is out of reach, or again in it.
    pub fn list_down(&self, down: bool) {
        self.list.down.set(down);
        if down {
            self.list.listeners.borrow_mut().clear();
        }
    }

    pub(super) async fn serve_list(self: Rc<Self>, listener: TcpListener) {
        let world = self.clone();
        spawn_local(async move {
            loop {
                tokio::time::sleep(Duration::from_millis(500)).await;
                let mut listeners = world.list.listeners.borrow_mut();
                listeners.retain(|(_, to)| to.try_send(Bytes::from_static(b":\n\n")).is_ok());
            }
        });
        while let Ok((stream, _)) = listener.accept().await {
            if self.list.down.get() {
                continue;
            }
            let world = self.clone();
            let service = service_fn(move |request: Request<Incoming>| {
                let world = world.clone();
                async move {
                    let gateway = request.headers().get("elderpick-gateway").and_then(|g| g.to_str().ok());
                    let gateway = gateway.unwrap_or("").to_owned();
                    let (sender, receiver) = mpsc::channel(256);
                    let known = world.list.known.borrow();
                    let servers = known.iter().map(|(id, (state, started))| told(id, *state, *started));
                    let servers = servers.collect::<Vec<_>>().join(",");
                    let _ = sender
                        .try_send(Bytes::from(format!("event: full\ndata: {{\"servers\":[{servers}]}}\n\n")));
                    for (host, (state, _)) in known.iter() {
                        let (gateway, host) = (gateway.clone(), host.clone());
                        world.record.add(What::Told { gateway, host, state: state.name().into() });
                    }
                    world.list.listeners.borrow_mut().push((gateway, sender));
                    let mut reply = reply(StatusCode::OK, "text/event-stream", "");
                    *reply.body_mut() = Stream::Events(receiver);
                    Ok::<_, Infallible>(reply)
                }
            });
            spawn_local(async move {
                let _ = http1::Builder::new().serve_connection(TokioIo::new(stream), service).await;
            });
        }
    }

    /// The inventory of the hosts, as CSV.
    pub fn inventory(&self) -> String {
        let mut text = String::from("id,address,zone,kind,cell\n");
        for host in &self.hosts {
            text += &format!("{},{},galway,std,{}\n", host.id, host.address.get(), host.rack);
        }
        text
    }
}
