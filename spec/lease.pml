/* The lease that lets one daemon send a pool's placement orders. Two daemons compete for it; their
 * clocks run at the same rate and are never compared.
 *
 * Action            Implemented by
 * read              coordination/_lease.py Lease._acquire_or_renew
 * renew, acquire    coordination/_lease.py Lease._write_held, Lease._acquire
 * renew unread      coordination/_lease.py Lease._acquire_or_renew, by the version last written
 * validity check    coordination/_lease.py Lease.remaining_seconds
 *
 * Time may pass between any two steps of a daemon, and the reply to a write may be lost.
 * Bounds: a lease of 2 ticks, 5 ticks of time, 4 writes.
 *
 * Mutants, each of which removes one guard:
 *   SEEN_BEFORE_READ  a lease counts as unchanged since before the read that first returned it
 *   COUNT_FROM_REPLY  the holder measures its lease from the reply to its write, not from sending
 *   TAKE_EARLY        a successor does not wait for the whole duration of the lease
 *   SAME_FENCING      a successor reuses the fencing token of the previous holder
 *   RENEW_ANYWAY      a renewal without a read does not check the version
 */

#define LEASE_DURATION 2
#define MAX_TIME 5
#define LAST_VERSION 5

byte now = 0;

/* The lease object in the platform's store. */
byte version = 1;
byte holder = 2;                        /* 2: no holder */
byte fencing = 1;

byte valid_until[2];
byte own_fencing[2];

inline assert_exclusive(daemon_id) {
  assert(!(valid_until[daemon_id] > now && valid_until[1 - daemon_id] > now));
  assert(own_fencing[daemon_id] != own_fencing[1 - daemon_id] || own_fencing[daemon_id] == 0)
}

inline apply_reply(daemon_id, new_fencing) {
  atomic {
#ifdef COUNT_FROM_REPLY
    valid_until[daemon_id] = now + LEASE_DURATION;
#else
    valid_until[daemon_id] = sent_at + LEASE_DURATION;
#endif
    own_fencing[daemon_id] = new_fencing;
    assert_exclusive(daemon_id)
  }
}

proctype Daemon(byte daemon_id) {
  byte sent_at, seen_version = 0, seen_at, read_version, read_holder, read_fencing;
  byte known_version = 0;               /* version of the daemon's last write; 0 if unknown */
  bool written;
  do
  :: now >= MAX_TIME || version == LAST_VERSION -> break
  :: now < MAX_TIME && version < LAST_VERSION && known_version != 0 &&
     valid_until[daemon_id] > now ->
     sent_at = now;
     atomic {
#ifdef RENEW_ANYWAY
       written = true;
#else
       written = (version == known_version);
#endif
       if :: written -> version++; holder = daemon_id; read_version = version :: else -> skip fi
     };
     known_version = 0;
     if
     :: written -> apply_reply(daemon_id, own_fencing[daemon_id]); known_version = read_version
     :: true -> skip  /* version conflict, or reply lost */
     fi;
     d_step { read_version = 0; written = false; sent_at = 0 }
  :: now < MAX_TIME && version < LAST_VERSION ->
     known_version = 0;
     sent_at = now;
     atomic { read_version = version; read_holder = holder; read_fencing = fencing };
     atomic {
       if
       :: read_version != seen_version ->
          seen_version = read_version;
#ifdef SEEN_BEFORE_READ
          seen_at = sent_at
#else
          seen_at = now
#endif
       :: else -> skip
       fi
     };
     if
     :: read_holder == daemon_id && read_fencing == own_fencing[daemon_id] &&
        valid_until[daemon_id] > now ->
        atomic {
          written = (version == read_version);
          if :: written -> version++; read_version = version :: else -> skip fi
        };
        if
        :: written -> apply_reply(daemon_id, read_fencing); known_version = read_version
        :: true -> skip  /* version conflict, or reply lost */
        fi
     :: else ->
        if
#ifdef TAKE_EARLY
        :: true ->
#else
        :: read_holder != 2 && sent_at - seen_at < LEASE_DURATION -> skip
        :: read_holder == 2 || sent_at - seen_at >= LEASE_DURATION ->
#endif
           valid_until[daemon_id] = 0;
           atomic {
             written = (version == read_version);
             if
             :: written ->
                version++; holder = daemon_id; read_version = version;
#ifndef SAME_FENCING
                fencing++
#endif
             :: else -> skip
             fi
           };
           if
#ifdef SAME_FENCING
           :: written -> apply_reply(daemon_id, read_fencing); known_version = read_version
#else
           :: written -> apply_reply(daemon_id, read_fencing + 1); known_version = read_version
#endif
           :: true -> skip
           fi
        fi
     fi;
     d_step { read_version = 0; read_holder = 0; read_fencing = 0; written = false; sent_at = 0 }
  od
}

proctype Clock() {
  do
  :: now < MAX_TIME -> now++
  :: now == MAX_TIME -> break
  od
}

init {
  atomic { run Daemon(0); run Daemon(1); run Clock() }
}
