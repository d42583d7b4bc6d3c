/* The lease of a pool's orders: two daemons, clocks that run alike but are never compared.
 *
 * Action            Implemented by
 * read              coordination/_lease.py Lease._keep
 * renew, take       coordination/_lease.py Lease._hold, Lease._take
 * renew unread      coordination/_lease.py Lease._keep, by the version that the own write left
 * valid             coordination/_lease.py Lease.remaining
 *
 * A daemon may pause between any two steps while time goes on, and a write's reply may be lost.
 * Bounds: a lease of 2 ticks, 5 ticks of time, 4 versions.
 *
 * Guards, each taken out by a mutant:
 *   SEEN_BEFORE_READ  an unchanged lease counts from before the read that first showed it
 *   COUNT_FROM_REPLY  the holder counts its lease from the reply of the write
 *   TAKE_EARLY        a successor does not wait for the whole duration
 *   SAME_FENCING      a successor keeps the fencing number of its predecessor
 *   RENEW_ANYWAY      a renewal without a read does not look at the version
 */

#define DURATION 2
#define END 5
#define LAST_VERSION 5

byte now = 0;

/* The platform's object. */
byte version = 1;
byte holder = 2;                        /* 2 is nobody */
byte fencing = 1;

byte valid_until[2];
byte own_fencing[2];

inline check_alone(me) {
  assert(!(valid_until[me] > now && valid_until[1 - me] > now));
  assert(own_fencing[me] != own_fencing[1 - me] || own_fencing[me] == 0)
}

inline take_reply(me, number) {
  atomic {
#ifdef COUNT_FROM_REPLY
    valid_until[me] = now + DURATION;
#else
    valid_until[me] = sent + DURATION;
#endif
    own_fencing[me] = number;
    check_alone(me)
  }
}

proctype Daemon(byte me) {
  byte sent, seen_version = 0, seen_at, v, h, f;
  byte left = 0;                        /* the version that the own last write left, if known */
  bool won;
  do
  :: now >= END || version == LAST_VERSION -> break
  :: now < END && version < LAST_VERSION && left != 0 && valid_until[me] > now ->
     sent = now;
     atomic {
#ifdef RENEW_ANYWAY
       won = true;
#else
       won = (version == left);
#endif
       if :: won -> version++; holder = me; v = version :: else -> skip fi
     };
     left = 0;
     if
     :: won -> take_reply(me, own_fencing[me]); left = v
     :: true -> skip                   /* refused, or the reply is lost */
     fi;
     d_step { v = 0; won = false; sent = 0 }
  :: now < END && version < LAST_VERSION ->
     left = 0;
     sent = now;
     atomic { v = version; h = holder; f = fencing };
     atomic {
       if
       :: v != seen_version ->
          seen_version = v;
#ifdef SEEN_BEFORE_READ
          seen_at = sent
#else
          seen_at = now
#endif
       :: else -> skip
       fi
     };
     if
     :: h == me && f == own_fencing[me] && valid_until[me] > now ->
        atomic { won = (version == v); if :: won -> version++; v = version :: else -> skip fi };
        if
        :: won -> take_reply(me, f); left = v
        :: true -> skip                /* refused, or the reply is lost */
        fi
     :: else ->
        if
#ifdef TAKE_EARLY
        :: true ->
#else
        :: h != 2 && sent - seen_at < DURATION -> skip
        :: h == 2 || sent - seen_at >= DURATION ->
#endif
           valid_until[me] = 0;
           atomic {
             won = (version == v);
             if
             :: won ->
                version++; holder = me; v = version;
#ifndef SAME_FENCING
                fencing++
#endif
             :: else -> skip
             fi
           };
           if
#ifdef SAME_FENCING
           :: won -> take_reply(me, f); left = v
#else
           :: won -> take_reply(me, f + 1); left = v
#endif
           :: true -> skip
           fi
        fi
     fi;
     d_step { v = 0; h = 0; f = 0; won = false; sent = 0 }
  od
}

proctype Clock() {
  do
  :: now < END -> now++
  :: now == END -> break
  od
}

init {
  atomic { run Daemon(0); run Daemon(1); run Clock() }
}
