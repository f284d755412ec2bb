#include <optional>

#include "standins/store_server.h"

int main(int argc, char** argv) {
  using crocuslatch::standins::OptionValues;
  namespace po = boost::program_options;
  crocuslatch::standins::OptionList options(
      "standin_store: the platform's key-value store, in memory");
  options.add_options()("reads-per-second",
                        po::value<qint64>()->default_value(0),
                        "0 is unlimited")("writes-per-second",
                                          po::value<qint64>()->default_value(0),
                                          "0 is unlimited");
  std::optional<crocuslatch::standins::StoreServer> store;
  return crocuslatch::standins::RunHttpProgram(
      argc, argv, options, [&](const OptionValues& values) {
        store.emplace(crocuslatch::MakeQtEventLoop());
        store->Control(
            {{"reads_per_second", values["reads-per-second"].as<qint64>()},
             {"writes_per_second", values["writes-per-second"].as<qint64>()}});
        return [&store](const crocuslatch::IncomingRequest& request,
                        const crocuslatch::HttpReply& reply) {
          store->Handle(request, reply);
        };
      });
}
