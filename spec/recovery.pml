/* Operation records after the store is restored from a copy: one idempotency key, one shard.
 *
 * Action                       Implemented by
 * load, send, apply            coordination/_shard_writer.py ShardWriter._load, _write, _put
 * complete                     coordination/_ledger_recovery.py LedgerRecovery.complete_era
 * learn, recover               coordination/_ledger_recovery.py LedgerRecovery.run
 * grant                        coordination/_ledger.py Ledger.record_intent, commit_for_peer
 * copy                         coordination/_ledger.py Ledger._copy_to_peer
 * start                        coordination/_fleet_view.py FleetView._join
 *
 * The store loses the key's record and gives its revisions out again. Any daemon writes the shard,
 * for itself or for another one, for this key or for others. Daemons learn of the restore from a
 * reply or from each other, and pause between any two steps.
 * Bounds: three daemons, one restore, one daemon that ends and may start again, one attempt and one
 * other write a daemon.
 *
 * Mutants, each of which removes one guard:
 *   NO_BARRIER       an intent is granted while other daemons have not recovered
 *   OLD_ERA_GRANT    a grant counts although the write's reply shows another era
 *   CALLER_UNAWARE   a caller runs an attempt that was granted before it learned of the restore
 *   ONE_COPY         the writer of its own record lets no other daemon keep it
 *   NOT_JOINED       a daemon that has started does not ask the others
 *   WRITE_EARLY      lost records are written before every daemon knows of the restore
 *   LEARN_IN_FLIGHT  a daemon says that it knows of the restore while a write is in flight
 */

#define DAEMONS 3

byte store_era = 0, store_revision = 1;
bool store_record = false;
bool may_restore = true, may_end = true;

bool alive[DAEMONS];
byte known_era[DAEMONS], recovered_era[DAEMONS];
bool keeps[DAEMONS];
byte executions = 0;

#define other_is(o, d, condition) ((o) == (d) || !alive[o] || (condition))
#define all_others(d, array, era) \
  (other_is(0, d, array[0] >= era) && other_is(1, d, array[1] >= era) && \
   other_is(2, d, array[2] >= era))

#ifdef NO_BARRIER
#define complete(d) (recovered_era[d] == known_era[d])
#else
#define complete(d) \
  (recovered_era[d] == known_era[d] && \
   (all_others(d, recovered_era, known_era[d]) || !joined))
#endif

#ifdef WRITE_EARLY
#define may_write_again(d) true
#else
#define may_write_again(d) all_others(d, known_era, 1)
#endif

#ifdef CALLER_UNAWARE
#define caller_unchanged true
#else
#define caller_unchanged (known_era[caller] == caller_era)
#endif

/* Reads the shard; what was known from before a restore is kept for the next write. */
inline load(d) {
  if :: cached_era != store_era -> lost = lost || cached_record :: else fi;
  cached_era = store_era; cached_revision = store_revision; cached_record = store_record;
  if :: known_era[d] < store_era -> known_era[d] = store_era :: else fi
}

/* Applies the write that is in flight: written is set if its reply confirms it in one era. */
inline apply(d, record) {
  written = false;
  if
  :: store_revision == cached_revision ->
     store_revision++; store_record = record || cached_record || lost;
     if
     :: store_era == cached_era ->
        cached_revision = store_revision; cached_record = store_record; lost = false;
        written = true
     :: else ->
#ifdef OLD_ERA_GRANT
        written = true;
#endif
        load(d)
     fi
  :: else -> load(d)
  fi
}

inline reset(d) {
  cached_era = store_era; cached_revision = store_revision; cached_record = store_record;
  lost = false; known_era[d] = store_era; recovered_era[d] = store_era; keeps[d] = false
}

proctype Daemon(byte d) {
  byte cached_era = 0, cached_revision = 1, caller, caller_era;
  bool cached_record = false, lost = false, written = false, joined = true;
  bool may_grant = true, may_write = true;
  do
  :: atomic { alive[d] && cached_era != store_era -> load(d) }  /* any call shows the era */

  :: atomic {  /* learn of the restore from another daemon */
       alive[d] && known_era[d] == 0 && (known_era[0] + known_era[1] + known_era[2] > 0) ->
       known_era[d] = 1
     }

  :: atomic {  /* recover */
       alive[d] && known_era[d] == 1 && recovered_era[d] == 0 &&
       may_write_again(d) -> load(d)
     };
     atomic {
       if
       :: !alive[d] || recovered_era[d] == 1 -> skip
       :: (keeps[d] || lost) && !cached_record && alive[d] && recovered_era[d] == 0 ->
          apply(d, keeps[d] || lost);
          if :: written -> recovered_era[d] = 1 :: else fi
       :: !((keeps[d] || lost) && !cached_record) && alive[d] && recovered_era[d] == 0 ->
          recovered_era[d] = 1
       fi;
       written = false
     }

  :: atomic {  /* write another key of the shard: sent, and applied in a later step */
       alive[d] && may_write && cached_era == known_era[d] -> may_write = false
     };
#ifdef LEARN_IN_FLIGHT
     if
     :: atomic {
          known_era[d] == 0 && (known_era[0] + known_era[1] + known_era[2] > 0) -> known_era[d] = 1
        }
     :: skip
     fi;
#endif
     atomic { if :: alive[d] -> apply(d, false) :: else fi; written = false }

  :: atomic {  /* grant an intent to this daemon or to another one */
       alive[d] && may_grant && !cached_record && !lost && cached_era == known_era[d] &&
       complete(d) ->
       may_grant = false;
       if :: caller = 0 :: caller = 1 :: caller = 2 fi;
       caller_era = known_era[caller]
     };
     atomic { if :: alive[d] -> apply(d, true) :: else -> written = false fi };
     /* The reply to the caller takes time. */
     atomic {
       if
       :: written && alive[caller] && caller_unchanged ->
          keeps[caller] = true;
          if :: alive[d] -> keeps[d] = true :: else fi
       :: else -> written = false
       fi
     };
     if
     :: atomic {
          written && caller == d && alive[d] ->
#ifndef ONE_COPY
          if
          :: d != 0 && alive[0] -> keeps[0] = true
          :: d != 1 && alive[1] -> keeps[1] = true
          :: d != 2 && alive[2] -> keeps[2] = true
          fi
#endif
        }
     :: else
     fi;
     atomic {
       if
       :: written && alive[caller] -> executions++; assert(executions <= 1)
       :: else
       fi;
       written = false; caller = 0; caller_era = 0
     }

  :: atomic {  /* start again */
       !alive[d] && store_era == 1 -> alive[d] = true; reset(d);
#ifdef NOT_JOINED
       joined = false
#endif
     }
  :: timeout -> break
  od
}

proctype Faults() {
  do
  :: atomic {
       may_restore ->
       may_restore = false; store_era = 1; store_revision = 1; store_record = false
     }
  :: atomic {
       may_end -> may_end = false;
       if
       :: alive[0] = false; keeps[0] = false
       :: alive[1] = false; keeps[1] = false
       :: alive[2] = false; keeps[2] = false
       fi
     }
  :: timeout -> break
  od
}

init {
  atomic {
    alive[0] = true; alive[1] = true; alive[2] = true;
    run Daemon(0); run Daemon(1); run Daemon(2); run Faults()
  }
}
