//! Links each node to the boxes and to its discovery agent.

use std::io;
use std::net::{Ipv4Addr, SocketAddr};
use std::rc::Rc;

use hallpin_emulator::{agent, loopback};
use tokio::net::TcpListener;
use tokio::sync::watch;

use crate::fakes::{CacheBox, Discovery, ProcessGeneration};
use crate::relay::{Network, Site, TcpLink};
use crate::spec::Spec;
use crate::trace::Recorder;

/// Links a node to the boxes, and returns the address at which the node reaches each box.
pub(super) fn link_boxes(
    spec: &Spec,
    recorder: &Rc<Recorder>,
    network: &Rc<Network>,
    boxes: &[Rc<CacheBox>],
    node: usize,
    ip: Ipv4Addr,
) -> io::Result<Vec<SocketAddr>> {
    let box_hosts = spec.box_hosts();
    let listen_addresses = loopback::reserve_ports(ip, boxes.len())?;
    for (number, cache_box) in boxes.iter().enumerate().filter(|(number, _)| box_hosts[*number] == *number) {
        let members: Vec<_> = boxes
            .iter()
            .zip(&box_hosts)
            .filter(|(_, m)| **m == number)
            .map(|(b, _)| b.generations())
            .collect();
        let link = TcpLink {
            from: Site::Node(node),
            to: Site::Box(number),
            listen: listen_addresses[number],
            target: cache_box.address,
            source: ip,
            up: any_up(members),
            recorder: recorder.clone(),
        };
        tokio::task::spawn_local(link.run(network.clone()));
    }
    Ok(box_hosts.iter().map(|ip| listen_addresses[*ip]).collect())
}

/// Whether any of the boxes at one address has a running process.
fn any_up(mut members: Vec<watch::Receiver<ProcessGeneration>>) -> watch::Receiver<bool> {
    let is_up = |members: &mut Vec<watch::Receiver<ProcessGeneration>>| {
        members.iter_mut().any(|generations| generations.borrow_and_update().is_up())
    };
    let (up_sender, up) = watch::channel(is_up(&mut members));
    for at in 0..members.len() {
        let (mut members, mut own, up_sender) = (members.clone(), members[at].clone(), up_sender.clone());
        tokio::task::spawn_local(async move {
            while own.changed().await.is_ok() {
                up_sender.send_replace(is_up(&mut members));
            }
        });
    }
    up
}

/// Starts a node's discovery agent and links it to the node, and returns the address at which the node reaches the
/// agent.
pub(super) async fn link_discovery(
    discovery: &Rc<Discovery>,
    recorder: &Rc<Recorder>,
    network: &Rc<Network>,
    node: usize,
    ip: Ipv4Addr,
    agents: Ipv4Addr,
) -> io::Result<SocketAddr> {
    let listener = TcpListener::bind((agents, 0)).await?;
    let (up, is_up) = watch::channel(true);
    let link = TcpLink {
        from: Site::Node(node),
        to: Site::List,
        listen: loopback::reserve_ports(ip, 1)?[0],
        target: listener.local_addr()?,
        source: ip,
        up: is_up,
        recorder: recorder.clone(),
    };
    let listen_addresses = link.listen;
    let serving = agent::serve(discovery.agent(node), listener);
    tokio::task::spawn_local(async move {
        let _up = up;
        serving.await;
    });
    tokio::task::spawn_local(link.run(network.clone()));
    Ok(listen_addresses)
}
