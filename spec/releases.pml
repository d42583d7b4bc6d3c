/* Publishing and adopting releases.
 *
 * Action            Implemented by
 * edit              ragwortpaddle/_workspace.py Workspace.apply
 * publish           ragwortpaddle/_workspace.py Workspace.publish
 * watch, fetch      coordination/_releases.py ReleaseFollower._watch, fetch_from
 * adopt             coordination/_releases.py ReleaseFollower.adopt
 *
 * Guards, each taken out by a mutant:
 *   ADOPT_ANY       a daemon moves to whatever release it is shown
 *   UNCONDITIONAL   a publisher writes without the version that it read
 *   OBJECTS_FIRST   a publisher reads the objects before the release
 */

#define PUBLISHERS 2
#define DAEMONS 2
#define MAX_RELEASE 4

byte object_version = 0;                /* the operators' objects; every edit raises it */
byte current = 0;                       /* the number of the published release */
byte content[MAX_RELEASE + 3];          /* the objects' version in each release */
byte in_force[DAEMONS];

proctype Operator() {
  byte edits = 0;
  do
  :: edits < 2 -> atomic { object_version++; edits++ }
  :: break
  od
}

proctype Publisher() {
  byte rounds = 0, read_release, read_objects;
  do
  :: rounds == 2 -> break
  :: rounds < 2 ->
     rounds++;
#ifdef OBJECTS_FIRST
     read_objects = object_version;
     read_release = current;
#else
     read_release = current;
     read_objects = object_version;
#endif
     atomic {
       if
#ifdef UNCONDITIONAL
       :: true ->
#else
       :: current == read_release ->
#endif
          /* An edit that is published stays published. */
          assert(read_objects >= content[current]);
          current = read_release + 1;
          content[current] = read_objects
#ifndef UNCONDITIONAL
       :: else -> skip                  /* told that somebody else published */
#endif
       fi
     }
  od
}

inline adopt(number) {
  atomic {
    if
#ifdef ADOPT_ANY
    :: number != in_force[id] ->
#else
    :: number > in_force[id] ->
#endif
       assert(number > in_force[id]);   /* never back */
       in_force[id] = number
    :: else -> skip
    fi
  }
}

proctype Daemon(byte id) {
  byte steps = 0, seen;
  do
  :: steps == 3 -> break
  :: steps < 3 -> steps++; seen = current; adopt(seen)           /* watch, its reply may be old */
  :: steps < 3 -> steps++; seen = in_force[1 - id]; adopt(seen)  /* fetch from a peer */
  od
}

init {
  atomic {
    run Operator(); run Publisher(); run Publisher(); run Daemon(0); run Daemon(1)
  }
}
