/* PAN: -w20 */
/*
 * The configuration in force on each host never goes back, as in
 * internal/core/feed: the store holds one head, watchers read it, relays pass
 * on the newest head that they know, and a head is put in force once it has
 * all chunks.
 *
 * Faults: a read answers from the past; messages are lost, late, doubled and
 * reordered (a message that was sent may be taken at any later time, any number
 * of times); a relay is as old as it likes; a parent is changed (every host may
 * receive from every other); a chunk comes late or never; a host restarts empty. A
 * restarted host is a new process: its version may start anew at whatever it
 * receives, but from then on rises.
 *
 * Also checked: a host counts as fresh as of a moment only if the version that
 * was the newest then is in force there. Moments are acceptances: at moment v
 * the newest version is v.
 *
 * Bounds: H hosts of which host 0 watches, versions 1..V. States stored: 2.4
 * million.
 */
#ifndef H
#define H 3
#endif
#ifndef V
#define V 3
#endif

byte store = 0;           /* the newest version */
byte target[H];           /* the newest head known */
byte force[H];            /* the version in force */
byte was[H];              /* the same before the step */
byte asOf[H];             /* as of this moment the host's version was the newest */
byte sentHead[H];         /* bits: heads that a host has ever sent */
byte statement[H];        /* the latest moment that a host can state */
byte version[H];          /* the newest version at that moment, as stated */

byte i;

inline learn(h, v) {
#ifdef TAKE_ANY
  target[h] = v
#else
  if
  :: v > target[h] -> target[h] = v
  :: else
  fi
#endif
}

/* newest: as of moment m, version v was the newest. */
inline newest(h, m, v) {
  if
  :: m >= statement[h] ->
    statement[h] = m;
    if
    :: v > version[h] -> version[h] = v
    :: else
    fi
  :: else
  fi;
  count(h)
}

/* count: the statement counts once that version is in force. */
inline count(h) {
  if
#ifdef FRESH_WITHOUT_FORCE
  :: statement[h] > asOf[h] -> asOf[h] = statement[h]
#else
  :: force[h] >= version[h] && statement[h] > asOf[h] -> asOf[h] = statement[h]
#endif
  :: else
  fi
}

inline check() {
  i = 0;
  do
  :: i < H ->
    assert(force[i] >= was[i]);
    assert(force[i] >= asOf[i]);
    was[i] = force[i];
    i++
  :: else -> break
  od;
  i = 0
}

inline host(h) {
  /* a chunk-complete target is put in force */
  if
  :: d_step { target[h] != force[h] -> force[h] = target[h]; count(h); check() }
  /* sends its newest head; it stays in flight for good */
  :: d_step { target[h] > 0 -> sentHead[h] = sentHead[h] | (1 << target[h]) }
  /* restarts empty */
  :: d_step { force[h] > 0 -> target[h] = 0; force[h] = 0; was[h] = 0; asOf[h] = 0; statement[h] = 0; version[h] = 0 }
  fi
}

/* receives one of the heads that another host has ever sent */
inline hears(h, from) {
  if
  :: d_step { (sentHead[from] >> 1) & 1 -> learn(h, 1); check() }
  :: d_step { (sentHead[from] >> 2) & 1 -> learn(h, 2); check() }
  :: d_step { (sentHead[from] >> 3) & 1 -> learn(h, 3); check() }
  fi
}

/* pings a neighbour; the answer counts as of the moment that the neighbour
 * states, not as of now */
inline asks(h, from) {
#ifdef AGE_IGNORED
  d_step { statement[from] > 0 -> newest(h, store, version[from]); check() }
#else
  d_step { statement[from] > 0 -> newest(h, statement[from], version[from]); check() }
#endif
}

init {
end:
  do
  :: d_step { store < V -> store++ }
  /* the watcher reads the store: now, or an old value */
  :: d_step { store > 0 -> learn(0, store); newest(0, store, store); check() }
  :: d_step { store > 1 ->
#ifdef STALE_READ_IS_FRESH
      learn(0, store - 1); newest(0, store, store - 1); check() }
#else
      learn(0, store - 1); check() }
#endif
  :: host(0)
  :: host(1)
  :: host(2)
  :: hears(1, 0)
  :: hears(2, 0)
  :: hears(2, 1)
  :: hears(1, 2)
  :: hears(0, 1)
  :: asks(1, 0)
  :: asks(2, 1)
  :: asks(2, 0)
  :: asks(1, 2)
  od
}
