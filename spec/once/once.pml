/* At most once: requests under one idempotency key, sent to any hosts.
 *
 * internal/core/dispatch/once. Each ATTEMPT is one Begin on some host; hosts
 * share nothing but the store, so that a host's crash is the crash of its
 * attempts, at any step. Calls to the store are in flight for any time: they
 * take effect late, their answers are lost, or they never arrive (outage). A
 * read may be stale. Callers leave at any step.
 *
 * Bounds: 3 attempts; two send 2 creates and 2 releases each, the third one
 * each; an attempt's outcome is recorded once. Expiry is left out: it deletes a record only after its
 * retention, when by its stated rule a repeat may run again.
 *
 * Checked: at any time at most one dispatch may have run or may run yet, and
 * an attempt that was refused as "not run" was not and never is dispatched.
 *
 * An attempt that takes no further step is a crash, not a deadlock.
 * States stored: 3,093,172.
 * PAN: -E */

#define ATTEMPTS 3
#define CREATES (t < 3 -> 2 : 1)
#define RELEASES (t < 3 -> 2 : 1)

#define RUNNING 1
#define DONE 2

/* The store: one record. */
bool present;
byte token;
byte phase;
byte version;
byte versions;

/* A former state that a read may show. */
bool oldPresent;
byte oldToken;
byte oldPhase;
byte oldVersion;

/* Calls in flight and answers that are on their way, by attempt. */
byte creating[ATTEMPTS + 1];
byte releasing[ATTEMPTS + 1];
bool recording[ATTEMPTS + 1];
byte mine[ATTEMPTS + 1]; /* version of the own record; releases and records name it */

#define NONE 0
#define OK 1
#define CONFLICT 2
byte answer[ATTEMPTS + 1];
byte answerVersion[ATTEMPTS + 1];
byte begun;

/* What is checked. */
byte mayRun;
bool dispatched[ATTEMPTS + 1];
bool refused[ATTEMPTS + 1]; /* as "not run" */

inline remember() {
  oldPresent = present; oldToken = token; oldPhase = phase; oldVersion = version
}

inline gone() {
  present = false; token = 0; phase = 0; version = 0
}

inline landCreate(i) {
  creating[i]--;
  if
  :: !present ->
       remember();
       versions++;
       present = true; token = i; phase = RUNNING; version = versions;
       answer[i] = OK; answerVersion[i] = version
  :: else ->
       answer[i] = CONFLICT
  fi
}

inline landRelease(i) {
  releasing[i]--;
  if
#ifdef RELEASE_ANY
  :: present -> remember(); gone()
#else
  :: present && version == mine[i] -> remember(); gone()
#endif
  :: else
  fi
}

inline landRecord(i) {
  recording[i] = false;
  if
  :: present && version == mine[i] ->
       remember();
       versions++;
       phase = DONE; version = versions
  :: else
  fi
}

/* The store carries out calls in any order. */
active proctype Store() {
end:
  do
  :: atomic { creating[1] > 0 -> landCreate(1) }
  :: atomic { creating[2] > 0 -> landCreate(2) }
  :: atomic { creating[3] > 0 -> landCreate(3) }
  :: atomic { releasing[1] > 0 -> landRelease(1) }
  :: atomic { releasing[2] > 0 -> landRelease(2) }
  :: atomic { releasing[3] > 0 -> landRelease(3) }
  :: atomic { recording[1] -> landRecord(1) }
  :: atomic { recording[2] -> landRecord(2) }
  :: atomic { recording[3] -> landRecord(3) }
  od
}

inline dispatch() {
  dispatched[t] = true;
  mayRun++;
  assert(mayRun <= 1);
  assert(!refused[t])
}

inline refuseNotRun() {
  refused[t] = true;
  assert(!dispatched[t])
}

/* One Begin. A crash after any step is a run in which it takes no further one;
 * safety is checked in every state, so these runs are covered. Attempts are
 * alike, so that only runs that begin them in order are looked at. */
active [ATTEMPTS] proctype Attempt() {
  byte t = _pid; /* 1, 2 or 3 */
  byte creates;
  byte releases;
  bool sawPresent;
  byte sawToken;
  byte sawPhase;
  byte sawVersion;

  atomic {
    begun == t - 1 -> begun = t;
#ifdef DISPATCH_FIRST
    dispatch();
#endif
    if
    :: refuseNotRun(); goto over /* the store is down, nothing was sent */
    :: creates = 1; creating[t] = 1
    fi
  }

waitCreate: /* an answer that is there may yet be lost */
  atomic {
    if
    :: answer[t] == OK -> mine[t] = answerVersion[t]; goto stepMine
    :: answer[t] == CONFLICT -> goto stepRead
#ifdef UNKNOWN_IS_MINE
    :: goto stepMine
#else
    :: goto stepRead
#endif
    fi
  }

stepRead:
  atomic {
    if
    :: goto giveUp /* the read has no answer either */
    :: sawPresent = present; sawToken = token; sawPhase = phase; sawVersion = version
    :: sawPresent = oldPresent; sawToken = oldToken; sawPhase = oldPhase; sawVersion = oldVersion
    fi;
    if
#ifdef ANY_TOKEN
    :: sawPresent && sawPhase == RUNNING -> mine[t] = sawVersion; goto stepMine
#else
    :: sawPresent && sawToken == t && sawPhase == RUNNING -> mine[t] = sawVersion; goto stepMine
#endif
    :: sawPresent && (sawToken != t || sawPhase != RUNNING) -> goto over /* replay, or "may have run" */
    :: !sawPresent && creates < CREATES ->
         creates++;
         creating[t]++;
         answer[t] = NONE; answerVersion[t] = 0;
         sawToken = 0; sawPhase = 0; sawVersion = 0;
         goto waitCreate
    :: !sawPresent && creates == CREATES -> goto giveUp
    fi
  }

giveUp: /* refused; what the create leaves is cleaned up */
  atomic {
    refuseNotRun();
#ifdef LATE_ANSWER_RUNS
    if
    :: answer[t] == OK -> mine[t] = answerVersion[t]; goto stepRun
    :: else
    fi;
#endif
    if
    :: present && token == t -> mine[t] = version; goto stepRelease
    :: else -> goto over
    fi
  }

stepMine: /* the record is this attempt's; its caller may have left */
  atomic {
    if
#ifdef CANCELLED_RUNS
    :: refuseNotRun(); goto stepRun
#else
    :: refuseNotRun(); goto stepRelease
#endif
    :: goto stepRun
    fi
  }

stepRun:
  atomic {
#ifndef DISPATCH_FIRST
    dispatch();
#endif
    if
    :: mayRun--; goto stepRelease /* surely not run */
#ifdef RELEASE_MAYBE
    :: goto stepRelease /* may have run */
#endif
    :: recording[t] = true; goto over /* ran, or may have */
    fi
  }

stepRelease:
  atomic {
    releases < RELEASES -> releases++; releasing[t]++; goto stepRelease
  }

over:
  atomic {
    creates = 0; releases = 0; answer[t] = NONE; answerVersion[t] = 0;
    sawPresent = false; sawToken = 0; sawPhase = 0; sawVersion = 0
  }
}
