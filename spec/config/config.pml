/* Changes of the configuration: racing operators, collection, hosts.
 *
 * internal/admin and internal/core/config. Three operators each apply one
 * change, which names one content-addressed chunk; the third goes back to the
 * first content. An update of the head is in flight for any time, its
 * answer may be lost, and it may be sent again. Reads of the head may be
 * stale. A collector deletes chunks in between; a host reads heads and fetches
 * their chunks. A process that takes no further step has crashed.
 *
 * Bounds: three changes, the first sent twice at most, the others once; one
 * collection; one host that reads twice. A restarted host is a new one: what it does until it knows that
 * it is fresh is the feed's matter.
 *
 * Checked: an update is accepted only from the head that it was made from; an
 * operator who gets "conflict" was not and never is accepted, one who gets
 * "accepted" was; no accepted change is without its audit record; the accepted
 * head's chunk exists; the version in force on a host only rises.
 *
 * States stored: 7,186,771.
 * CC: -DCOLLAPSE
 * PAN: -E */

#define OPERATORS 3
#define SENDS (i == 1 -> 2 : 1)
#define READS 2

byte clock = 1; /* the store's version */

/* The head, and an old state that a read may show. */
byte headObject = 1;
byte headVersion = 1;
byte headToken;
byte headChunk = 1;
byte oldObject = 1;
byte oldVersion = 1;
byte oldToken;
byte oldChunk = 1;

/* Chunks 1 and 2. */
byte chunkObject[3] = 1; /* version of the object; 0: it does not exist */

/* Updates of the head in flight, by operator, and their answers. */
byte updating[OPERATORS + 1];
byte base[OPERATORS + 1]; /* version of the head's object that the change was made from */
byte baseVersion[OPERATORS + 1];
byte chunk[OPERATORS + 1];

#define NONE 0
#define OK 1
#define CONFLICT 2
byte answer[OPERATORS + 1];

/* What is checked. */
bool recorded[OPERATORS + 1];
bool accepted[OPERATORS + 1];
bool toldConflict[OPERATORS + 1];

inline land(i) {
  updating[i]--;
  if
#ifdef UNCONDITIONAL
  :: true ->
#else
  :: headObject == base[i] ->
#endif
       assert(headVersion == baseVersion[i]); /* no update is lost */
       assert(!toldConflict[i]);
       assert(recorded[i]);
       oldObject = headObject; oldVersion = headVersion; oldToken = headToken; oldChunk = headChunk;
       clock++;
       headObject = clock;
       headVersion = baseVersion[i] + 1;
       headToken = i;
       headChunk = chunk[i];
       accepted[i] = true;
       assert(chunkObject[headChunk] != 0);
       answer[i] = OK
#ifndef UNCONDITIONAL
  :: else -> answer[i] = CONFLICT
#endif
  fi
}

active proctype Store() {
  do
  :: atomic { updating[1] > 0 -> land(1) }
  :: atomic { updating[2] > 0 -> land(2) }
  :: atomic { updating[3] > 0 -> land(3) }
  od
}

active [OPERATORS] proctype Operator() {
  byte i = _pid; /* 1, 2 or 3 */
  byte baseChunk;
  byte sends;

  atomic { /* load */
    chunk[i] = (i == 3 -> 1 : 2);
    if
    :: base[i] = headObject; baseVersion[i] = headVersion; baseChunk = headChunk
    :: base[i] = oldObject; baseVersion[i] = oldVersion; baseChunk = oldChunk
    fi
  }
#ifndef RECORD_AFTER
  recorded[i] = true;
#endif
  atomic { /* upload: what the base does not name is written, also if it exists */
    if
    :: chunk[i] == baseChunk
#ifdef NO_TOUCH
    :: chunk[i] != baseChunk && chunkObject[chunk[i]] != 0
    :: chunk[i] != baseChunk && chunkObject[chunk[i]] == 0 -> clock++; chunkObject[chunk[i]] = clock
#else
    :: chunk[i] != baseChunk -> clock++; chunkObject[chunk[i]] = clock
#endif
    fi
  }

accept:
  atomic { sends < SENDS -> sends++; updating[i]++ }

wait:
  atomic {
    if
    :: answer[i] == OK -> goto done
    :: answer[i] == CONFLICT -> goto decided
    :: sends < SENDS -> goto accept /* no answer came in time */
    :: sends == SENDS -> goto over /* reported: in doubt */
    fi
  }

decided: /* the condition can't hold any more: read back */
  atomic {
    if
    :: headToken == i -> goto done
    :: headToken != i && headVersion <= baseVersion[i] -> goto over
    :: headToken != i && headVersion > baseVersion[i]
    :: oldToken == i -> goto done
    :: oldToken != i && oldVersion <= baseVersion[i] -> goto over /* a stale read: in doubt */
    :: oldToken != i && oldVersion > baseVersion[i]
    fi;
#ifndef NO_CHAIN
    if
    :: sends > 1 && accepted[i] -> goto done /* it is in the chain of tokens */
    :: else
    fi;
#endif
    toldConflict[i] = true;
    assert(!accepted[i]);
    goto over
  }

done:
  atomic {
    assert(accepted[i]);
#ifdef RECORD_AFTER
    recorded[i] = true
#endif
  }

over:
  atomic { sends = 0; baseChunk = 0 }
}

active proctype Collector() {
  byte seen1;
  byte seen2;
  byte object;
  byte names;

  /* Before the first acceptance no chunk is older than the head. */
  atomic { headVersion > 1 -> seen1 = chunkObject[1]; seen2 = chunkObject[2] } /* list */
  atomic { /* the head comes after the list */
    if
    :: object = headObject; names = headChunk
    :: object = oldObject; names = oldChunk
    fi
  }
#ifdef ANY_AGE
#define OLDER(v) (true)
#else
#define OLDER(v) (v < object)
#endif
#ifdef ANY_VERSION
#define SAME(now, v) (true)
#else
#define SAME(now, v) (now == v)
#endif
  atomic {
    if
    :: names != 1 && seen1 != 0 && OLDER(seen1) && SAME(chunkObject[1], seen1) -> chunkObject[1] = 0
    :: else
    fi
  }
  atomic {
    if
    :: names != 2 && seen2 != 0 && OLDER(seen2) && SAME(chunkObject[2], seen2) -> chunkObject[2] = 0
    :: else
    fi
  }
}

/* Between the read of a head and the fetch of its chunk the head may change,
 * and the host finds the chunk missing and reads again; so both are one step
 * here, in which the accepted head's chunk must exist. */
active proctype Host() {
  byte inForce = 1; /* read before the first acceptance */
  byte reads;
  byte version;

  do
  :: atomic {
       reads < READS && headVersion > 1 ->
       reads++;
       if
       :: version = headVersion; assert(chunkObject[headChunk] != 0)
       :: version = oldVersion
       fi;
#ifndef ANY_READ
       if
       :: version <= inForce -> version = inForce
       :: else
       fi;
#endif
       assert(version >= inForce);
       inForce = version;
       version = 0
     }
  od
}
