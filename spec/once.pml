/*
 * At-most-once execution of one key of a permit with two witnesses.
 *
 * A sent message remains deliverable forever, so it may be lost, delayed, reordered and delivered any
 * number of times. A process may pause between any two steps for any time and may restart, which loses
 * all its memory. Clocks are arbitrary: permits expire and records are dropped at any time that the
 * rules allow. Callers send the call to any router at any time, any number of times.
 *
 * Step                                   Rust function
 *   Owner: call                          owner::Table::call, ::refusal
 *   Owner: intent, accepted, refused     owner::Table::send_intent, ::handle_witness_reply,
 *                                        entry::Entry::accept
 *   Owner: silent witness                owner::Table::resend
 *   Owner: run, broken connection, end   the daemon with entry::Run; owner::Table::finish
 *   Owner: drop                          owner::Table::tick
 *   Owner: restart                       host::Incarnation in permit::Permit::owner
 *   Witness: intent, outcome, seal       witness::Table::record_intent, ::outcome, ::seal
 *   Witness: drop                        witness::Table::expire, ::forget
 *   Witness: restart                     witness::Table::is_witness
 *   Survivor: decide                     survivor::Table::sealed
 *
 * Proved: the key runs at most once. If a caller was answered "not run", the key has not run and never
 * will. A caller is answered "complete" only if the key has run.
 *
 * Broken variants: ONE_WITNESS, WITNESS_RESTART, WITNESS_FORGETS, OWNER_FULL, OWNER_FORGETS,
 * OWNER_RESTART, RETRY, SEAL_OVERWRITES.
 */

#define W 2

mtype = { none, intended, sealed, done };              /* record of a witness */
mtype = { idle, noting, running, ended, dropped };     /* stage of the key at its owner */
mtype = { not_run, complete, unknown };                /* end of the key */

byte runs = 0;                 /* number of times that the key reached an upstream */
bool told_not_run = false;
bool told_complete = false;

/* Owner. */
bool owner_restarted = false;
mtype stage = idle;
mtype end = unknown;
bool accepted[W];
bool closed = false;           /* refuses the permit because its table is full */
bool expired = false;
bool retained = true;          /* the retry window after the expiry has not passed */
bool sent = false;             /* the run has reached the upstream */

/* Witnesses. */
bool restarted[W];
mtype record[W] = none;
mtype recorded_end[W] = unknown;
bool forgotten[W];

/* Whether each message was ever sent, and its content. */
bool m_note[W];
bool m_accepted[W];
bool m_refused[W];
bool m_outcome[W];
mtype m_outcome_end = unknown;
bool m_seal[W];
bool m_sealed[W];
bool m_done[W];
mtype m_done_end[W] = unknown;
bool m_undecided[W];

inline check()
{
    assert(runs <= 1);
    assert(!(told_not_run && runs > 0));
    assert(!(told_complete && runs == 0))
}

inline tell(result)
{
    if
    :: result == not_run -> told_not_run = true
    :: result == complete -> told_complete = true
    :: else
    fi;
    check()
}

inline finish(result)
{
    stage = ended;
    end = result;
    m_outcome_end = result;
    m_outcome[0] = true;
    m_outcome[1] = true;
    tell(result)
}

#ifdef ONE_WITNESS
#define ALL_ACCEPTED (accepted[0] || accepted[1])
#else
#define ALL_ACCEPTED (accepted[0] && accepted[1])
#endif

#ifdef OWNER_RESTART
#define IS_OWNER true
#else
#define IS_OWNER (!owner_restarted)
#endif

active proctype Owner()
{
    byte w;
    do
    /* call */
    :: atomic { IS_OWNER && stage == idle && !expired && !closed ->
           stage = noting;
           accepted[0] = false;
           accepted[1] = false;
           m_note[0] = true;
           m_note[1] = true }
    :: atomic { IS_OWNER && stage == idle && !expired && !closed ->
           /* The table is full. */
#ifndef OWNER_FULL
           closed = true;
#endif
           tell(not_run) }
    :: atomic { IS_OWNER && stage == idle && closed -> tell(not_run) }
    :: atomic { IS_OWNER && (stage == idle || stage == dropped) && expired && retained ->
           tell(not_run) }
    :: atomic { IS_OWNER && (stage == idle || stage == dropped) && !retained -> tell(unknown) }
    :: atomic { IS_OWNER && stage == ended -> tell(end) }
    /* accepted, refused */
    :: atomic { stage == noting ->
           select(w : 0 .. 1);
           if
           :: m_accepted[w] -> accepted[w] = true
           :: m_refused[w] -> finish(not_run)
           :: else
           fi }
    /* silent witness */
    :: atomic { stage == noting -> finish(not_run) }
    /* run */
    :: atomic { stage == noting && ALL_ACCEPTED -> stage = running; sent = false }
    :: atomic { stage == running && !sent -> sent = true; runs++; check() }
    :: atomic { stage == running && !sent -> finish(not_run) }
    :: atomic { stage == running && sent -> finish(complete) }
    :: atomic { stage == running && sent -> finish(unknown) }
#ifdef RETRY
    :: atomic { stage == running && sent && runs < 3 -> sent = false }
#endif
    /* clock, drop */
    :: atomic { !expired -> expired = true }
    :: atomic { expired && retained -> retained = false }
#ifdef OWNER_FORGETS
    :: atomic { stage == ended -> stage = idle }
#else
    :: atomic { stage == ended && !retained -> stage = dropped }
#endif
    /* restart */
    :: atomic { !owner_restarted ->
           owner_restarted = true;
           stage = idle;
           closed = false;
           sent = false;
           end = unknown }
    od
}

#ifdef WITNESS_RESTART
#define IS_WITNESS(w) true
#else
#define IS_WITNESS(w) (!restarted[w])
#endif

#ifdef WITNESS_FORGETS
#define IS_FORGOTTEN(w) false
#else
#define IS_FORGOTTEN(w) (forgotten[w])
#endif

proctype Witness(byte w)
{
    do
    /* intent */
    :: atomic { m_note[w] ->
           if
           :: !IS_WITNESS(w) -> m_refused[w] = true
           :: IS_WITNESS(w) && record[w] == intended -> m_accepted[w] = true
#ifdef SEAL_OVERWRITES
           :: IS_WITNESS(w) && record[w] == sealed -> record[w] = intended; m_accepted[w] = true
#else
           :: IS_WITNESS(w) && record[w] == sealed -> m_refused[w] = true
#endif
           :: IS_WITNESS(w) && record[w] == done -> m_refused[w] = true
           :: IS_WITNESS(w) && record[w] == none && IS_FORGOTTEN(w) -> m_refused[w] = true
           :: IS_WITNESS(w) && record[w] == none && !IS_FORGOTTEN(w) ->
                  if
                  :: record[w] = intended; m_accepted[w] = true
                  :: m_refused[w] = true              /* table is full */
                  fi
           fi }
    /* outcome */
    :: atomic { m_outcome[w] && IS_WITNESS(w) &&
                (record[w] == intended || (record[w] == none && !IS_FORGOTTEN(w))) ->
           record[w] = done;
           recorded_end[w] = m_outcome_end }
    /* seal */
    :: atomic { m_seal[w] ->
           if
           :: !IS_WITNESS(w) -> m_undecided[w] = true
           :: IS_WITNESS(w) && record[w] == intended -> m_undecided[w] = true
           :: IS_WITNESS(w) && record[w] == sealed -> m_sealed[w] = true
           :: IS_WITNESS(w) && record[w] == done ->
                  m_done[w] = true;
                  m_done_end[w] = recorded_end[w]
           :: IS_WITNESS(w) && record[w] == none && IS_FORGOTTEN(w) -> m_undecided[w] = true
           :: IS_WITNESS(w) && record[w] == none && !IS_FORGOTTEN(w) ->
                  if
                  :: record[w] = sealed; m_sealed[w] = true
                  :: m_undecided[w] = true            /* table is full */
                  fi
           fi }
    /* drop */
    :: atomic { record[w] != none -> record[w] = none; forgotten[w] = true }
    /* restart */
    :: atomic { !restarted[w] ->
           restarted[w] = true;
           record[w] = none;
           recorded_end[w] = unknown;
           forgotten[w] = false }
    od
}

active proctype Survivor()
{
    byte w;
    do
    :: atomic { !m_seal[0] -> m_seal[0] = true; m_seal[1] = true }
    :: atomic { select(w : 0 .. 1);
           if
           :: m_sealed[w] -> tell(not_run)
           :: m_done[w] -> tell(m_done_end[w])
           :: m_undecided[0] && m_undecided[1] -> tell(unknown)
           :: else
           fi }
    od
}

init
{
    atomic { run Witness(0); run Witness(1) }
}
