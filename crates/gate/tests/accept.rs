//! Accepting many connections at once must not delay the tasks of running requests.

use std::{cell::Cell, net::SocketAddr};

use tokio::{net::TcpListener, task};
use tsw_gate::accept;

const CROWD: usize = 100;

/// Guards against accepting all waiting connections before the events of running streams are forwarded.
#[tokio::test]
async fn other_tasks_run_between_the_connections_of_a_crowd() {
    let any = SocketAddr::from(([127, 0, 0, 1], 0));
    let listener = TcpListener::bind(any).await.expect("binds");
    let address = listener.local_addr().expect("is bound");
    let crowd: Vec<std::net::TcpStream> = (0..CROWD)
        .map(|_| std::net::TcpStream::connect(address).expect("connects"))
        .collect();
    let accepted = Cell::new(0);
    let accepts = accept::in_turns(&listener, || true, |_| accepted.set(accepted.get() + 1));
    let other = async {
        let mut most = 0;
        while accepted.get() < CROWD {
            let before = accepted.get();
            task::yield_now().await;
            most = most.max(accepted.get() - before);
        }
        most
    };
    tokio::select! {
        biased;
        () = accepts => unreachable!("it accepts until it is dropped"),
        most = other => assert!(most <= accept::MAX_PER_TURN, "{most} in one turn"),
    }
    drop(crowd);
}
