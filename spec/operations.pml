/* Operations that run at most once: one idempotency key, its stored record and all its writers.
 *
 * Action                       Implemented by
 * read, evaluate               state/_operations.py evaluate_intent, apply_intent
 * conditional_write            protocol/_platform.py PlatformClient.put
 * commit_intent                coordination/_shard_writer.py ShardWriter._write, _put
 * forward, PreferredWriter     coordination/_ledger.py _PreferredWriterChannel, Ledger.commit_for_peer
 * dispatch                     coordination/_services.py ServiceProxy._execute
 * record_outcome               state/_operations.py apply_completion, Ledger.record_completion
 *
 * A daemon may pause between any two steps (interleaving) and crash at any step. A write may be
 * applied although its reply is lost, or take effect late. The caller retries at either daemon.
 * Bounds: two daemons and a preferred writer, three attempts, two writes per commit, one late
 * write per run.
 *
 * Mutants, each of which removes one guard:
 *   NO_FENCE        a write ignores the expected version
 *   ASSUME_WRITTEN  a write counts as successful if its reply is lost, without reading back
 *   RERUN_IN_DOUBT  an attempt is granted although another attempt has recorded its intent
 *   GRANT_STALE     a delayed intent is granted after its attempt was recorded as not run
 *   RETRY_LOST      an operation is sent again after its response was lost
 *   NOT_RUN_EARLY   an attempt is recorded as not run after its response was lost
 */

#ifndef LAST_OF_FIRST
#define LAST_OF_FIRST 1
#endif
#define ATTEMPTS (LAST_OF_FIRST + 2)    /* the last attempt belongs to the second daemon */
#define MAX_WRITES 2                    /* writes per commit before it fails */
#define MAX_LATE_WRITES 1               /* writes per run that may take effect late */

mtype = { NONE, INTENT, DONE, NOT_RUN };

/* The operation's record in the platform's store. */
byte version = 1;
mtype state = NONE;
byte attempt = 0;

/* One delayed write, which may take effect at any time. */
bool write_pending = false;
byte late_writes_left = MAX_LATE_WRITES;
byte pending_expected_version;
mtype pending_state;
byte pending_attempt;

byte executions = 0;
bool executed[ATTEMPTS];
bool reported_not_run[ATTEMPTS];
chan forwarded_intents = [1] of { byte };
bool granted_by_writer[ATTEMPTS];

inline conditional_write(expected_version, new_state, new_attempt, result) {
  /* result: 0 conflict, 1 written, 2 reply lost, 3 refused */
  atomic {
    /* An attempt recorded as not run must not return to the state of an open intent. */
    assert(version != expected_version || state != NOT_RUN || new_state != INTENT ||
           new_attempt != attempt);
    if
    :: result = 3
#ifdef NO_FENCE
    :: version++; state = new_state; attempt = new_attempt; result = 1
#else
    :: version != expected_version -> result = 0
    :: version == expected_version ->
       version++; state = new_state; attempt = new_attempt;
       if :: result = 1 :: result = 2 fi
#endif
    :: !write_pending && late_writes_left > 0 ->
       write_pending = true; late_writes_left--; pending_expected_version = expected_version;
       pending_state = new_state; pending_attempt = new_attempt; result = 2
    fi
  }
}

inline read_record(version_out, state_out, attempt_out) {
  atomic { version_out = version; state_out = state; attempt_out = attempt }
}

/* decision: 0 refused as not run, 1 granted, 2 in doubt or finished, 3 not yet known */
inline commit_intent(own_attempt, decision) {
  decision = 3; writes_tried = 0;
  do
  :: atomic { decision != 3 -> break }
  :: atomic { decision == 3 && writes_tried == MAX_WRITES -> decision = 0 }
  :: atomic { decision == 3 && writes_tried < MAX_WRITES -> decision = 0 }  /* store unreadable */
  :: atomic {
       decision == 3 && writes_tried < MAX_WRITES ->
       writes_tried++;
       read_record(read_version, read_state, read_attempt);
       if
       :: read_state == DONE -> decision = 2
       :: read_state == INTENT && read_attempt == own_attempt -> decision = 1
#ifndef RERUN_IN_DOUBT
       :: read_state == INTENT && read_attempt != own_attempt -> decision = 2
#endif
#ifndef GRANT_STALE
       :: read_state == NOT_RUN && read_attempt == own_attempt -> decision = 2
#endif
       :: else -> skip
       fi
     };
     if
     :: atomic {
          decision == 3 ->
          conditional_write(read_version, INTENT, own_attempt, write_result);
          if
          :: write_result == 1 -> decision = 1
          :: write_result == 3 -> decision = 0
#ifdef ASSUME_WRITTEN
          :: write_result == 2 -> decision = 1
#endif
          :: else -> skip  /* version conflict or lost reply: read back */
          fi;
          read_version = 0; read_attempt = 0; write_result = 0; read_state = NONE
        }
     :: atomic { decision != 3 -> read_version = 0; read_attempt = 0; read_state = NONE }
     fi
  od;
  writes_tried = 0
}

/* Records the outcome of an attempt; retries until it is recorded or the daemon crashes. */
inline record_outcome(own_attempt, outcome) {
  write_result = 4;
  do
  :: atomic { write_result == 1 -> break }
  :: atomic { write_result != 1 -> break }  /* the daemon crashes */
  :: atomic { write_result != 1 -> read_record(read_version, read_state, read_attempt) };
     atomic {
       if
       :: (read_attempt != 0 && read_attempt != own_attempt) ||
          (read_attempt == own_attempt && read_state != INTENT) -> write_result = 1
       :: else -> conditional_write(read_version, outcome, own_attempt, write_result)
       fi;
       read_version = 0; read_attempt = 0; read_state = NONE
     }
  od;
  write_result = 0
}

inline execute(own_attempt) {
  atomic {
    executions++; executed[own_attempt] = true;
    assert(executions <= 1);  /* an operation runs at most once */
    assert(!reported_not_run[own_attempt])  /* an attempt reported as not run has not run */
  }
}

inline report_not_run(own_attempt) {
  atomic { reported_not_run[own_attempt] = true; assert(!executed[own_attempt]) }
}

inline dispatch(own_attempt) {
  if
  :: /* the connection is refused: nothing was sent */
     record_outcome(own_attempt, NOT_RUN); report_not_run(own_attempt)
  :: /* executed, response received */
     execute(own_attempt);
     record_outcome(own_attempt, DONE)
  :: /* executed, response lost */
     execute(own_attempt);
#ifdef RETRY_LOST
     execute(own_attempt);
#endif
#ifdef NOT_RUN_EARLY
     record_outcome(own_attempt, NOT_RUN)
#endif
  :: /* not executed, no response */
     skip
  :: /* the daemon crashes between intent and dispatch */
     crashed = true
  fi
}

inline reset_locals() {
  /* Values that no later step reads would only increase the number of states. */
  d_step {
    read_version = 0; read_attempt = 0; write_result = 0; writes_tried = 0; decision = 0;
    read_state = NONE
  }
}

proctype Daemon(byte first_attempt; byte last_attempt) {
  byte own_attempt = first_attempt, read_version, read_attempt, write_result, writes_tried,
       decision;
  mtype read_state;
  bool crashed = false;
  do
  :: own_attempt > last_attempt || crashed -> break
  :: own_attempt <= last_attempt && !crashed ->
     if
     :: nfull(forwarded_intents) ->
        /* Forward, then use the reply, or commit directly after a timeout. */
        forwarded_intents!own_attempt;
        if
        :: granted_by_writer[own_attempt] -> decision = 1
        :: commit_intent(own_attempt, decision)
        fi
     :: commit_intent(own_attempt, decision)
     fi;
     if
     :: decision == 1 -> dispatch(own_attempt)
     :: decision == 0 -> report_not_run(own_attempt); record_outcome(own_attempt, NOT_RUN)
     :: else -> skip  /* answered from the record, or outcome unknown */
     fi;
     reset_locals();
     own_attempt++
  od
}

/* The shard's preferred writer: handles forwarded intents, however late they arrive. */
proctype PreferredWriter() {
  byte own_attempt, read_version, read_attempt, write_result, writes_tried, decision;
  mtype read_state;
  do
  :: forwarded_intents?own_attempt ->
     decision = 0;
     commit_intent(own_attempt, decision);
     if :: decision == 1 -> granted_by_writer[own_attempt] = true :: else -> skip fi;
     reset_locals();
     own_attempt = 0
  :: timeout -> break
  od
}

proctype Network() {
  do
  :: write_pending ->
     atomic {
       if
#ifndef NO_FENCE
       :: pending_expected_version != version -> write_pending = false
#endif
       :: pending_expected_version == version ->
          version++; state = pending_state; attempt = pending_attempt; write_pending = false;
          pending_expected_version = 0; pending_state = NONE; pending_attempt = 0
#ifdef NO_FENCE
       :: else ->
          version++; state = pending_state; attempt = pending_attempt; write_pending = false
#endif
       fi
     }
  :: timeout -> break
  od
}

init {
  atomic {
    run Daemon(1, LAST_OF_FIRST); run Daemon(LAST_OF_FIRST + 1, ATTEMPTS - 1);
    run PreferredWriter(); run Network()
  }
}
