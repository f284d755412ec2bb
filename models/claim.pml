/* Non-idempotent order: it is claimed in the ledger before its only dispatch.
 *
 * Two holders receive the same order, as after a caller's retry, and each makes
 * up to two attempts. Claim, finish, abandon and doubt are writes of one shard
 * value with compare-and-swap. An answer can be lost, and a write without an
 * answer can take effect later. A holder can crash between any two steps. A
 * dispatch can run the order and lose the response, or be lost before the order
 * runs.
 *
 * Checked: the order runs at most once; an attempt that was refused as
 * "not run" has not run and never will; a stored response implies a run.
 * Each macro named MUTATION_... removes one rule. The check must then fail. */

#define HOLDERS 2
#ifndef ATTEMPTS
#define ATTEMPTS 2
#endif
#define RESENDS 1

mtype = { ABSENT, CLAIMED, FINISHED, ABANDONED, IN_DOUBT };

mtype store_state = ABSENT;
byte store_attempt = 0;   /* 0: none */
byte store_version = 0;

byte runs = 0;
/* Attempts that ran, and attempts refused as "not run". */
bool ran[5];
bool refused[5];
bool dead[HOLDERS];

/* Write whose sender timed out; it can arrive at any time. */
bool delayed_pending[HOLDERS];
mtype delayed_state[HOLDERS];
byte delayed_attempt[HOLDERS];
byte delayed_version[HOLDERS];

/* Applies a write if the stored version is still the expected one. */
inline Commit(expected, to_state, to_attempt, success) {
  if
  :: (expected == store_version
#ifdef MUTATION_NO_COMPARE
      || true
#endif
     ) ->
       store_state = to_state;
       store_attempt = to_attempt;
       store_version++;
       success = true
  :: else -> success = false
  fi
}

/* The order reaches the backend server and runs. */
inline Run(a) {
  runs++;
  ran[a] = true;
  assert(runs <= 1);
  assert(!refused[a])
}

inline RefuseNotRun(a) {
  refused[a] = true;
  assert(!ran[a])
}

/* Sends a write; `result` is 0: rejected, 1: durable, 2: unknown. */
inline Write(expected, to_state, to_attempt, result) {
  if
  :: true -> Commit(expected, to_state, to_attempt, committed);
     if
     :: committed -> result = 1
     :: else -> result = 0
     fi
  :: true -> Commit(expected, to_state, to_attempt, committed);
     result = 2
  :: !delayed_pending[me] ->
     delayed_pending[me] = true;
     delayed_state[me] = to_state;
     delayed_attempt[me] = to_attempt;
     delayed_version[me] = expected;
     result = 2
  fi;
  committed = false
}

proctype Holder(byte me) {
  byte tries = 0;
  byte attempt = 0;
  byte version = 0;
  mtype state = ABSENT;
  byte holding_attempt = 0;
  byte result = 0;
  bool committed = false;
  byte resends = 0;

next_try:
  skip;
  /* Clears values that are not read again, to reduce the number of states. */
  d_step { version = 0; state = ABSENT; holding_attempt = 0; result = 0; resends = 0; attempt = 0 };
  if
  :: tries == ATTEMPTS -> goto done
  :: else -> skip
  fi;
  tries++;
  attempt = me * ATTEMPTS + tries;
#ifdef MUTATION_DISPATCH_BEFORE_CLAIM
  atomic { Run(attempt) }
#endif

claim:
  atomic {
    version = store_version;
    state = store_state;
    holding_attempt = store_attempt
  }
  if
  :: state == FINISHED -> goto next_try      /* reply with the stored response */
  :: state == IN_DOUBT -> goto next_try      /* reply outcome_unknown */
  :: state == CLAIMED && holding_attempt == attempt -> goto dispatch  /* read back */
  :: state == ABANDONED && holding_attempt == attempt -> goto next_try
  :: state == CLAIMED && holding_attempt != attempt ->
#ifdef MUTATION_TAKE_OVER_FROM_DEAD
     if
     :: dead[(holding_attempt - 1) / ATTEMPTS] -> goto write_claim
     :: else -> goto next_try
     fi
#else
     goto next_try                           /* reply in_progress or unknown */
#endif
  :: state == ABSENT || (state == ABANDONED && holding_attempt != attempt) -> goto write_claim
  fi;

write_claim:
  atomic { Write(version, CLAIMED, attempt, result) }
  if
  :: result == 1 -> goto dispatch
  :: result == 0 -> goto claim
  :: result == 2 ->
     if
     :: goto claim       /* read back */
     :: goto abort     /* the store stays unreachable until the deadline */
     fi
  fi;

dispatch:
  if
  :: goto die
  :: skip
  fi;
  if
  :: atomic { Run(attempt) }; result = FINISHED
  :: atomic { Run(attempt) }; result = IN_DOUBT  /* the response is lost */
  :: result = IN_DOUBT                          /* lost before the order ran */
  :: atomic { RefuseNotRun(attempt) }; result = ABANDONED  /* connection refused */
  fi;
#ifdef MUTATION_ABANDON_WITHOUT_ANSWER
  if
  :: result == IN_DOUBT -> atomic { RefuseNotRun(attempt) }; result = ABANDONED
  :: else -> skip
  fi;
#endif
  state = result;
  resends = 0;
record:
  if
  :: goto die
  :: resends == RESENDS -> goto next_try
  :: resends < RESENDS -> resends++
  fi;
  atomic {
    version = store_version;
    holding_attempt = store_attempt
  }
  if
  :: holding_attempt != attempt -> goto next_try
  :: else -> skip
  fi;
  atomic { Write(version, state, attempt, result) }
  if
  :: result == 1 -> goto next_try
  :: else -> goto record
  fi;

abort:
  atomic { RefuseNotRun(attempt) };
#ifdef MUTATION_DISPATCH_AFTER_REFUSAL
  goto claim;
#endif
  resends = 0;
abandon:
  if
  :: goto die
  :: resends == RESENDS -> goto next_try
  :: resends < RESENDS -> resends++
  fi;
  atomic {
    version = store_version;
    state = store_state;
    holding_attempt = store_attempt
  }
  if
  :: state == CLAIMED && holding_attempt == attempt -> skip
  :: state == ABSENT -> skip
  :: else -> goto next_try   /* another attempt's record decides: this attempt cannot claim */
  fi;
  atomic { Write(version, ABANDONED, attempt, result) }
  if
  :: result == 1 -> goto next_try
  :: else -> goto abandon
  fi;

die:
  skip;
  d_step { dead[me] = true; version = 0; state = ABSENT; holding_attempt = 0; result = 0; resends = 0; attempt = 0 };
done:
  skip
}

proctype Network() {
  bool committed = false;
  do
  :: atomic { delayed_pending[0] ->
       Commit(delayed_version[0], delayed_state[0], delayed_attempt[0], committed);
       delayed_pending[0] = false; delayed_state[0] = ABSENT; delayed_attempt[0] = 0; delayed_version[0] = 0; committed = false }
  :: atomic { delayed_pending[1] ->
       Commit(delayed_version[1], delayed_state[1], delayed_attempt[1], committed);
       delayed_pending[1] = false; delayed_state[1] = ABSENT; delayed_attempt[1] = 0; delayed_version[1] = 0; committed = false }
  :: break
  od
}

/* A stored response implies that the order ran. */
proctype Monitor() {
end_no_answer:
  atomic { store_state == FINISHED -> assert(runs == 1) }
}

init {
  atomic {
    run Holder(0);
    run Holder(1);
    run Network();
    run Monitor()
  }
}
