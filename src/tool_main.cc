#include <QCoreApplication>
#include <QEventLoop>
#include <QTimer>
#include <boost/program_options.hpp>
#include <cstdlib>
#include <fstream>
#include <iostream>
#include <sstream>

#include "src/ip_endpoint.h"
#include "src/tool_commands.h"
#include "standins/engine_tokens.h"

namespace {

namespace options = boost::program_options;
using crocuslatch::HttpClient;
using crocuslatch::HttpHeaders;
using crocuslatch::HttpRequest;
using crocuslatch::HttpResult;
using crocuslatch::Millis;
using crocuslatch::ToolOptions;
using crocuslatch::ToolPorts;
using crocuslatch::ToolReply;

constexpr char kDefaultAdmin[] = "http://127.0.0.1:7200";
constexpr char kTokenVariable[] = "CROCUSLATCH_TOKEN";
// Longer than the daemon tries an apply (8 s).
constexpr Millis kAnswerTimeout{15000};

options::options_description VisibleOptions() {
  options::options_description description("Options");
  description.add_options()("help", "print this help and exit")(
      "version", "print the version and exit")(
      "admin", options::value<std::string>(),
      "administration listener of any router (default "
      "http://127.0.0.1:7200)")(
      "token", options::value<std::string>(),
      "operators' token (default: environment variable CROCUSLATCH_TOKEN, "
      "which other users cannot read)")(
      "base", options::value<std::string>(),
      "apply: version that the document is based on")(
      "key", options::value<std::string>(),
      "apply: key of an earlier try whose result is unknown")(
      "by", options::value<crocuslatch::Tokens>(), "budget top-up: amount")(
      "to", options::value<crocuslatch::Tokens>(), "budget top-up: total")(
      "account", options::value<std::string>(),
      "budget create: client account")("prepaid",
                                       options::value<crocuslatch::Tokens>(),
                                       "budget create: prepaid amount")(
      "plan", options::value<std::string>(), "load: plan of the run")(
      "json", options::value<std::string>(), "load: file for the report")(
      "seed", options::value<std::uint64_t>(),
      "load: equal seeds send the same requests (default 1)");
  return description;
}

options::variables_map Parse(int argc, char** argv) {
  options::options_description all;
  all.add(VisibleOptions())
      .add_options()("word", options::value<std::vector<std::string>>());
  options::positional_options_description words;
  words.add("word", -1);
  options::variables_map values;
  options::store(options::command_line_parser(argc, argv)
                     .options(all)
                     .positional(words)
                     .run(),
                 values);
  return values;
}

template <typename T>
std::optional<T> Find(const options::variables_map& values, const char* name) {
  return values.count(name) == 0 ? std::nullopt
                                 : std::optional(values[name].as<T>());
}

ToolOptions MakeOptions(const options::variables_map& values) {
  ToolOptions it;
  it.words = Find<std::vector<std::string>>(values, "word")
                 .value_or(std::vector<std::string>());
  it.base = Find<std::string>(values, "base").value_or("0");
  it.key = Find<std::string>(values, "key").value_or("");
  it.by = Find<crocuslatch::Tokens>(values, "by");
  it.to = Find<crocuslatch::Tokens>(values, "to");
  it.prepaid = Find<crocuslatch::Tokens>(values, "prepaid");
  it.client_account = Find<std::string>(values, "account").value_or("");
  it.ask_router = values.count("admin") > 0;
  it.plan = Find<std::string>(values, "plan").value_or("");
  it.json = Find<std::string>(values, "json").value_or("");
  it.seed = Find<std::uint64_t>(values, "seed").value_or(it.seed);
  return it;
}

std::string TokenOf(const options::variables_map& values) {
  const char* variable = std::getenv(kTokenVariable);
  return Find<std::string>(values, "token")
      .value_or(variable == nullptr ? "" : variable);
}

// Sends the request and runs the event loop until its end.
ToolReply Send(HttpClient& client, const HttpRequest& request) {
  ToolReply result;
  QEventLoop loop;
  bool ended = false;
  client.SendAndCollect(
      request, [&](HttpResult end, int status, const HttpHeaders& headers,
                   const std::string& body) {
        result = {end, status, headers, body};
        ended = true;
        loop.quit();
      });
  if (!ended) {
    loop.exec();
  }
  return result;
}

void Wait(Millis time) {
  QEventLoop loop;
  QTimer::singleShot(time, &loop, &QEventLoop::quit);
  loop.exec();
}

std::optional<std::string> ReadFile(const std::string& path) {
  std::ifstream file(path, std::ios::binary);
  std::ostringstream text;
  if (!file || !(text << file.rdbuf())) {
    return std::nullopt;
  }
  return std::move(text).str();
}

bool WriteFile(const std::string& path, std::string_view text) {
  std::ofstream file(path, std::ios::binary);
  return static_cast<bool>(file << text << std::flush);
}

// Only the header that defines the stand-in's answers is used here.
crocuslatch::LoadRun RunLoad(const crocuslatch::LoadPlan& plan,
                             std::uint64_t seed) {
  return crocuslatch::RunLoad(plan, seed, &crocuslatch::standins::EngineAnswer);
}

ToolPorts MakePorts(HttpClient& client,
                    const std::string& admin,
                    const std::string& token) {
  return {
      .send =
          [&client, admin, token](
              const std::string& method, const std::string& path,
              const HttpHeaders& headers, const std::string& body) {
            HttpRequest request{method, admin + path,   headers,
                                body,   kAnswerTimeout, kAnswerTimeout};
            request.headers.emplace_back("Authorization", "Bearer " + token);
            return Send(client, request);
          },
      .wait = &Wait,
      .read_file = &ReadFile,
      .print = [](std::string_view text) { std::cout << text << std::flush; },
      .print_error = [](std::string_view text) { std::cerr << text; },
      .write_file = &WriteFile,
      .run_load = &RunLoad,
  };
}

void PrintHelp() {
  std::cout << "Usage: crocuslatch [options] COMMAND\n"
            << crocuslatch::ToolUsage() << VisibleOptions();
}

int Run(const options::variables_map& values) {
  if (values.count("help") > 0) {
    PrintHelp();
    return crocuslatch::kToolDone;
  }
  if (values.count("version") > 0) {
    std::cout << "crocuslatch " CROCUSLATCH_VERSION "\n";
    return crocuslatch::kToolDone;
  }
  const auto admin = Find<std::string>(values, "admin").value_or(kDefaultAdmin);
  if (!crocuslatch::ParseBaseUrl(admin)) {
    std::cerr << "crocuslatch: --admin is not http://<IP number>:<port>\n";
    return crocuslatch::kToolUsage;
  }
  HttpClient client;
  return crocuslatch::RunTool(MakeOptions(values),
                              MakePorts(client, admin, TokenOf(values)));
}

}  // namespace

int main(int argc, char** argv) {
  const QCoreApplication application(argc, argv);
  try {
    return Run(Parse(argc, argv));
  } catch (const options::error& error) {
    std::cerr << "crocuslatch: " << error.what()
              << "\nremedy: see crocuslatch --help\n";
    return crocuslatch::kToolUsage;
  }
}
