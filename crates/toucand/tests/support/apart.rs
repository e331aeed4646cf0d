//! Two routers that can be cut off from each other, and one of them from the host list, before engines that start again
//! with other versions.

use std::{fs, path::Path, rc::Rc, sync::Arc, time::Duration};

use actix_rt::{task::JoinHandle, time};
use rustix::process::{kill_process, Pid, Signal};
use serde_json::Value;
use tsw_load::{
    delay::Timer,
    relay::{Link, Relay},
};

use crate::support::{self, host_list::HostList, process::Process, Router, Upstream, TOKEN};

const NAMES: [&str; 3] = ["engine-1", "engine-2", "engine-3"];
/// Number of tokens of each response, so that a stream takes 8 s.
const TOKENS: u64 = 400;
/// Number of streams that run at the same time.
pub const STREAMS: usize = 6;
/// Time after which all streams that were sent have begun.
const BEGIN_TIME: Duration = Duration::from_millis(300);
/// Time in which routers that have started find each other.
const FIND_PEERS_TIME: Duration = Duration::from_millis(2_500);

/// The outcome of a response and the versions that sent its tokens, in order.
pub type Response = (String, Vec<String>);

/// Two routers and some engines.
pub struct Fleet {
    /// The first one can be cut off.
    pub routers: Vec<Router>,
    pub engines: Vec<Process>,
    /// The list with all engines.
    all: Value,
    list_link: Arc<Link>,
    peer_link: Arc<Link>,
    /// Relays end when it is dropped.
    _relay: Relay,
}

impl Fleet {
    /// Starts a fleet with an engine of each version, which the host list names. The first router schedules them, so
    /// that its streams wait for no peer.
    pub async fn start(versions: &[&'static str]) -> Self {
        Self::start_listed(versions, &NAMES, true).await
    }

    /// Starts a fleet with an engine of each version, of which the host list names some. Says whether the first router
    /// schedules them, or the other one.
    pub async fn start_listed(
        versions: &[&'static str],
        listed: &[&str],
        is_first_home: bool,
    ) -> Self {
        let mut engines = Vec::new();
        let mut upstreams = Vec::new();
        for (name, version) in NAMES.iter().zip(versions) {
            let process = Process::start(version).await;
            upstreams.push(Upstream {
                name,
                service: "reviews",
                address: process.address,
                slots: 16,
                version: Some(version),
            });
            engines.push(process);
        }
        let relay = Relay::start(Timer::start(), 7).expect("a relay");
        let (list_link, peer_link) = (Link::new(Duration::ZERO), Link::new(Duration::ZERO));
        let mut routers = Router::start_fleet(&["r1", "r2"], &upstreams).await;
        let list = routers[0].host_list.clone();
        let mut all = list.copy();
        for router in &routers {
            let own = router.ports.peer;
            let address = relay.udp(own, peer_link.clone(), peer_link.clone());
            let address = address.expect("a free port").to_string();
            let hosts = all["hosts"].as_array_mut().expect("an array").iter_mut();
            for entry in hosts.filter(|entry| entry["peer_address"] == own.to_string()) {
                entry["peer_address"] = address.clone().into();
            }
        }
        let mut begin = all.clone();
        let hosts = begin["hosts"].as_array_mut().expect("an array");
        hosts.retain(|entry| {
            let is_listed = |name: &&str| entry["host"] == **name;
            entry["role"] == "router" || listed.iter().any(is_listed)
        });
        list.publish_list(begin);
        let mut first = "r1";
        if is_home(&routers[0]).await != is_first_home {
            routers.swap(0, 1);
            first = "r2";
        }
        let platform = support::host_list::platform(&list).await;
        let platform = relay.tcp(platform, list_link.clone(), list_link.clone());
        let settings = routers[0].directory.path().join(format!("{first}.yaml"));
        point_to(&settings, &format!("http://{}", platform.expect("a port")));
        for router in &mut routers {
            router.restart().await;
        }
        time::sleep(FIND_PEERS_TIME).await;
        assert_eq!(is_home(&routers[0]).await, is_first_home);
        Self {
            routers,
            engines,
            all,
            list_link,
            peer_link,
            _relay: relay,
        }
    }

    pub fn list(&self) -> &HostList {
        &self.routers[0].host_list
    }

    /// Cuts the first router off from the host list and the configuration, or ends that.
    pub fn cut_list(&self, cut: bool) {
        self.list_link.set_cut(cut);
    }

    /// Delays each direction between the first router and the host list.
    pub fn delay_list(&self, delay: Duration) {
        self.list_link.set_delay(delay);
    }

    /// Makes the engines state their versions in their responses.
    pub fn state_versions(&self) {
        for engine in &self.engines {
            engine.states_version.set(true);
        }
    }

    /// Cuts the routers off from each other, or ends that.
    pub fn cut_peers(&self, cut: bool) {
        self.peer_link.set_cut(cut);
    }

    /// Publishes the list with all engines.
    pub fn publish_all(&self, revision: u64) {
        let mut list = self.all.clone();
        list["revision"] = revision.into();
        self.list().publish_list(list);
    }

    /// Publishes that an engine leaves.
    pub fn publish_leaving(&self, name: &str, revision: u64) {
        let mut list = self.list().copy();
        let mut hosts = list["hosts"].as_array_mut().expect("an array").iter_mut();
        let entry = hosts.find(|entry| entry["host"] == name);
        entry.expect("a listed engine")["state"] = "leaving".into();
        list["revision"] = revision.into();
        self.list().publish_list(list);
    }

    pub fn signal(&self, router: usize, signal: Signal) {
        let id = i32::try_from(self.routers[router].process.id()).expect("an id");
        kill_process(Pid::from_raw(id).expect("an id"), signal).expect("sent");
    }
}

/// Returns whether a router schedules the engines.
async fn is_home(router: &Router) -> bool {
    let url = format!("http://{}/v1/status", router.ports.operator);
    let request = awc::Client::default().get(url).send();
    let mut response = request.await.expect("a response");
    let status: Value = response.json().await.expect("JSON");
    let upstreams = status["upstreams"].as_array().expect("an array");
    upstreams.iter().any(|upstream| upstream["home"] == true)
}

/// Makes a router read the platform at another address once it starts again.
fn point_to(settings: &Path, platform: &str) {
    let text = fs::read_to_string(settings).expect("settings");
    let lines = text.lines().map(|line| {
        if line.starts_with("platform:") {
            format!("platform: {{config: \"{platform}\", hosts: \"{platform}\", weights: \"{platform}\"}}\n")
        } else {
            format!("{line}\n")
        }
    });
    fs::write(settings, lines.collect::<String>()).expect("written");
}

/// Sends requests to a router. Their responses arrive meanwhile.
pub fn send(router: &Router) -> Vec<JoinHandle<Response>> {
    let url: Rc<str> = router.call_url("reviews").into();
    let respond = |number| {
        let url = url.clone();
        async move {
            let client = awc::Client::builder()
                .timeout(Duration::from_secs(30))
                .finish();
            let request = client.post(&*url).bearer_auth(TOKEN);
            let body = format!(r#"{{"prompt":"prompt {number}","max_tokens":{TOKENS}}}"#);
            let mut response = request.send_body(body).await.expect("a response");
            parse(&response.body().await.expect("a whole body"))
        }
    };
    (0..STREAMS)
        .map(|number| actix_rt::spawn(respond(number)))
        .collect()
}

/// Sends requests and waits until their streams have begun.
pub async fn begin(router: &Router) -> Vec<JoinHandle<Response>> {
    let sent = send(router);
    time::sleep(BEGIN_TIME).await;
    sent
}

/// Checks the number and order of the events of a response, and returns its end and its versions.
fn parse(body: &[u8]) -> Response {
    let text = std::str::from_utf8(body).expect("UTF-8");
    let events = support::events(body);
    let end = events.end.expect("an end event");
    let expected: Vec<u64> = (0..events.indices.len() as u64).collect();
    assert_eq!(events.indices, expected, "an event is missing or twice");
    assert_eq!(end["chunks"], events.indices.len());
    assert_eq!(end["digest"], events.digest);
    let outcome = end["outcome"].as_str().expect("an outcome");
    assert!(outcome != "complete" || events.indices.len() as u64 == TOKENS);
    let tokens = text
        .split("\n\n")
        .filter_map(|event| event.strip_prefix("data: "));
    let mut versions: Vec<String> = tokens
        .map(|token| {
            let token: Value = serde_json::from_str(token).expect("JSON");
            token["t"].as_str().expect("a version").to_owned()
        })
        .collect();
    versions.dedup();
    (outcome.to_owned(), versions)
}

/// Waits for responses. Fails if one holds tokens of two versions.
pub async fn responses(sent: Vec<JoinHandle<Response>>) -> Vec<Response> {
    let mut responses = Vec::new();
    for response in sent {
        responses.push(response.await.expect("a response"));
    }
    let joined = responses.iter().filter(|(_, versions)| versions.len() > 1);
    assert_eq!(joined.count(), 0, "joined: {responses:?}");
    responses
}
