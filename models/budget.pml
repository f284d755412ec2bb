/* Prepaid budget of one ledger shard: the store, two holders and a raise of
 * the limit.
 *
 * A holder reads the shard value, applies its exchange and writes the value
 * with compare-and-swap. The answer to a write can be lost after the write took
 * effect, and a write without an answer can take effect later. A holder can
 * crash or pause between any two steps. Each request reserves and bills one
 * token. Both holders may run the same request, as after a caller's retry.
 *
 * Checked: the invariant of every stored value; at most `limit` different
 * requests run; each request is billed at most once.
 * Each macro named MUTATION_... removes one rule. The check must then fail. */

#define HOLDERS 2
#ifndef REQUESTS
#define REQUESTS 2
#endif
#define EXCHANGES 2
#define SENDS 2
#define FIRST_LIMIT 1
#define RAISED_LIMIT 2
#define BITS(set) (((set) & 1) + (((set) >> 1) & 1) + (((set) >> 2) & 1))

typedef Shard {
  byte version;
  byte limit;
  byte billed;
  byte bill_keys;        /* bit set of billed requests */
  byte outstanding[HOLDERS];
  byte sequence[HOLDERS];
  byte granted[HOLDERS]; /* grant of the last exchange, for replies to repeats */
};

Shard store;
bool started = false;
/* Bit set of the requests that ran at least once, and their count. */
byte ran = 0;
byte ran_count = 0;

/* Write in flight of each holder: the value and the expected version. */
Shard write_value[HOLDERS];
byte write_expected[HOLDERS];
bool write_pending[HOLDERS];
/* Write whose holder timed out; it can arrive at any time. */
Shard delayed_value[HOLDERS];
byte delayed_expected[HOLDERS];
bool delayed_pending[HOLDERS];

inline CopyShard(to, from) {
  to.version = from.version;
  to.limit = from.limit;
  to.billed = from.billed;
  to.bill_keys = from.bill_keys;
  to.outstanding[0] = from.outstanding[0];
  to.outstanding[1] = from.outstanding[1];
  to.sequence[0] = from.sequence[0];
  to.sequence[1] = from.sequence[1];
  to.granted[0] = from.granted[0];
  to.granted[1] = from.granted[1];
}

/* Clears values that are not read again, to reduce the number of states. */
inline ClearShard(it) {
  it.version = 0;
  it.limit = 0;
  it.billed = 0;
  it.bill_keys = 0;
  it.outstanding[0] = 0;
  it.outstanding[1] = 0;
  it.sequence[0] = 0;
  it.sequence[1] = 0;
  it.granted[0] = 0;
  it.granted[1] = 0;
}

inline CheckStore() {
  assert(store.billed + store.outstanding[0] + store.outstanding[1] <= store.limit);
  assert(store.billed == BITS(store.bill_keys))
}

inline Commit(expected, stored) {
  if
  :: (expected == store.version
#ifdef MUTATION_NO_COMPARE
      || true
#endif
     ) ->
       expected = store.version + 1;
       CopyShard(store, stored);
       store.version = expected;
       CheckStore()
  :: else -> skip
  fi;
  expected = 0;
  ClearShard(stored)
}

active [HOLDERS] proctype Holder() {
  byte me = _pid;
  byte free = 0;       /* granted and not reserved */
  byte unsettled = 0;  /* bit set of bills not yet settled */
  byte done = 0;       /* bit set of requests run by this holder */
  byte next_sequence = 1;
  byte command_bills = 0;
  byte command_return = 0;
  byte exchanges = 0;
  byte sends = 0;
  bool in_exchange = false;
  byte k = 0;
  byte n = 0;
  bool acked = false;

  started;
  do
  /* Run one request from the local grant. */
  :: atomic {
       free > 0 ->
       select(k : 0 .. (REQUESTS - 1));
       if
       :: (done & (1 << k)) == 0 ->
            free--;
            done = done | (1 << k);
            unsettled = unsettled | (1 << k);
            if
            :: (ran & (1 << k)) == 0 ->
                 ran = ran | (1 << k);
                 ran_count++;
                 assert(ran_count <= RAISED_LIMIT);
                 assert(ran_count <= store.limit)
            :: else -> skip
            fi
       :: else -> skip
       fi;
       k = 0
     }
  /* Begin an exchange, which is resent unchanged until acknowledged. */
  :: atomic {
       !in_exchange && exchanges < EXCHANGES ->
       in_exchange = true;
       exchanges++;
       sends = 0;
       command_bills = unsettled;
       if
       :: free > 0 -> command_return = free; free = 0
       :: command_return = 0
       fi
     }
  /* Read the shard, apply the exchange, and send the write. */
  :: atomic {
       in_exchange && !write_pending[me] && sends < SENDS ->
       sends++;
       write_expected[me] = store.version;
       CopyShard(write_value[me], store);
       if
       :: (write_value[me].sequence[me] < next_sequence
#ifdef MUTATION_NO_SEQUENCE
           || true
#endif
          ) ->
            k = 0;
            do
            :: k < REQUESTS ->
                 if
                 :: (command_bills & (1 << k)) != 0 ->
                      if
                      :: write_value[me].outstanding[me] > 0 -> write_value[me].outstanding[me]--
                      :: else -> skip
                      fi;
                      if
                      :: ((write_value[me].bill_keys & (1 << k)) == 0
#ifdef MUTATION_NO_BILL_KEY
                          || true
#endif
                         ) ->
                           write_value[me].billed++;
                           write_value[me].bill_keys = write_value[me].bill_keys | (1 << k)
                      :: else -> skip
                      fi
                 :: else -> skip
                 fi;
                 k++
            :: else -> break
            od;
            k = 0;
            if
            :: write_value[me].outstanding[me] >= command_return ->
                 write_value[me].outstanding[me] = write_value[me].outstanding[me] - command_return
            :: else -> write_value[me].outstanding[me] = 0
            fi;
            n = write_value[me].billed + write_value[me].outstanding[0] + write_value[me].outstanding[1];
            if
            :: n < write_value[me].limit -> write_value[me].granted[me] = 1
            :: else -> write_value[me].granted[me] = 0
            fi;
            n = 0;
            write_value[me].outstanding[me] = write_value[me].outstanding[me] + write_value[me].granted[me];
            write_value[me].sequence[me] = next_sequence
       :: else -> skip
       fi;
       k = 0;
       write_pending[me] = true
     }
  /* The write and its answer arrive. */
  :: d_step {
       in_exchange && write_pending[me] ->
       acked = (write_expected[me] == store.version);
#ifdef MUTATION_NO_COMPARE
       acked = true;
#endif
       n = write_value[me].granted[me];
       Commit(write_expected[me], write_value[me]);
       write_pending[me] = false;
       if
       :: acked ->
            free = free + n;
            unsettled = unsettled & ~command_bills;
            next_sequence++;
            command_bills = 0;
            command_return = 0;
            sends = 0;
            in_exchange = false;
            /* The ledger and the holder agree on the number of tokens. */
            assert(store.outstanding[me] == free + BITS(unsettled))
       :: else -> skip
       fi;
       acked = false;
       n = 0
     }
  /* The write arrives and its answer is lost: read back and resend. */
  :: d_step {
       in_exchange && write_pending[me] ->
       Commit(write_expected[me], write_value[me]);
       write_pending[me] = false
#ifdef MUTATION_RETURN_ON_TIMEOUT
       ;
       free = free + command_return;
       command_return = 0
#endif
     }
  /* The holder times out, and the write arrives after a later read. */
  :: d_step {
       in_exchange && write_pending[me] && !delayed_pending[me] ->
       CopyShard(delayed_value[me], write_value[me]);
       delayed_expected[me] = write_expected[me];
       delayed_pending[me] = true;
       write_expected[me] = 0;
       ClearShard(write_value[me]);
       write_pending[me] = false
     }
  /* Crash, or a pause that never ends. */
  :: break
  od
#ifdef MUTATION_FREE_ON_DEATH
  ;
  skip;
  d_step {
    store.outstanding[me] = 0;
    store.version = store.version + 1
  }
#endif
}

/* Delivers delayed writes of holders that crashed or timed out. */
active proctype Network() {
  do
  :: d_step { delayed_pending[0] -> Commit(delayed_expected[0], delayed_value[0]); delayed_pending[0] = false }
  :: d_step { delayed_pending[1] -> Commit(delayed_expected[1], delayed_value[1]); delayed_pending[1] = false }
  :: break
  od
}

/* A router that reads the new document raises the limit in one compare-and-swap. */
active proctype RaiseLimit() {
  d_step {
    store.limit = FIRST_LIMIT;
    started = true
  }
  d_step {
    store.limit = RAISED_LIMIT;
    store.version = store.version + 1;
    CheckStore()
  }
}
