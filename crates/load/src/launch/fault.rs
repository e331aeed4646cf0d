//! Injects faults, stops routers gracefully and changes the host list.

use std::{sync::Arc, time::Duration};

use serde::Deserialize;
use serde_json::json;

use super::{Error, Fleet, HOST_LAG_MS};
use crate::{
    client,
    history::{Event, Recorder},
    http,
};

#[derive(Deserialize)]
struct Status {
    phase: String,
    bundle_revision: u64,
}

impl Fleet {
    fn record_fault(recorder: &Recorder, what: String) {
        recorder.record(Event::Fault {
            what,
            time_us: client::now_us(),
        });
    }

    fn record_exit(recorder: &Recorder, router: &str) {
        recorder.record(Event::Gone {
            router: router.to_owned(),
            time_us: client::now_us(),
        });
    }

    /// Kills a router with SIGKILL and waits for its end.
    ///
    /// # Errors
    ///
    /// Returns an error when the signal cannot be sent.
    pub async fn kill_router(&mut self, index: usize, recorder: &Recorder) -> Result<(), Error> {
        let router = &mut self.routers[index];
        if let Some(mut process) = router.process.take() {
            Self::record_fault(recorder, format!("kill {}", router.host));
            process.kill().await?;
            Self::record_exit(recorder, &router.host);
        }
        Ok(())
    }

    /// Asks a router to stop gracefully. [`Fleet::wait_stopped`] waits for its end.
    ///
    /// # Errors
    ///
    /// Returns an error when the signal cannot be sent.
    pub fn request_stop(&mut self, index: usize, recorder: &Recorder) -> Result<(), Error> {
        let router = &self.routers[index];
        if let Some(process) = &router.process {
            recorder.record(Event::Stop {
                router: router.host.clone(),
                time_us: client::now_us(),
            });
            process.terminate()?;
        }
        Ok(())
    }

    /// Waits for a router to end that was asked to stop. Returns whether it ended within `timeout`.
    pub async fn wait_stopped(
        &mut self,
        index: usize,
        timeout: Duration,
        recorder: &Recorder,
    ) -> bool {
        let router = &mut self.routers[index];
        let Some(process) = &mut router.process else {
            return true;
        };
        let exited = process.wait(timeout).await.is_some();
        if exited {
            router.process = None;
            Self::record_exit(recorder, &router.host);
        }
        exited
    }

    /// Pauses a router with SIGSTOP, or resumes it.
    ///
    /// # Errors
    ///
    /// Returns an error when the signal cannot be sent.
    pub fn pause_router(
        &mut self,
        index: usize,
        paused: bool,
        recorder: &Recorder,
    ) -> Result<(), Error> {
        let router = &self.routers[index];
        let Some(process) = &router.process else {
            return Ok(());
        };
        match paused {
            true => {
                Self::record_fault(recorder, format!("pause {}", router.host));
                process.pause()?;
            }
            false => process.resume()?,
        }
        Ok(())
    }

    /// Cuts or restores the link from one failure domain to another.
    pub fn set_link_cut(&self, from: &str, to: &str, cut: bool, recorder: &Recorder) {
        if cut {
            Self::record_fault(recorder, format!("cut {from} to {to}"));
        }
        if let Some(link) = self.link(from, to) {
            Arc::clone(link).set_cut(cut);
        }
    }

    /// Makes the platform (configuration service, host list and weight store) unreachable for
    /// `for_ms`.
    ///
    /// # Errors
    ///
    /// Returns an error when the control request fails.
    pub async fn platform_outage(&self, for_ms: u64, recorder: &Recorder) -> Result<(), Error> {
        Self::record_fault(recorder, "platform outage".to_owned());
        let body = json!({"mode": "close", "for_ms": for_ms});
        http::post(self.platform, "/control/config/mode", &body).await?;
        Ok(())
    }

    /// Crashes an upstream. It restarts with empty memory after `down_ms`.
    ///
    /// # Errors
    ///
    /// Returns an error when the control request fails.
    pub async fn crash_upstream(
        &self,
        name: &str,
        down_ms: u64,
        recorder: &Recorder,
    ) -> Result<(), Error> {
        Self::record_fault(recorder, format!("crash {name}"));
        let body = json!({"exit": false, "down_ms": down_ms});
        let path = format!("/control/crash?name={name}");
        http::post(self.control_address(name)?, &path, &body).await?;
        Ok(())
    }

    /// Marks an upstream in the host list as leaving or as live.
    ///
    /// # Errors
    ///
    /// Returns an error when the control request fails.
    pub async fn set_upstream_leaving(
        &self,
        name: &str,
        leaving: bool,
        recorder: &Recorder,
    ) -> Result<(), Error> {
        let state = if leaving { "leaving" } else { "live" };
        let body = json!({"host": name, "state": state});
        http::post(self.platform, "/control/hosts/state", &body).await?;
        // The checker must not count requests before routers can see that the upstream is leaving,
        // and must accept requests from the first moment at which it may be live again.
        let lag_us = if leaving { HOST_LAG_MS * 1_000 } else { 0 };
        recorder.record(Event::Leaving {
            upstream: name.to_owned(),
            leaving,
            time_us: client::now_us() + lag_us,
        });
        Ok(())
    }

    /// Starts to record the configuration revision of each ready router every `period`.
    pub fn watch_revisions(&self, period: Duration, recorder: &Recorder) -> RevisionWatch {
        let routers = self.routers.iter().map(|r| (r.host.clone(), r.operator));
        let tasks = routers.map(|(host, operator)| {
            let recorder = recorder.clone();
            actix_rt::spawn(async move {
                loop {
                    tokio::time::sleep(period).await;
                    let Ok(body) = http::get(operator, "/v1/status").await else {
                        continue;
                    };
                    let Ok(status) = serde_json::from_slice::<Status>(&body) else {
                        continue;
                    };
                    if status.phase == "ready" {
                        recorder.record(Event::Revision {
                            router: host.clone(),
                            revision: status.bundle_revision,
                            time_us: client::now_us(),
                        });
                    }
                }
            })
        });
        RevisionWatch {
            tasks: tasks.collect(),
        }
    }
}

/// Tasks that record the revisions of routers; aborted on drop.
pub struct RevisionWatch {
    tasks: Vec<actix_rt::task::JoinHandle<()>>,
}

impl Drop for RevisionWatch {
    fn drop(&mut self) {
        for task in &self.tasks {
            task.abort();
        }
    }
}
