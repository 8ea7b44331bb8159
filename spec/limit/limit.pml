/* Shares of one workspace's limit: granting, renewal, restating, take-over, with
 * one owner lost or cut off from the store. Names in
 * internal/core/limit: ask ShareRequest, booked entry of the ledger, cut
 * rebalance and sendShare, heard markRestated, drop dropExpired.
 *
 * PAN: -E -w22
 * CC: -DCOLLAPSE
 *
 * Bounds: two owners (0 acts first, 1 succeeds once), two share holders, a limit of
 * UNITS units, at most MAXGRANTS shares sent and MAXASKS share requests, channels
 * that lose and reorder shares and double one. Time is
 * abstract: a holder's share expires (drop) before its owner may reclaim it
 * (reclaim), as counting from before the share request ensures; the horizon ends only
 * after every share of the first owner ended. Spent is what may be spent at one
 * moment: the shares of holders plus the pools of owners that may spend. It must
 * never exceed UNITS. 1,887,772 states. */

#define UNITS 2
#define HOLDERS 2

/* true state of the leases */
byte actingOwner = 0;        /* the only owner that may act; 2: none */
bool lost0 = false;          /* owner 0 is dead */
bool moved = false;          /* the shard went to owner 1 */

/* share holders */
byte held[HOLDERS];          /* units that the holder may spend */
byte fence[HOLDERS];         /* promised */
byte applied[HOLDERS];       /* Seq of the last share applied */
byte by[HOLDERS];            /* fencing number of that share */

/* owners */
byte pool[2];
byte booked[4];              /* booked[2*owner + holder]: at most held */
byte seq[4];                 /* of the last share sent */
byte sentTo[4];              /* units of that share */
bool open[4];                /* not acknowledged */
bool heard[2];               /* restated to owner 1 */
bool withheld = true;        /* owner 1's pool */
bool horizonPast = false;    /* no share of owner 0 can be valid any more */
bool listed[2];              /* holders named in the object */
byte fences[2];
bool claimed = false;        /* owner 1 has read and claimed the list */
bool seen[2];                /* listed as owner 1 read it */
byte grants = 0;             /* shares sent, bounded */
byte asks = 0;               /* share requests sent, bounded */
byte copies = 0;             /* doubled messages, bounded */

#define MAXGRANTS 3
#define MAXASKS 3
#define MAXCOPIES 1

#define acting(o) (actingOwner == o && !(o == 0 && lost0))
#define spends(o) (acting(o) -> pool[o] : 0)
#define SPENT (held[0] + held[1] + spends(0) + spends(1))

/* messages: holder, fence, seq, units */
chan share = [2] of { byte, byte, byte, byte };
chan ask0 = [1] of { byte, byte, byte, byte };
chan ask1 = [1] of { byte, byte, byte, byte };

inline check() { assert(SPENT <= UNITS) }

/* cut: an owner sets the share of a holder in its ledger, debit first. */
inline cut(o, h, units) {
  grants++;
  sentTo[2*o+h] = units;
  seq[2*o+h] = seq[2*o+h] + 1;
  open[2*o+h] = true;
  if
  :: sentTo[2*o+h] > booked[2*o+h] ->
#ifndef CREDIT_BEFORE_DEBIT
     pool[o] = pool[o] - (sentTo[2*o+h] - booked[2*o+h]);
#endif
     booked[2*o+h] = sentTo[2*o+h]
  :: else
  fi;
  share!h, fences[o], seq[2*o+h], sentTo[2*o+h]
}

/* confirm: the holder states its share after the last one applied. */
inline confirm(o, h, s, units) {
  if
  :: s == seq[2*o+h] && units < booked[2*o+h] ->
     pool[o] = pool[o] + (booked[2*o+h] - units);
     booked[2*o+h] = units;
     open[2*o+h] = false
#ifdef CONFIRM_OLD_ASK
  :: s != seq[2*o+h] && units < booked[2*o+h] ->
     pool[o] = pool[o] + (booked[2*o+h] - units);
     booked[2*o+h] = units
#endif
  :: s == seq[2*o+h] && units >= booked[2*o+h] -> open[2*o+h] = false
  :: else
  fi
}

proctype Owner0() {
  byte h, f, s, u;
  do
  :: atomic { !lost0 && nempty(ask0) -> /* frozen too: it can't know that it was replaced */
       ask0?h, f, s, u;
       confirm(0, h, s, u);
       h = 0; f = 0; s = 0; u = 0; check() }
  :: atomic { !lost0 && grants < MAXGRANTS && nfull(share) ->
       if :: h = 0 :: h = 1 fi;
       if
       :: listed[h] && !open[h] && pool[0] > 0 -> cut(0, h, booked[h] + 1)     /* grow */
       :: listed[h] && !open[h] && booked[h] > 0 -> cut(0, h, booked[h] - 1)   /* shrink */
       :: listed[h] && open[h] -> share!h, fences[0], seq[h], sentTo[h]; grants++ /* again */
#ifdef GRANT_BEFORE_LIST
       :: !listed[h] && pool[0] > 0 -> cut(0, h, booked[h] + 1)
#endif
       :: else
       fi; h = 0; check() }
  :: atomic { acting(0) && !listed[1] -> listed[1] = true } /* written while Acting */
  :: atomic { !lost0 && booked[0] > 0 && held[0] == 0 &&
#ifndef FROZEN_RECLAIMS
       acting(0) &&
#endif
       !(share ?? [0, 1, eval(seq[0]), eval(sentTo[0])]) -> /* expired, also the shares in flight */
       pool[0] = pool[0] + booked[0]; booked[0] = 0; open[0] = false;
       seq[0] = seq[0] + 1; check() }
#ifdef FROZEN_SPENDS
  :: atomic { !lost0 && moved -> assert(held[0] + held[1] + pool[0] + spends(1) <= UNITS) }
#endif
  :: lost0 -> break
  od
}

proctype Lease() {
  if
  :: atomic { lost0 = true; actingOwner = 2 } /* dead */
  :: atomic { actingOwner = 2 }               /* cut off from the store: frozen, it can't act */
  fi;
  atomic { actingOwner = 1; moved = true }
}

proctype Owner1() {
  byte h, f, s, u;
  atomic { acting(1) -> seen[0] = listed[0]; seen[1] = listed[1]; claimed = true;
#ifdef SUCCESSOR_DOES_NOT_WAIT
    withheld = false; pool[1] = UNITS;
#endif
  }
  do
  :: atomic { nempty(ask1) -> ask1?h, f, s, u;
       if
       :: f < fences[1] /* it has to promise the fencing number first */
#ifdef NO_PROMISE
          -> if :: !heard[h] -> heard[h] = true; booked[2+h] = u; seq[2+h] = s :: else fi
#endif
       :: else ->
          if
          :: !heard[h] -> heard[h] = true; seq[2+h] = s;
             if
#ifdef LATE_ASK_BOOKED
             :: true -> booked[2+h] = u
#else
             :: withheld && seen[h] -> booked[2+h] = u
             :: else -> booked[2+h] = 0 /* its share has expired: a late share request */
#endif
             fi
          :: else -> confirm(1, h, s, u)
          fi
       fi;
       h = 0; f = 0; s = 0; u = 0; check() }
  :: atomic { withheld && (horizonPast || ((heard[0] || !seen[0]) && (heard[1] || !seen[1]))) ->
       withheld = false; pool[1] = UNITS - booked[2] - booked[3]; check() }
  :: atomic { !withheld && grants < MAXGRANTS && nfull(share) ->
       if :: h = 0 :: h = 1 fi;
       if
       :: heard[h] && !open[2+h] && pool[1] > 0 -> cut(1, h, booked[2+h] + 1)
       :: heard[h] && !open[2+h] && booked[2+h] > 0 -> cut(1, h, booked[2+h] - 1)
       :: else
       fi; h = 0; check() }
  od
}

proctype Holder(byte me) {
  byte f, s, u;
  do
  :: atomic { share ?? [eval(me), f, s, u] -> share ?? eval(me), f, s, u;
       if
       :: copies < MAXCOPIES && nfull(share) -> copies++; share!me, f, s, u /* doubled */
       :: true
       fi;
       if
#ifdef FENCE_IGNORED
       :: s > applied[me] ->
#else
       :: f >= fence[me] && s > applied[me] && !(f == 1 && horizonPast) ->
#endif
#ifdef APPLIED_TWICE
          applied[me] = s; fence[me] = f; by[me] = f; held[me] = held[me] + u
#else
          applied[me] = s; fence[me] = f; by[me] = f; held[me] = u
#endif
       :: else
       fi;
       f = 0; s = 0; u = 0; check() }
  :: atomic { share ?? [eval(me), f, s, u] -> share ?? eval(me), f, s, u; f = 0; s = 0; u = 0 } /* lost */
  :: atomic { claimed && asks < MAXASKS && nfull(ask1) -> /* onStateRequest: promise, then restate */
       asks++; fence[me] = 2; ask1!me, 2, applied[me], held[me] }
  :: atomic { asks < MAXASKS && fence[me] < 2 && nfull(ask0) -> asks++; ask0!me, fence[me], applied[me], held[me] }
#ifdef NO_PROMISE
  :: atomic { claimed && asks < MAXASKS && fence[me] < 2 && nfull(ask1) -> asks++; ask1!me, fence[me], applied[me], held[me] }
#endif
  :: atomic { held[me] > 0 -> held[me] = 0 } /* drop: the share expired */
  od
}

/* The horizon: shares of owner 0 end at the latest then, which Owner1 waits out. */
proctype Horizon() {
  atomic { moved && (held[0] == 0 || by[0] == 2) && (held[1] == 0 || by[1] == 2) -> horizonPast = true }
}

init {
  atomic {
    fences[0] = 1; fences[1] = 2;
    pool[0] = UNITS;
    listed[0] = true;
    run Owner0(); run Owner1(); run Lease(); run Horizon();
    run Holder(0); run Holder(1)
  }
}
