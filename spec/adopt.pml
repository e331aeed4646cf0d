/*
 * Adoption of the configuration by routers. There are two publishers, a configuration service whose
 * reads may be stale or go backward, and three routers that also learn values from each other and may
 * restart with empty memory.
 *
 * A published value may be read at any later time. This models stale and backward reads as well as
 * delayed and repeated messages between routers, which contain only published values. Both publishers
 * may publish the same revision with different content.
 *
 * Step                                   Rust function
 *   Router: read, learn                  config::adopt::ActiveBundle::offer
 *   Router: restart                      a new config::adopt::ActiveBundle
 *   Router: ask, ready                   the daemon before /readyz;
 *                                        member::View::request_newer_revisions
 *   Publisher                            `toucan bundle` and the upload by operators
 *
 * Proved: a running router never replaces a revision by a lower one, nor the content of a revision by
 * different content. A restarted router becomes ready only with a revision at least as high as that of
 * every peer that answered its question.
 *
 * Not covered: that a new revision reaches every router within 5 s.
 *
 * Broken variants: LOWER, CONFLICT, READY.
 */

#define R 3
#define TOP 3                  /* revisions are 1 to TOP */

/* Whether each value was ever published; the index is 2 * revision + content. */
bool published[8];

byte value[R];                 /* 2 * revision + content; below 2 before the first adoption */
bool ready;
bool asked[R];
byte floor;                    /* highest revision that a peer answered with */

#define REVISION(v) ((v) / 2)

inline adopt(r, v)
{
    assert(REVISION(v) >= REVISION(value[r]));
    assert(REVISION(v) > REVISION(value[r]) || v == value[r]);
    value[r] = v
}

inline offer(r, v)
{
    if
    :: REVISION(v) > REVISION(value[r]) -> adopt(r, v)
#ifdef LOWER
    :: REVISION(v) < REVISION(value[r]) -> adopt(r, v)
#endif
#ifdef CONFLICT
    :: REVISION(v) == REVISION(value[r]) && v != value[r] -> adopt(r, v)
#endif
    :: else
    fi
}

proctype Publisher(byte content)
{
    byte revision = 1;
    do
    :: atomic { revision <= TOP -> published[2 * revision + content] = true; revision++ }
    :: atomic { revision <= TOP -> revision++ }       /* only the other publisher publishes it */
    :: revision > TOP -> break
    od
}

/* Every router adopts values and restarts. The process Start models readiness for router 0 only, which
   represents each router. */
proctype Router(byte r)
{
    byte v;
end:
    do
    /* read from the service, or learn from a delayed message of a peer */
    :: atomic { select(v : 2 .. 7);
           if
           :: published[v] -> offer(r, v)
           :: else
           fi;
           v = 0 }
    /* restart */
    :: atomic { value[r] = 0;
           if
           :: r == 0 -> ready = false; floor = 0; asked[1] = false; asked[2] = false
           :: else
           fi }
    od
}

active proctype Start()
{
    byte peer;
end:
    do
    /* ask a peer, which answers with its current value */
    :: atomic { !ready ->
           select(peer : 1 .. 2);
           if
           :: !asked[peer] ->
                  asked[peer] = true;
                  if
                  :: REVISION(value[peer]) > floor -> floor = REVISION(value[peer])
                  :: else
                  fi;
#ifndef READY
                  offer(0, value[peer])
#endif
           :: else
           fi;
           peer = 0 }
    /* ready */
    :: atomic { !ready && asked[1] && asked[2] ->
           assert(REVISION(value[0]) >= floor);
           ready = true;
           floor = 0;
           asked[1] = false;
           asked[2] = false }
    od
}

init
{
    atomic {
        run Publisher(0);
        run Publisher(1);
        run Router(0);
        run Router(1);
        run Router(2)
    }
}
