#ifndef STANDINS_STANDIN_PROGRAM_H_
#define STANDINS_STANDIN_PROGRAM_H_

#include <QJsonDocument>
#include <QJsonObject>
#include <boost/program_options.hpp>
#include <cstdint>
#include <functional>
#include <list>
#include <string>
#include <string_view>

#include "io/http_server.h"
#include "src/event_loop.h"

// Defines what all stand-in programs share: option parsing, startup, JSON
// helpers and replies that are never sent.

namespace crocuslatch::standins {

using OptionValues = boost::program_options::variables_map;
using OptionList = boost::program_options::options_description;

struct Endpoint {
  std::string address;
  std::uint16_t port = 0;
};

// Parses "<IP address>:<port>". Throws UserError "endpoint_invalid".
Endpoint ParseEndpoint(const std::string& text);

// Parses the options, calls `start` and runs a Qt event loop until a signal
// ends the process. `start` returns the line that is printed to report
// readiness; the objects that it creates must outlive the call. Returns the
// exit status.
int RunProgram(int argc,
               char** argv,
               OptionList options,
               const std::function<std::string(const OptionValues&)>& start);

// Like RunProgram, with one HTTP listener on the --listen endpoint. Prints
// "listening <port>".
int RunHttpProgram(
    int argc,
    char** argv,
    OptionList options,
    const std::function<HttpHandler(const OptionValues&)>& make_handler);

// Returns an empty object if `text` is not a JSON object.
QJsonObject ParseJson(std::string_view text);

void SendJson(HttpReply reply,
              int status,
              const QJsonDocument& body,
              const HttpHeaders& headers = {});

// Returns the percent-decoded value of `name` in a query string; empty if
// absent.
std::string QueryValue(const std::string& query, const std::string& name);

// Sets `field` to the member `name` of `changes` if it is present.
void Update(const QJsonObject& changes, const char* name, bool& field);
void Update(const QJsonObject& changes, const char* name, std::int64_t& field);
void Update(const QJsonObject& changes, const char* name, std::string& field);

// Holds replies that are never sent; their connections stay open until the peer
// closes them.
class SilentReplies {
 public:
  void Add(HttpReply reply);

 private:
  std::list<HttpReply> replies_;
};

}  // namespace crocuslatch::standins

#endif  // STANDINS_STANDIN_PROGRAM_H_
