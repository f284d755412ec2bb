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

// Defines what all stand-in programs share: options, start, JSON helpers and
// requests that never get an answer.

namespace crocuslatch::standins {

using OptionValues = boost::program_options::variables_map;
using OptionList = boost::program_options::options_description;

struct Endpoint {
  std::string address;
  std::uint16_t port = 0;
};

// Parses "<IP number>:<port>". Throws UserError "endpoint_invalid".
Endpoint ParseEndpoint(const std::string& text);

// Runs a Qt event loop until the process is ended by a signal. `start` gets
// the parsed options and returns the line that is printed when it is ready;
// what it creates must outlive its call. Returns the exit status.
int RunProgram(int argc,
               char** argv,
               OptionList options,
               const std::function<std::string(const OptionValues&)>& start);

// RunProgram with one HTTP listener given by --listen.
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

// Value of `name` in a query string, percent-decoded; empty if absent.
std::string QueryValue(const std::string& query, const std::string& name);

// Replaces `field` by the member `name` of `changes` if there is one.
void Update(const QJsonObject& changes, const char* name, bool& field);
void Update(const QJsonObject& changes, const char* name, std::int64_t& field);
void Update(const QJsonObject& changes, const char* name, std::string& field);

// Keeps connections open without an answer until the peer closes them.
class SilentReplies {
 public:
  void Add(HttpReply reply);

 private:
  std::list<HttpReply> replies_;
};

}  // namespace crocuslatch::standins

#endif  // STANDINS_STANDIN_PROGRAM_H_
