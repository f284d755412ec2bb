#include <algorithm>
#include <optional>

#include "standins/engine_server.h"

namespace {

using crocuslatch::standins::EngineConfig;
using crocuslatch::standins::EngineFields;
using crocuslatch::standins::EngineServer;
using crocuslatch::standins::OptionList;
using crocuslatch::standins::OptionValues;

std::string OptionName(std::string name) {
  std::ranges::replace(name, '_', '-');
  return name;
}

OptionList MakeOptions(EngineConfig& config) {
  OptionList options("standin_engine: a model engine");
  for (const auto& it : EngineFields()) {
    auto& field = config.*it.field;
    options.add_options()(
        OptionName(it.name).c_str(),
        boost::program_options::value(&field)->default_value(field), it.help);
  }
  return options;
}

}  // namespace

int main(int argc, char** argv) {
  EngineConfig config;
  std::optional<EngineServer> engine;
  return crocuslatch::standins::RunHttpProgram(
      argc, argv, MakeOptions(config), [&](const OptionValues&) {
        engine.emplace(crocuslatch::MakeQtEventLoop(), config);
        return [&engine](const crocuslatch::IncomingRequest& request,
                         const crocuslatch::HttpReply& reply) {
          engine->Handle(request, reply);
        };
      });
}
