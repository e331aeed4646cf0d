//! Accepts connections without delaying the requests that run.

use std::{future::Future, io, rc::Rc, time::Duration};

use tokio::{
    net::{TcpListener, TcpStream},
    task, time,
};
use tsw_event::{contained, emit, Event};

use crate::{
    client, endpoints,
    state::{Phase, State},
};

/// Pause after a failure to accept a connection, for example for lack of file descriptors.
const PAUSE: Duration = Duration::from_millis(50);
/// Maximum number of connections that are accepted before other tasks run. Accepting all that wait, up to 128, kept the
/// events of running streams back for 100 ms on a router with a tenth of a core, whose clients open 1,000 connections a second.
pub const MAX_PER_TURN: usize = 8;

/// Accepts connections until it is dropped. After [`MAX_PER_TURN`] of them, all other tasks that are ready run first if
/// `takes_turns` returns true.
///
/// Connections wait in the queue of the operating system meanwhile. If that is full, the clients have to connect again.
pub async fn in_turns(
    listener: &TcpListener,
    takes_turns: impl Fn() -> bool,
    mut serve: impl FnMut(TcpStream),
) {
    let mut accepted = 0;
    loop {
        match listener.accept().await {
            Ok((stream, _)) => serve(stream),
            Err(error) => {
                emit(Event::AcceptFailed, &[("cause", &error)]);
                time::sleep(PAUSE).await;
            }
        }
        accepted += 1;
        if accepted % MAX_PER_TURN == 0 && takes_turns() {
            task::yield_now().await;
        }
    }
}

/// Returns whether the configuration has engines with few slots. Deployments without any are served as before: with turns,
/// a crowded router of one refused more of a team whose other requests crashed upstreams.
fn takes_turns(state: &State) -> bool {
    state.router.has_few_slots()
}

fn spawn<F>(state: &Rc<State>, stream: TcpStream, serve: fn(Rc<State>, TcpStream) -> F)
where
    F: Future<Output = io::Result<()>> + 'static,
{
    let served = serve(state.clone(), stream);
    // The error is dropped: the request that the connection carried reports the failure.
    actix_rt::spawn(async move { drop(contained::run(served).await) });
}

/// Accepts connections to the router's own endpoints until it is dropped.
pub async fn endpoints(state: Rc<State>, listener: TcpListener) {
    let serve = |stream| spawn(&state, stream, endpoints::serve);
    in_turns(&listener, || takes_turns(&state), serve).await;
}

/// Accepts client connections until [`Phase::Closing`]. Connections that are in the listener's
/// queue at that time are accepted too: closing the listener would reset them and lose their
/// requests.
pub async fn clients(state: Rc<State>, listener: TcpListener) {
    let mut phase = state.phase.subscribe();
    let serve = |stream| spawn(&state, stream, client::serve);
    tokio::select! {
        () = in_turns(&listener, || takes_turns(&state), serve) => {}
        _ = phase.wait_for(|phase| *phase == Phase::Closing) => {}
    }
    match accept_queued(listener) {
        Ok(streams) => streams
            .into_iter()
            .for_each(|stream| spawn(&state, stream, client::serve)),
        Err(error) => emit(Event::AcceptFailed, &[("cause", &error)]),
    }
}

/// Accepts the connections in the queue of a listener and closes it.
///
/// # Errors
///
/// Returns an error if a socket cannot be detached from the runtime or registered with it.
fn accept_queued(listener: TcpListener) -> io::Result<Vec<TcpStream>> {
    let listener = listener.into_std()?;
    let mut streams = Vec::new();
    while let Ok((stream, _)) = listener.accept() {
        stream.set_nonblocking(true)?;
        streams.push(TcpStream::from_std(stream)?);
    }
    Ok(streams)
}
