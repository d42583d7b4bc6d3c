/* Publishing and adopting releases: an edit that was published stays published, and a daemon never
 * returns to an older release.
 *
 * Action            Implemented by
 * edit              ragwortpaddle/_operator_client.py OperatorClient.apply
 * publish           ragwortpaddle/_operator_client.py OperatorClient.publish
 * watch, fetch      coordination/_releases.py ReleaseTracker._watch, fetch_from_peer
 * adopt             coordination/_releases.py ReleaseTracker.adopt
 *
 * Mutants, each of which removes one guard:
 *   ADOPT_ANY       a daemon adopts any other release that it receives, also an older one
 *   UNCONDITIONAL   a publisher writes without checking the version that it read
 *   OBJECTS_FIRST   a publisher reads the objects before the release
 */

#define PUBLISHERS 2
#define DAEMONS 2
#define MAX_RELEASE 4

byte objects_version = 0;               /* version of the operators' objects, raised by each edit */
byte published_release = 0;             /* number of the published release */
byte objects_version_by_release[MAX_RELEASE + 3];  /* version of the objects in each release */
byte adopted_release[DAEMONS];

proctype Operator() {
  byte edits = 0;
  do
  :: edits < 2 -> atomic { objects_version++; edits++ }
  :: break
  od
}

proctype Publisher() {
  byte publications_tried = 0, read_release, read_objects_version;
  do
  :: publications_tried == 2 -> break
  :: publications_tried < 2 ->
     publications_tried++;
#ifdef OBJECTS_FIRST
     read_objects_version = objects_version;
     read_release = published_release;
#else
     read_release = published_release;
     read_objects_version = objects_version;
#endif
     atomic {
       if
#ifdef UNCONDITIONAL
       :: true ->
#else
       :: published_release == read_release ->
#endif
          /* A release must not contain older objects than the one that it replaces. */
          assert(read_objects_version >= objects_version_by_release[published_release]);
          published_release = read_release + 1;
          objects_version_by_release[published_release] = read_objects_version
#ifndef UNCONDITIONAL
       :: else -> skip  /* version conflict: another publisher was faster */
#endif
       fi
     }
  od
}

inline adopt_release(candidate) {
  atomic {
    if
#ifdef ADOPT_ANY
    :: candidate != adopted_release[daemon_id] ->
#else
    :: candidate > adopted_release[daemon_id] ->
#endif
       assert(candidate > adopted_release[daemon_id]);  /* never an older release */
       adopted_release[daemon_id] = candidate
    :: else -> skip
    fi
  }
}

proctype Daemon(byte daemon_id) {
  byte steps_taken = 0, observed_release;
  do
  :: steps_taken == 3 -> break
  :: steps_taken < 3 ->  /* watch; its reply may be out of date */
     steps_taken++; observed_release = published_release; adopt_release(observed_release)
  :: steps_taken < 3 ->  /* fetch from a peer */
     steps_taken++; observed_release = adopted_release[1 - daemon_id];
     adopt_release(observed_release)
  od
}

init {
  atomic {
    run Operator(); run Publisher(); run Publisher(); run Daemon(0); run Daemon(1)
  }
}
