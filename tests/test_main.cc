#define CATCH_CONFIG_RUNNER
#include <catch2/catch.hpp>

#include "src/guarded_application.h"

int main(int argc, char** argv) {
  crocuslatch::GuardedApplication app(argc, argv);
  return Catch::Session().run(argc, argv);
}
