/*
 * Handover of a group between two homes, with grants in flight. There are two entry routers, and one
 * upstream with one slot.
 *
 * The home in the membership view changes up to VIEWS times (0, 1, 0), and up to FAULTS faults occur.
 * Each process notices a change at any later time or misses it, so both homes may consider themselves
 * the home and grant concurrently. Messages of one session arrive in order, after any delay.
 *
 * A fault is one of these: a home restarts with empty memory, which breaks its sessions; a home starts
 * without all holdings, as it does after waiting 100 ms; or a home considers a paused entry router dead
 * and reclaims a slot whose run the upstream does not report. In the last case the grants in flight are
 * older than the grant TTL, which is shorter than the time to detect a failure.
 *
 * Step                                   Rust function (crate grant)
 *   Entry: notice, greet                 entry::Queue::set_homes, ::resync_home, ::holdings
 *   Entry: take or drop a grant          entry::Queue::grant
 *   Entry: finish                        entry::Queue::queue_report
 *   Home: hold, demand, release          home::Home::handle_holdings, ::handle_demand,
 *                                        ::handle_release
 *   Home: grant                          home::Home::grant_free_slots
 *   Home: reclaim                        home::Home::set_live, ::remove_router
 *   View                                 member::View::home
 *
 * Proved: a grant never starts a run beyond the slot limit if the home issued it while all entry
 * routers used that home and their holdings had arrived, as long as none of them changes its home.
 * Every waiting request is eventually granted. The number of grants is bounded, so that no exchange of
 * messages continues forever.
 *
 * The model drops a grant that was issued before the entry router's last holdings. The crate instead
 * keeps such a grant charged, by the number of the last grant seen in Holdings, which is not modelled.
 *
 * Not covered: the slot limit while two homes grant concurrently, and after a home started without the
 * holdings of a router that did not answer within 100 ms.
 *
 * Broken variants: LATE, ERA, HOLDINGS, DEMAND, BOUND, RETURN.
 */

#define SLOTS 1
#define HELD 99                /* identifier of a run that the home learned of from holdings */
#define Q 4
#define MAX_GRANTS 8           /* enough for two requests, whichever messages are lost */
#ifndef VIEWS
#define VIEWS 2
#endif
#ifndef FAULTS
#define FAULTS 1
#endif

mtype = { hold, release, bye };

/* Index: 2 * entry + home. Fields: kind, era, value, waiting. Holdings and releases also carry the
   demand. */
chan up[4] = [Q] of { mtype, byte, byte, byte };
/* index: 2 * home + entry; fields: era, identifier, sound */
chan down[4] = [Q] of { byte, byte, byte };

byte view = 0;

/* Entry routers. */
byte home[2];
byte era[2];                   /* incremented with each holdings message */
byte waiting[2];
bool running[2];
byte run_id[2];

/* Homes. */
bool is_home[2];
bool have[4];                  /* index: 2 * home + entry; holdings arrived, not withdrawn */
bool charged[4];
byte charge_id[4];
byte known_era[4];
byte want[4];
byte next_id[2];
byte late[4];                  /* grants up to this identifier are older than the grant TTL */
bool forced[2];

byte moves = 1;                /* changes of home by entry routers, to decide whether a grant is sound */
byte faults = FAULTS;          /* faults that may still occur */

#define RUNNING (running[0] + running[1])
#define CHARGED(h) (charged[2 * h] + charged[2 * h + 1])
#define SETTLED(h, e) (home[e] == h && have[2 * h + e] && known_era[2 * h + e] == era[e])

inline greet(e)
{
    era[e]++;
    run_id[e] = HELD;
#ifdef DEMAND
    up[2 * e + home[e]] ! hold(era[e], running[e], 0)
#else
    up[2 * e + home[e]] ! hold(era[e], running[e], waiting[e])
#endif
}

proctype Entry(byte e)
{
    byte h;
    byte g_era;
    byte g_id;
    byte sound;
end:
    do
    /* notice */
    :: atomic { home[e] != view % 2 ->
           up[2 * e + home[e]] ! bye(0, 0, 0);
           home[e] = view % 2;
           moves++;
           greet(e) }
    /* take or drop a grant */
    :: atomic { nempty(down[e]) || nempty(down[2 + e]) ->
           if
           :: down[e] ? g_era, g_id, sound -> h = 0
           :: down[2 + e] ? g_era, g_id, sound -> h = 1
           fi;
           if
#ifdef ERA
           :: waiting[e] > 0 && !running[e] && g_id > late[2 * h + e] ->
#else
#ifdef LATE
           :: home[e] == h && g_era == era[e] && waiting[e] > 0 && !running[e] ->
#else
           :: home[e] == h && g_era == era[e] && waiting[e] > 0 && !running[e] &&
              g_id > late[2 * h + e] ->
#endif
#endif
                  assert(sound != moves || RUNNING < SLOTS);
                  waiting[e]--;
                  running[e] = true;
                  run_id[e] = g_id
           :: else ->
#ifdef RETURN
                  up[2 * e + h] ! release(g_era, g_id, waiting[e])
#else
                  /* The holdings or the withdrawal have already reset the charge of an older era.
                     A release as well would renew the demand at a router that is not the home. */
                  if
                  :: home[e] == h && g_era == era[e] ->
                         up[2 * e + h] ! release(g_era, g_id, waiting[e])
                  :: else
                  fi
#endif
           fi;
           h = 0; g_era = 0; g_id = 0; sound = 0 }
    /* finish */
    :: atomic { running[e] ->
           running[e] = false;
           up[2 * e + home[e]] ! release(era[e], run_id[e], waiting[e]);
           run_id[e] = 0 }
    od
}

proctype Home(byte h)
{
    byte e;
    byte m_era;
    byte value;
    byte waits;
    mtype kind;
end:
    do
    /* notice */
    :: atomic { is_home[h] != (view % 2 == h) -> is_home[h] = (view % 2 == h); forced[h] = false }
    /* hold, demand, release */
    :: atomic { nempty(up[h]) || nempty(up[2 + h]) ->
           if
           :: up[h] ? kind, m_era, value, waits -> e = 0
           :: up[2 + h] ? kind, m_era, value, waits -> e = 1
           fi;
           if
           :: kind == hold ->
                  have[2 * h + e] = true;
                  known_era[2 * h + e] = m_era;
#ifndef HOLDINGS
                  charged[2 * h + e] = value;
                  charge_id[2 * h + e] = HELD;
#endif
                  want[2 * h + e] = waits
           :: kind == release && m_era == known_era[2 * h + e] ->
                  want[2 * h + e] = waits;
                  if
                  :: value == charge_id[2 * h + e] -> charged[2 * h + e] = false
                  :: else
                  fi
           :: kind == bye ->
                  have[2 * h + e] = false;
                  charged[2 * h + e] = false;
                  want[2 * h + e] = 0
           :: else
           fi;
           e = 0; m_era = 0; value = 0; waits = 0; kind = 0 }
    /* start without all holdings */
    :: atomic { is_home[h] && !forced[h] && faults > 0 -> faults--; forced[h] = true }
    /* grant */
    :: atomic { is_home[h] && (forced[h] || (have[2 * h] && have[2 * h + 1])) &&
#ifndef BOUND
                CHARGED(h) < SLOTS &&
#endif
                (want[2 * h] > 0 || want[2 * h + 1] > 0) ->
           if
           :: want[2 * h] > 0 && !charged[2 * h] -> e = 0
           :: want[2 * h + 1] > 0 && !charged[2 * h + 1] -> e = 1
           :: else -> e = 2
           fi;
           if
           :: e < 2 ->
                  next_id[h]++;
                  assert(next_id[h] <= MAX_GRANTS);
                  charged[2 * h + e] = true;
                  charge_id[2 * h + e] = next_id[h];
                  want[2 * h + e] = 0;
                  down[2 * h + e] ! known_era[2 * h + e], next_id[h],
                      (SETTLED(h, 0) && SETTLED(h, 1) -> moves : 0)
           :: else
           fi;
           e = 0 }
    /* reclaim */
    :: atomic { faults > 0 && charged[2 * h] && charge_id[2 * h] != HELD && !running[0] ->
           faults--;
           charged[2 * h] = false;
           late[2 * h] = charge_id[2 * h] }
    od
}

active proctype View()
{
end:
    do
    :: atomic { view < VIEWS -> view++ }
    od
}

/* A home restarts: it loses its memory and its sessions, and the entry routers open new sessions. */
active proctype Restart()
{
    byte h;
    byte e;
    byte k;
    byte a;
    byte b;
    byte c;
    byte d;
    mtype m;
end:
    do
    :: atomic { faults > 0 ->
           faults--;
           select(h : 0 .. 1);
           forced[h] = false;
           for (e : 0 .. 1) {
               k = 2 * h + e;
               have[k] = false;
               charged[k] = false;
               charge_id[k] = 0;
               known_era[k] = 0;
               want[k] = 0;
               do
               :: nempty(down[k]) -> down[k] ? a, b, c
               :: empty(down[k]) -> break
               od;
               do
               :: nempty(up[2 * e + h]) -> up[2 * e + h] ? m, a, b, d
               :: empty(up[2 * e + h]) -> break
               od;
               if
               :: home[e] == h -> greet(e)
               :: else
               fi
           };
           h = 0; e = 0; k = 0; a = 0; b = 0; c = 0; d = 0; m = 0 }
    od
}

/* When no step is possible any more, no request may be waiting or running. */
active proctype Monitor()
{
end:
    timeout -> assert(waiting[0] + waiting[1] + RUNNING == 0)
}

init
{
    atomic {
        waiting[0] = 1;
        waiting[1] = 1;
        is_home[0] = true;
        greet(0);
        greet(1);
        run Home(0);
        run Home(1);
        run Entry(0);
        run Entry(1)
    }
}
