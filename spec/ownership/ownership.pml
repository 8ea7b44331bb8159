/* PAN: -w24 */
/* CC: -DCOLLAPSE -DNOFAIR */
/*
 * Ownership of one shard: lease, fencing, overlap rule and handoff, as in
 * internal/core/lease (settled: the lowest applied view; custody: the sender of
 * a Handoff was entitled to act and has stopped). Checked after every step: no
 * two hosts act at once, and
 * the fencing number rises with each change of owner.
 *
 * Bounds: N hosts of which two are members at first, versions 1..V of the
 * view, one host watched at a time (a watch touches its own host only). The
 * owner in each version is any active member: more than a rendezvous hash gives.
 *
 * Faults: a lease may run out at any moment (pause, store outage, slow clock)
 * and be renewed at any later one, also by a heartbeat that was written late or
 * whose acknowledgement comes late or twice, as when a write took effect and
 * its answer was lost; a Handoff is lost, late, doubled or reordered; a view
 * is adopted late and several versions at a time; a host stops taking steps in
 * any state, which is a crash.
 *
 * Time is kept only as far as leases need it. Before the watcher of a host has
 * waited the term, heartbeats from before the watch may still renew its lease;
 * from then on they can't. A heartbeat written during the watch ends it, since
 * the fencing update is conditional on the unchanged heartbeat object.
 * A Handoff that its receiver has applied is dropped: a repeat is ignored.
 *
 * States stored: 3.5 million with the bounds below. Trials with V=5 (before
 * hosts could read the head ahead of joining) and with N=4, V=3 held as well,
 * with 12.6 and 7.8 million.
 *
 * The true lowest applied view is used at once. Hosts learn it
 * later, which only makes rights begin later.
 */
#ifndef N
#define N 3
#endif
#ifndef V
#define V 4
#endif
#define NONE N
#define BIT(i) (1 << (i))
#define HAS(mask, i) (((mask) >> (i)) & 1)

/* members/head */
byte version = 1;
byte members = 3;          /* mask */
byte staying = 3;          /* members that don't leave */
byte owner[V + 2];
byte removed[V + 2];       /* the host removed in a version */
byte number[N];            /* the version a host joined in */
/* members/beats */
byte fenced;               /* mask */
/* the watch */
byte watched = NONE;
bit waited;                /* the term has passed */
/* hosts */
byte joined = 3;           /* mask */
byte gone;                 /* mask: left, lost or crashed */
byte view[N];
byte since[N];             /* the owner under view[] has owned it since */
byte custody;              /* mask */
byte pending[N];           /* custody that waits for this version */
byte handed[N];            /* the latest Handoff applied */
byte held;                 /* mask: the lease is valid */
byte checked;              /* mask: SKIP_RECHECK acts on an earlier check */
byte handOver;             /* mask by version: Handoff sent to owner[version] */
/* who acted last */
byte lastActor = NONE;
byte lastFence;

byte settled, t, w, a, b;

/* settle: the lowest version that a member may act under. */
inline settle() {
  settled = version;
  t = 0;
  do
  :: t < N ->
    if
    :: HAS(members, t) && view[t] < settled && number[t] < settled ->
      settled = (view[t] > number[t] -> view[t] : number[t])
    :: else
    fi;
    t++
  :: else -> break
  od;
  t = 0
}

#ifdef NO_SETTLED
#define QUIET(i) true
#else
#define QUIET(i) (since[i] <= settled)
#endif
#define LIVE(i) (HAS(joined, i) && !HAS(gone, i))
#define RIGHT(i) (LIVE(i) && HAS(held, i) && view[i] > 0 && owner[view[i]] == i && (HAS(custody, i) || QUIET(i)))
#ifdef SKIP_RECHECK
#define ACTS(i) HAS(checked, i)
#else
#define ACTS(i) RIGHT(i)
#endif

/* reduce: what can't be told apart any more is made the same. Versions before
 * the lowest applied one are unused; a run that began before it counts as
 * begun; custody of a settled run adds nothing. */
inline reduce() {
  a = 1;
  do
  :: a < settled ->
    removed[a] = NONE;
    if
    :: !HAS(handOver, a) -> owner[a] = NONE
    :: else
    fi;
    a++
  :: else -> break
  od;
  a = 0;
  do
  :: a < N ->
    if
    :: since[a] > 0 && since[a] <= settled && view[a] > 0 ->
      custody = custody & ~BIT(a);
      if
      :: owner[view[a]] != a -> since[a] = 1
      :: else
      fi
    :: else
    fi;
    a++
  :: else -> break
  od
}

/* check: the properties, after every step. */
inline check() {
  settle();
  a = 0;
  b = NONE;
  do
  :: a < N ->
#ifdef SKIP_RECHECK
    if
    :: RIGHT(a) -> checked = checked | BIT(a)
    :: else
    fi;
#endif
    if
    :: ACTS(a) ->
      assert(b == NONE);
      b = a;
      if
      :: lastActor != a && lastActor != NONE -> assert(since[a] > lastFence)
      :: else
      fi;
      lastActor = a;
      lastFence = since[a]
    :: else
    fi;
    a++
  :: else -> break
  od;
  reduce();
  a = 0; b = 0; settled = 0
}

/* next: a new version, with any active member as the owner. */
inline next() {
  version++;
  removed[version] = NONE;
  if
  :: staying == 0 -> owner[version] = NONE
  :: HAS(staying, 0) -> owner[version] = 0
  :: HAS(staying, 1) -> owner[version] = 1
  :: HAS(staying, 2) -> owner[version] = 2
#if N > 3
  :: HAS(staying, 3) -> owner[version] = 3
#endif
  fi
}

inline unwatch(i) {
  if
  :: watched == i -> watched = NONE; waited = 0
  :: else
  fi
}

/* forget: the state of a host that is out for good is reset. */
inline forget(i) {
  view[i] = 0; since[i] = 0; pending[i] = 0; handed[i] = 0; number[i] = 0;
  custody = custody & ~BIT(i); held = held & ~BIT(i); fenced = fenced & ~BIT(i);
  unwatch(i)
}

inline stop(i) {
  gone = gone | BIT(i); checked = checked & ~BIT(i);
  held = held & ~BIT(i); since[i] = 0; pending[i] = 0; handed[i] = 0;
  custody = custody & ~BIT(i)
}

/* claim: custody becomes a right once the version is adopted. */
inline claim(i) {
  if
  :: pending[i] > 0 && view[i] >= pending[i] ->
    if
#ifdef CLAIM_ANY
    :: owner[view[i]] == i -> custody = custody | BIT(i)
#else
    :: owner[view[i]] == i && since[i] <= pending[i] -> custody = custody | BIT(i)
#endif
    :: else
    fi;
    pending[i] = 0
  :: else
  fi
}

/* step: one version further. A host that acts and loses the shard stops and
 * hands it off; the next owner of one that surely stopped may act at once. */
inline step(i) {
  w = view[i] + 1;
  if
  :: owner[w] != owner[view[i]] ->
    if
#ifdef HAND_TO_LAST
    :: RIGHT(i) && owner[version] != NONE && owner[version] != i -> handOver = handOver | BIT(version)
#else
    :: RIGHT(i) && owner[w] != NONE -> handOver = handOver | BIT(w)
#endif
    :: else
    fi;
    custody = custody & ~BIT(i);
    if
#ifdef DEATH_UNSETTLED
    :: removed[w] != NONE && removed[w] == owner[view[i]] -> custody = custody | BIT(i)
#else
    :: removed[w] != NONE && removed[w] == owner[view[i]] && QUIET(i) -> custody = custody | BIT(i)
#endif
    :: else
    fi;
    since[i] = w;
    checked = checked & ~BIT(i)
  :: else
  fi;
  view[i] = w;
  w = 0
}

inline adopt(i) {
  settle();
  if
  :: view[i] == 0 -> view[i] = version; since[i] = version
  :: else ->
    do
    :: view[i] < version -> step(i)
    :: else -> break
    od
  fi;
  settled = 0;
  if
  :: HAS(joined, i) && !HAS(members, i) -> stop(i); forget(i)
  :: else -> claim(i)
  fi;
  if /* custody of another host's shard has no effect */
  :: owner[view[i]] != i -> custody = custody & ~BIT(i)
  :: else
  fi
}

#define RENEWS(i) (LIVE(i) && !HAS(held, i) && !HAS(fenced, i) && view[i] > 0 && view[i] >= number[i])

inline host(i) {
  if
  /* joins */
  :: atomic { !HAS(joined, i) && version < V ->
      d_step { members = members | BIT(i); staying = staying | BIT(i); joined = joined | BIT(i) }
      next();
      d_step { number[i] = version; check() } }
  /* adopts the newest view */
  :: d_step { !HAS(gone,i) && view[i] < version -> adopt(i); check() }
  /* is marked as leaving */
  :: atomic { LIVE(i) && HAS(staying, i) && version < V ->
      staying = staying & ~BIT(i);
      next();
      d_step { check() } }
  /* stops and removes itself */
  :: atomic { LIVE(i) && HAS(members, i) && version < V ->
      d_step { stop(i); staying = staying & ~BIT(i); members = members & ~BIT(i) }
      next();
      d_step { removed[version] = i; forget(i); check() } }
  /* the lease expires */
  :: d_step { HAS(held, i) -> held = held & ~BIT(i) }
  /* it is renewed: no host watches, or by a heartbeat from before the watch */
#ifdef COUNT_FROM_ACK
  :: d_step { RENEWS(i) -> held = held | BIT(i); check() }
#else
  :: d_step { RENEWS(i) && !(watched == i && waited) -> held = held | BIT(i); check() }
#endif
  /* another host begins to watch this one's heartbeat */
  :: d_step { HAS(members, i) && watched == NONE && !HAS(fenced, i) -> watched = i }
  /* a new heartbeat is written, or the watch is abandoned */
#if defined(FENCE_UNCONDITIONAL) || defined(REMOVE_UNFENCED)
  :: d_step { watched == i && RENEWS(i) -> held = held | BIT(i); check() }
#endif
  :: d_step { watched == i && !HAS(fenced, i) -> unwatch(i) }
  /* the watcher has waited the term */
  :: d_step { watched == i && !waited ->
      waited = 1;
#ifndef SKIP_WAIT
      held = held & ~BIT(i)
#endif
    }
  /* fences */
  :: d_step { watched == i && waited -> fenced = fenced | BIT(i); unwatch(i) }
  /* removes */
#ifdef REMOVE_UNFENCED
  :: atomic { (HAS(fenced, i) || (watched == i && waited)) && HAS(members, i) && version < V ->
#else
  :: atomic { HAS(fenced, i) && HAS(members, i) && version < V ->
#endif
      d_step { staying = staying & ~BIT(i); members = members & ~BIT(i) }
      next();
      d_step { removed[version] = i; check() } }
  fi
}

/* receive: a Handoff arrives, perhaps again. */
inline receive(x) {
  d_step { HAS(handOver, x) && owner[x] < N && LIVE(owner[x]) && x > handed[owner[x]] ->
    w = owner[x];
    handed[w] = x; pending[w] = x;
    handOver = handOver & ~BIT(x);
    if
    :: view[w] > 0 -> claim(w)
    :: else
    fi;
    w = 0; check() }
}

#ifdef HAND_BEFORE_STOPPING
/* early: hands off on seeing the new view, and adopts it later. */
inline early(i) {
  d_step { LIVE(i) && view[i] > 0 && view[i] < version && owner[view[i] + 1] != i && !HAS(handOver, view[i] + 1) ->
    settle();
    if
    :: RIGHT(i) && owner[view[i] + 1] != NONE -> handOver = handOver | BIT(view[i] + 1)
    :: else
    fi;
    settled = 0 }
}
#endif

init {
  d_step {
    t = 0;
    do
    :: t <= V -> removed[t] = NONE; owner[t] = NONE; t++
    :: else -> break
    od;
    t = 0;
    owner[1] = 0;
    number[0] = 1; number[1] = 1;
    view[0] = 1; view[1] = 1;
    since[0] = 1; since[1] = 1
  }
end:
  do
  :: host(0)
  :: host(1)
  :: host(2)
#if N > 3
  :: host(3)
#endif
  :: receive(2)
  :: receive(3)
#if V > 3
  :: receive(4)
#endif
#if V > 4
  :: receive(5)
#endif
#ifdef HAND_BEFORE_STOPPING
  :: early(0)
  :: early(1)
  :: early(2)
#endif
  od
}
