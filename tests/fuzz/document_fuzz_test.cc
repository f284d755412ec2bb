#include <rapidcheck.h>

#include <catch2/catch.hpp>

#include "src/document.h"
#include "tests/fixture_document.h"
#include "tests/fuzz/fuzz_seed.h"

namespace crocuslatch {
namespace {

// Replaces up to three short ranges of a valid document by random bytes or by
// fragments of TOML.
std::string AnyCorruptedDocument() {
  auto text = SmallDocument();
  const auto count = *rc::gen::inRange(1, 4);
  for (int i = 0; i < count; ++i) {
    const auto at = *rc::gen::inRange<std::size_t>(0, text.size());
    const auto size = *rc::gen::inRange<std::size_t>(0, 30);
    const auto fragment = *rc::gen::oneOf(
        rc::gen::arbitrary<std::string>(),
        rc::gen::element<std::string>(
            "[[", "]]", "[", "{", "\n", "\"", "0", "-1", "1e400", "inf",
            "1979-05-27", "\n[[rank]]\n", "\n[budget]\n", "name = \"x\"\n",
            "'''", "[[[[[[[[[[[[", "\xff\xfe", std::string(1, '\0')));
    text.replace(at, size, fragment);
  }
  return text;
}

}  // namespace

// Guards against input that crashes the process, throws another exception or is
// rejected without a reason, and against accepted input that does not survive
// formatting.
TEST_CASE("corrupted documents are rejected with reasons or read back equal") {
  CHECK(rc::check([] {
    const auto text = AnyCorruptedDocument();
    try {
      const auto document = ParseDocument(text);
      RC_ASSERT(ParseDocument(FormatDocument(document)) == document);
    } catch (const DocumentError& error) {
      RC_ASSERT(!error.problems().empty());
      for (const auto& it : error.problems()) {
        RC_ASSERT(!it.message.empty());
        RC_ASSERT(!it.remedy.empty());
      }
    }
  }));
}

}  // namespace crocuslatch
