#include <fmt/format.h>

#include <optional>

#include "standins/relay.h"

namespace {

using crocuslatch::HttpReply;
using crocuslatch::HttpServer;
using crocuslatch::HttpServerOptions;
using crocuslatch::IncomingRequest;
using crocuslatch::standins::Endpoint;
using crocuslatch::standins::OptionList;
using crocuslatch::standins::OptionValues;
using crocuslatch::standins::ParseEndpoint;
using crocuslatch::standins::ParseJson;
using crocuslatch::standins::Relay;
using crocuslatch::standins::SendJson;

void HandleControl(Relay& relay,
                   const IncomingRequest& request,
                   HttpReply reply) {
  if (request.path == "/control") {
    relay.Control(ParseJson(request.body));
    return SendJson(reply, 200, QJsonDocument(QJsonObject()));
  }
  if (request.path == "/stats") {
    return SendJson(reply, 200, QJsonDocument(relay.Stats()));
  }
  reply.SendResponse(404, {}, "");
}

}  // namespace

int main(int argc, char** argv) {
  namespace po = boost::program_options;
  OptionList options("standin_relay: a TCP relay that injects network faults");
  const auto any_port = po::value<std::string>()->default_value("127.0.0.1:0");
  const auto target_value = po::value<std::string>()->required();
  options.add_options()("listen", any_port, "address and port of the relay")(
      "control", po::value<std::string>()->default_value("127.0.0.1:0"),
      "address and port that serve /control and /stats")(
      "target", target_value, "address and port to forward connections to");
  std::optional<Relay> relay;
  std::optional<HttpServer> control_server;
  return crocuslatch::standins::RunProgram(
      argc, argv, options, [&](const OptionValues& values) {
        const auto endpoint = [&](const char* name) {
          return ParseEndpoint(values[name].as<std::string>());
        };
        relay.emplace(crocuslatch::MakeQtEventLoop(), endpoint("listen"),
                      endpoint("target"));
        const Endpoint control = endpoint("control");
        control_server.emplace(
            HttpServerOptions{.address = control.address, .port = control.port},
            [&relay](const IncomingRequest& request, const HttpReply& reply) {
              HandleControl(*relay, request, reply);
            });
        return fmt::format("listening {} control {}", relay->port(),
                           control_server->port());
      });
}
