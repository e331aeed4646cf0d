//! Tests of futures whose panics end only themselves.

use std::{
    panic,
    sync::atomic::{AtomicU32, Ordering},
};

use tsw_event::contained::{self, is_contained, Panicked};

/// Guards against a process that goes on after a panic during a change of shared state, and one that ends
/// because of a panic of a single request.
#[actix_rt::test]
async fn panics_are_contained_except_during_changes_of_shared_state() {
    static CONTAINED: AtomicU32 = AtomicU32::new(0);
    static OTHERS: AtomicU32 = AtomicU32::new(0);
    panic::set_hook(Box::new(|_| {
        let seen = if is_contained() { &CONTAINED } else { &OTHERS };
        seen.fetch_add(1, Ordering::SeqCst);
    }));
    let counts = || {
        (
            CONTAINED.load(Ordering::SeqCst),
            OTHERS.load(Ordering::SeqCst),
        )
    };

    let request = async {
        actix_rt::task::yield_now().await;
        panic!("a defect of one request");
    };
    assert_eq!(contained::run(request).await, Err::<(), _>(Panicked));
    assert_eq!((counts(), is_contained()), ((1, 0), false));

    let change = async {
        let _ends_on_panic = contained::suspend();
        panic!("a defect of shared state");
    };
    assert_eq!(contained::run(change).await, Err::<(), _>(Panicked));
    assert_eq!((counts(), is_contained()), ((1, 1), false));

    let after_change = async {
        drop(contained::suspend());
        panic!("a defect after a change");
    };
    let nested = contained::run(contained::run(after_change)).await;
    assert_eq!(nested, Ok(Err::<(), _>(Panicked)));
    assert_eq!(counts(), (2, 1));
}
