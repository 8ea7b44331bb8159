/* No adapter is evicted under a request that runs on a valid ticket.
 *
 * One adapter on one upstream that ignores fencing numbers; an entry host (two
 * with -DTWO) with one request, which may pause and crash at any step; owner 0, whose
 * lease ends at LEASE or which leaves earlier, with or without handing off its
 * state, and its successor, owner 1. Ticket requests, tickets, restatements, releases
 * and lists of outstanding requests may be lost, doubled and arrive at any time; a dispatch and an
 * unload order take up to LINGER; a report is up to LAG old. Entry hosts may
 * believe either host to be the owner at any time.
 *
 * Names in internal/core/placement: Ask requestTicket, asked
 * receiveTicketRequest and issueTickets, Valid TicketValid, held reconcileOutstanding, released
 * receiveRelease, clearLost clearLostPins, makeRoom evictFor, settle reconcile,
 * Departing HandOff; ticket and Adopt are the same.
 *
 * Bounds: 1 entry host, 2 owners, one eviction each, END units of time; 7.6
 * million states. That no pin is stuck is an assertion up to END, not a proof.
 * CC: -DNOFAIR -DVECTORSZ=2048
 * PAN: -E -w22
 */

#define VALID  1   /* of a ticket, from the sending of its request */
#define LINGER 1   /* maximum time of a dispatch or an order */
#define LAG    1   /* maximum age of a report */
#define LEASE  3   /* end of owner 0's lease */
#define END    6
#define GUARD  (VALID + LINGER)
#define BOUND  (VALID + LINGER + LAG)

mtype = { idle, asking, ticketed, flying, running, over };

byte now = 0;

/* entry hosts */
mtype state[2] = idle;
byte sent[2];       /* of the ticket request */
byte until[2];      /* of the ticket */
byte arrives[2];    /* latest arrival of the dispatch */
bool dead[2];
byte diedAt[2];
byte view[2];       /* the host it takes to be the owner */

/* messages; a set bit may be delivered any number of times, or never */
bool askMsg[4];     /* by 2 * owner + entry */
bool runMsg[4];     /* restatement */
bool ticketMsg[4];
byte echo[4];       /* the request's sent, in the ticket */
bool releaseMsg[4];

/* owners */
byte owner = 0;
bool gone;          /* owner 0 has left or its lease ended */
byte since = 0;     /* owner 1's take-over */
bool open[2];       /* knows the adapter to be loaded */
bool settled[2];
bool pin[4];
byte heard[4];
bool foreign;       /* owner 1: requests of unknown tickets, by the reports */
bool evicted[2];

/* the engine, and the latest sample of it that a report may carry */
bool resident = true;
byte endedAt;       /* when request 0 last ran */
bool runs[2];
bool unload;        /* an order in flight */
byte unloadBy;      /* its latest arrival */
byte sampleAt;
bool sampleRun[2];
bool sampleResident = true;

#define ACTING(o) ((o == 0 && !gone && now < LEASE) || (o == 1 && gone))
#define P(o, e) (2 * (o) + (e))
#define UNPINNED(o) (!pin[P(o, 0)] && !pin[P(o, 1)])
#define IDLE_SAMPLE (!sampleRun[0] && !sampleRun[1])

/* a report's poll may have been sent LAG after the state that it shows */
#ifdef NO_LAG
#define PROVES(t) (sampleAt + LAG >= (t))
#else
#define PROVES(t) (sampleAt >= (t))
#endif

#ifdef NO_VALID
#define Valid(e) true
#else
#define Valid(e) (now < until[e])
#endif

#ifdef NO_CLEAR
#define CLEARING false
#else
#define CLEARING true
#endif

#ifdef LOST_NO_REPORT
#define IDLE_SINCE(t) true
#else
#define IDLE_SINCE(t) (PROVES(t) && IDLE_SAMPLE)
#endif

/* owner 1's wait before its first ticket */
#ifdef NO_LINGER
#define WAIT 0
#else
#define WAIT (LINGER + 1) /* strictly after its last arrival */
#endif

#ifdef LATE_ORDER
#define MAY_SEND(o) (ACTING(o) || (o == 0 && now <= LEASE + 1))
#else
#define MAY_SEND(o) (ACTING(o) && (o == 1 || now + LINGER <= LEASE))
#endif

inline Ask(e) {
  atomic {
    !dead[e] && (state[e] == idle || state[e] == asking) ->
      state[e] = asking; sent[e] = now; askMsg[P(view[e], e)] = true
  }
}

inline asked(o, e) {
  atomic {
    askMsg[P(o, e)] && ACTING(o) && open[o] ->
      ticketMsg[P(o, e)] = true; echo[P(o, e)] = sent[e];
#ifndef NO_PIN
      pin[P(o, e)] = true;
#endif
      heard[P(o, e)] = now
  }
}

inline ticket(o, e) {
  atomic {
    ticketMsg[P(o, e)] && !dead[e] && state[e] == asking && now < echo[P(o, e)] + VALID ->
      state[e] = ticketed; until[e] = echo[P(o, e)] + VALID
  }
}

inline dispatch(e) {
  atomic {
    !dead[e] && state[e] == ticketed && Valid(e) -> state[e] = flying; arrives[e] = now + LINGER
  }
}

inline arrive(e) {
  atomic {
    state[e] == flying ->
      if
      :: resident -> state[e] = running; runs[e] = true
      :: else -> state[e] = over; releaseMsg[P(view[e], e)] = !dead[e]
      fi
  }
}

inline finish(e) {
  atomic { state[e] == running -> state[e] = over; runs[e] = false; endedAt = now; releaseMsg[P(view[e], e)] = !dead[e] }
}

inline renew(e) {
  atomic { !dead[e] && state[e] == ticketed && now >= until[e] -> state[e] = asking; sent[e] = now; askMsg[P(view[e], e)] = true }
}

inline restate(e) {
  atomic {
    !dead[e] && (state[e] == ticketed || state[e] == flying || state[e] == running) && !runMsg[P(view[e], e)] ->
      runMsg[P(view[e], e)] = true
  }
}

/* a late restatement pins what is over until a list of outstanding requests clears it */
inline restated(o, e) {
  atomic { runMsg[P(o, e)] && ACTING(o) && !pin[P(o, e)] -> pin[P(o, e)] = true; heard[P(o, e)] = now }
}

inline released(o, e) {
  atomic { releaseMsg[P(o, e)] && pin[P(o, e)] -> pin[P(o, e)] = false; releaseMsg[P(o, e)] = false }
}

/* the list has every request for which the entry host has a ticket request at this owner */
inline held(o, e) {
  atomic {
    !dead[e] && pin[P(o, e)] && ACTING(o) ->
      if
      :: state[e] == over -> pin[P(o, e)] = false; askMsg[P(o, e)] = false; runMsg[P(o, e)] = false
#ifdef HOLD_VIEW
      :: view[e] != o && state[e] != over -> pin[P(o, e)] = false; askMsg[P(o, e)] = false; runMsg[P(o, e)] = false
#endif
      :: state[e] != over -> heard[P(o, e)] = now
      fi
  }
}

inline clearLost(o, e) {
  atomic {
    CLEARING && ACTING(o) && pin[P(o, e)] && now >= heard[P(o, e)] + GUARD && IDLE_SINCE(heard[P(o, e)] + GUARD) -> pin[P(o, e)] = false
  }
}

inline report() {
  atomic {
    sampleAt < now || sampleRun[0] != runs[0] || sampleRun[1] != runs[1] || sampleResident != resident ->
      sampleAt = now; sampleRun[0] = runs[0]; sampleRun[1] = runs[1]; sampleResident = resident
  }
}

/* owner 1 gives tickets once no order of owner 0 can arrive any more */
inline opens() {
  atomic {
    ACTING(1) && !open[1] && !evicted[1] && sampleResident && now >= since + WAIT && sampleAt + LAG >= since + WAIT -> open[1] = true
  }
}

inline settle() {
  atomic {
    ACTING(1) && !settled[1] && PROVES(since + GUARD) ->
      settled[1] = true;
      foreign = (sampleRun[0] && !pin[P(1, 0)]) || (sampleRun[1] && !pin[P(1, 1)])
  }
}

inline foreignEnds() {
  atomic { settled[1] && foreign && sampleAt >= since + GUARD && IDLE_SAMPLE -> foreign = false }
}

/* the order is checked against the lease immediately before it is sent */
inline makeRoom(o) {
  atomic {
    open[o] && settled[o] && UNPINNED(o) && !evicted[o] && !unload && (o == 0 || !foreign) && MAY_SEND(o) ->
      open[o] = false; evicted[o] = true; unload = true; unloadBy = now + LINGER
  }
}

inline unloads() {
  atomic { unload -> assert(!runs[0] && !runs[1]); resident = false; unload = false }
}

inline takeOver() {
  atomic {
    !gone && now >= LEASE -> gone = true; owner = 1; since = now;
#ifdef NO_GUARD
    settled[1] = true
#endif
  }
}

/* owner 0 leaves early; what it had begun is still in flight */
inline Departing() {
  atomic {
    !gone && now > 0 && now < LEASE -> gone = true; owner = 1; since = now;
#ifdef NO_GUARD
    settled[1] = true;
#endif
    if
    :: true /* its state is lost */
    :: true -> /* Adopt */
      pin[P(1, 0)] = pin[P(0, 0)]; heard[P(1, 0)] = heard[P(0, 0)];
      pin[P(1, 1)] = pin[P(0, 1)]; heard[P(1, 1)] = heard[P(0, 1)];
      open[1] = open[0]
    fi
  }
}

#define MAY_WAIT (!(unload && unloadBy <= now) && !(state[0] == flying && arrives[0] <= now) && !(state[1] == flying && arrives[1] <= now))

/* within a unit of time the acting owner polls once and clears what it can */
#define POLLED (sampleAt == now && sampleRun[0] == runs[0] && sampleRun[1] == runs[1])
#ifdef NO_CLEAR
#define CLEARS(e) false
#else
#define CLEARS(e) (ACTING(1) && pin[P(1, e)] && now >= heard[P(1, e)] + GUARD && PROVES(heard[P(1, e)] + GUARD) && IDLE_SAMPLE)
#endif
#define LONG_DEAD(e) (dead[e] && now > diedAt[e] + BOUND && now > since + BOUND && state[e] != running && state[e] != flying)

/* no pin is stuck: that of a crashed host ends BOUND after its last message
 * could arrive, once its request has ended; its messages last one unit */
inline tick() {
  atomic {
    now < END && MAY_WAIT && POLLED && !CLEARS(0) -> now++;
    if
    :: dead[0] && now > diedAt[0] + 1 -> askMsg[P(0, 0)] = false; askMsg[P(1, 0)] = false; runMsg[P(0, 0)] = false; runMsg[P(1, 0)] = false
    :: else
    fi;
    assert(!(gone && LONG_DEAD(0) && endedAt + BOUND < now && pin[P(1, 0)]))
  }
}

inline crash(e) { atomic { !dead[e] && state[e] != over -> dead[e] = true; diedAt[e] = now } }
inline hears(e) { atomic { !dead[e] -> view[e] = 1 - view[e] } }

#define ENTRY(e) \
  :: Ask(e) :: ticket(0, e) :: ticket(1, e) :: dispatch(e) :: arrive(e) :: finish(e) :: renew(e) :: restate(e) \
  :: hears(e) :: asked(0, e) :: asked(1, e) :: restated(0, e) :: restated(1, e) :: released(0, e) :: released(1, e) \
  :: held(0, e) :: held(1, e) :: clearLost(0, e) :: clearLost(1, e)

active proctype fleet() {
  open[0] = true;
  settled[0] = true;
  do
  ENTRY(0)
#ifdef TWO
  ENTRY(1)
#endif
  :: crash(0)
  :: report()
  :: opens()
  :: settle()
  :: foreignEnds()
  :: makeRoom(0)
  :: makeRoom(1)
  :: unloads()
  :: takeOver()
  :: Departing()
  :: tick()
  od
}
