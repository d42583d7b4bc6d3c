/* Operations that run at most once: one key, its record in the platform, and all who touch it.
 *
 * Action                       Implemented by
 * read, judge                  state/_operations.py judge_intent, apply_intent
 * conditional_write            protocol/_platform.py Platform.put
 * commit_intent                coordination/_ledger.py ShardWriter._write, _put
 * forward, Owner               coordination/_ledger.py _OwnerChannel, Ledger.answer
 * dispatch                     coordination/_services.py Services._execute
 * complete                     state/_operations.py apply_completion, Ledger.complete
 *
 * A daemon may pause between any two steps (interleaving) and crash at any step. A write may be
 * applied with its reply lost, or land late. The caller repeats its request at either daemon.
 * Bounds: two daemons and an owner, three attempts, two writes a commit, one late write a run.
 *
 * Guards, each taken out by a mutant:
 *   NO_FENCE        a write ignores the version
 *   ASSUME_WRITTEN  a lost reply counts as written, without reading back
 *   RERUN_IN_DOUBT  an intent of another attempt is run again
 *   GRANT_STALE     a late copy of an attempt that was given up is granted
 *   RETRY_LOST      an operation whose answer was lost is sent again
 *   NOT_RUN_EARLY   an attempt whose answer was lost is recorded as not run
 */

#ifndef LAST_OF_FIRST
#define LAST_OF_FIRST 1
#endif
#define ATTEMPTS (LAST_OF_FIRST + 2)    /* the last attempt is the second daemon's */
#define TRIES 2                         /* writes of one commit before it is given up */
#define LATE_WRITES 1                   /* writes of a run that may land late */

mtype = { NONE, INTENT, DONE, NOT_RUN };

/* The platform's object. */
byte version = 1;
mtype state = NONE;
byte attempt = 0;

/* One write that is still under way and may land at any time. */
bool late = false;
byte late_left = LATE_WRITES;
byte late_expected;
mtype late_state;
byte late_attempt;

byte executions = 0;
bool ran[ATTEMPTS];
bool told_not_run[ATTEMPTS];
chan to_owner = [1] of { byte };
bool owner_granted[ATTEMPTS];

inline conditional_write(expected, new_state, new_attempt, result) {
  /* result: 0 conflict, 1 written, 2 reply lost, 3 refused */
  atomic {
    /* What is settled as not run stays so: a key must not fall back into doubt. */
    assert(version != expected || state != NOT_RUN || new_state != INTENT || new_attempt != attempt);
    if
    :: result = 3
#ifdef NO_FENCE
    :: version++; state = new_state; attempt = new_attempt; result = 1
#else
    :: version != expected -> result = 0
    :: version == expected ->
       version++; state = new_state; attempt = new_attempt;
       if :: result = 1 :: result = 2 fi
#endif
    :: !late && late_left > 0 ->
       late = true; late_left--; late_expected = expected; late_state = new_state;
       late_attempt = new_attempt; result = 2
    fi
  }
}

inline read_record(seen_version, seen_state, seen_attempt) {
  atomic { seen_version = version; seen_state = state; seen_attempt = attempt }
}

/* granted: 0 refused as not run, 1 granted, 2 in doubt or finished, 3 not yet known */
inline commit_intent(a, granted) {
  granted = 3; tries = 0;
  do
  :: atomic { granted != 3 -> break }
  :: atomic { granted == 3 && tries == TRIES -> granted = 0 }
  :: atomic { granted == 3 && tries < TRIES -> granted = 0 }   /* the platform cannot be read */
  :: atomic {
       granted == 3 && tries < TRIES ->
       tries++;
       read_record(v, s, t);
       if
       :: s == DONE -> granted = 2
       :: s == INTENT && t == a -> granted = 1
#ifndef RERUN_IN_DOUBT
       :: s == INTENT && t != a -> granted = 2
#endif
#ifndef GRANT_STALE
       :: s == NOT_RUN && t == a -> granted = 2
#endif
       :: else -> skip
       fi
     };
     if
     :: atomic {
          granted == 3 ->
          conditional_write(v, INTENT, a, w);
          if
          :: w == 1 -> granted = 1
          :: w == 3 -> granted = 0
#ifdef ASSUME_WRITTEN
          :: w == 2 -> granted = 1
#endif
          :: else -> skip             /* a conflict, or a lost reply: read back */
          fi;
          v = 0; t = 0; w = 0; s = NONE
        }
     :: atomic { granted != 3 -> v = 0; t = 0; s = NONE }
     fi
  od;
  tries = 0
}

/* Records what became of an attempt; tries until it is settled or the daemon crashes. */
inline complete(a, outcome) {
  w = 4;
  do
  :: atomic { w == 1 -> break }
  :: atomic { w != 1 -> break }       /* crashed */
  :: atomic { w != 1 -> read_record(v, s, t) };
     atomic {
       if
       :: (t != 0 && t != a) || (t == a && s != INTENT) -> w = 1
       :: else -> conditional_write(v, outcome, a, w)
       fi;
       v = 0; t = 0; s = NONE
     }
  od;
  w = 0
}

inline execute(a) {
  atomic {
    executions++; ran[a] = true;
    assert(executions <= 1);           /* an operation runs at most once */
    assert(!told_not_run[a])           /* what was told not to have run has not run */
  }
}

inline tell_not_run(a) {
  atomic { told_not_run[a] = true; assert(!ran[a]) }
}

inline dispatch(a) {
  if
  :: /* the connection is refused: nothing was sent */
     complete(a, NOT_RUN); tell_not_run(a)
  :: /* executed and answered */
     execute(a);
     complete(a, DONE)
  :: /* executed, the answer is lost */
     execute(a);
#ifdef RETRY_LOST
     execute(a);
#endif
#ifdef NOT_RUN_EARLY
     complete(a, NOT_RUN)
#endif
  :: /* not executed, the answer is lost */
     skip
  :: /* the daemon crashes between intent and dispatch */
     crashed = true
  fi
}

inline forget() {
  /* Values that no later step reads would only multiply the states. */
  d_step { v = 0; t = 0; w = 0; tries = 0; granted = 0; s = NONE }
}

proctype Daemon(byte first; byte last) {
  byte a = first, v, t, w, tries, granted;
  mtype s;
  bool crashed = false;
  do
  :: a > last || crashed -> break
  :: a <= last && !crashed ->
     if
     :: nfull(to_owner) -> to_owner!a;  /* forward, then wait for the owner or give up on it */
        if
        :: owner_granted[a] -> granted = 1
        :: commit_intent(a, granted)
        fi
     :: commit_intent(a, granted)
     fi;
     if
     :: granted == 1 -> dispatch(a)
     :: granted == 0 -> tell_not_run(a); complete(a, NOT_RUN)
     :: else -> skip                   /* answered from the record, or unknown */
     fi;
     forget();
     a++
  od
}

/* The shard's preferred writer: handles copies of intents, however late they are. */
proctype Owner() {
  byte a, v, t, w, tries, granted;
  mtype s;
  do
  :: to_owner?a ->
     granted = 0;
     commit_intent(a, granted);
     if :: granted == 1 -> owner_granted[a] = true :: else -> skip fi;
     forget();
     a = 0
  :: timeout -> break
  od
}

proctype Network() {
  do
  :: late ->
     atomic {
       if
#ifndef NO_FENCE
       :: late_expected != version -> late = false
#endif
       :: late_expected == version ->
          version++; state = late_state; attempt = late_attempt; late = false;
          late_expected = 0; late_state = NONE; late_attempt = 0
#ifdef NO_FENCE
       :: else -> version++; state = late_state; attempt = late_attempt; late = false
#endif
       fi
     }
  :: timeout -> break
  od
}

init {
  atomic { run Daemon(1, LAST_OF_FIRST); run Daemon(LAST_OF_FIRST + 1, ATTEMPTS - 1); run Owner(); run Network() }
}
