//! Faults, planned stops and changes of the host list.

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
    fn fault(recorder: &Recorder, what: String) {
        recorder.record(Event::Fault {
            what,
            time_us: client::now_us(),
        });
    }

    fn gone(recorder: &Recorder, router: &str) {
        recorder.record(Event::Gone {
            router: router.to_owned(),
            time_us: client::now_us(),
        });
    }

    /// Kills a router at once.
    ///
    /// # Errors
    ///
    /// Returns the error of the signal.
    pub async fn kill_router(&mut self, index: usize, recorder: &Recorder) -> Result<(), Error> {
        let router = &mut self.routers[index];
        if let Some(mut process) = router.process.take() {
            Self::fault(recorder, format!("kill {}", router.host));
            process.kill().await?;
            Self::gone(recorder, &router.host);
        }
        Ok(())
    }

    /// Asks a router to stop gracefully. [`Fleet::await_stop`] waits for its end.
    ///
    /// # Errors
    ///
    /// Returns the error of the signal.
    pub fn ask_stop(&mut self, index: usize, recorder: &Recorder) -> Result<(), Error> {
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

    /// Waits for the end of a router that was asked to stop; returns whether it ended in time.
    pub async fn await_stop(&mut self, index: usize, limit: Duration, recorder: &Recorder) -> bool {
        let router = &mut self.routers[index];
        let Some(process) = &mut router.process else {
            return true;
        };
        let ended = process.wait(limit).await.is_some();
        if ended {
            router.process = None;
            Self::gone(recorder, &router.host);
        }
        ended
    }

    /// Pauses a router or lets it run on.
    ///
    /// # Errors
    ///
    /// Returns the error of the signal.
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
                Self::fault(recorder, format!("pause {}", router.host));
                process.pause()?;
            }
            false => process.resume()?,
        }
        Ok(())
    }

    /// Cuts or restores the path from one failure domain to another.
    pub fn cut(&self, from: &str, to: &str, cut: bool, recorder: &Recorder) {
        if cut {
            Self::fault(recorder, format!("cut {from} to {to}"));
        }
        if let Some(path) = self.path(from, to) {
            Arc::clone(path).set_cut(cut);
        }
    }

    /// Closes configuration service, host list and weight store for a time.
    ///
    /// # Errors
    ///
    /// Returns the error of the control call.
    pub async fn platform_outage(&self, for_ms: u64, recorder: &Recorder) -> Result<(), Error> {
        Self::fault(recorder, "platform outage".to_owned());
        let body = json!({"mode": "close", "for_ms": for_ms});
        http::post(self.platform, "/control/config/mode", &body).await?;
        Ok(())
    }

    /// Crashes an upstream; it is back with empty memory after a time.
    ///
    /// # Errors
    ///
    /// Returns the error of the control call.
    pub async fn crash_upstream(
        &self,
        name: &str,
        down_ms: u64,
        recorder: &Recorder,
    ) -> Result<(), Error> {
        Self::fault(recorder, format!("crash {name}"));
        let body = json!({"exit": false, "down_ms": down_ms});
        let path = format!("/control/crash?name={name}");
        http::post(self.control_of(name)?, &path, &body).await?;
        Ok(())
    }

    /// Lists an upstream as leaving or as live.
    ///
    /// # Errors
    ///
    /// Returns the error of the control call.
    pub async fn list_upstream(
        &self,
        name: &str,
        leaving: bool,
        recorder: &Recorder,
    ) -> Result<(), Error> {
        let state = if leaving { "leaving" } else { "live" };
        let body = json!({"host": name, "state": state});
        http::post(self.platform, "/control/hosts/state", &body).await?;
        // A change to leaving counts from when it shows; one to live counts at once.
        let lag = if leaving { HOST_LAG_MS * 1_000 } else { 0 };
        recorder.record(Event::Leaving {
            upstream: name.to_owned(),
            leaving,
            time_us: client::now_us() + lag,
        });
        Ok(())
    }

    /// Returns a task that records the configuration in force at ready routers again and again.
    pub fn watch_revisions(&self, period: Duration, recorder: &Recorder) -> Watch {
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
        Watch {
            tasks: tasks.collect(),
        }
    }
}

/// Tasks that end when this value is dropped.
pub struct Watch {
    tasks: Vec<actix_rt::task::JoinHandle<()>>,
}

impl Drop for Watch {
    fn drop(&mut self) {
        for task in &self.tasks {
            task.abort();
        }
    }
}
