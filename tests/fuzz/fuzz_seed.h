#ifndef TESTS_FUZZ_FUZZ_SEED_H_
#define TESTS_FUZZ_FUZZ_SEED_H_

#include <cstdlib>

// Sets rapidcheck's seed before its first use, so that every run is the same.
// RC_PARAMS in the environment takes precedence.

namespace crocuslatch {

inline const int kFuzzSeedResult =
    setenv("RC_PARAMS", "seed=20261204 max_success=1000 max_size=200", 0);

}  // namespace crocuslatch

#endif  // TESTS_FUZZ_FUZZ_SEED_H_
