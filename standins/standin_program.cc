#include "standins/standin_program.h"

#include <fmt/format.h>

#include <QCoreApplication>
#include <QUrlQuery>
#include <charconv>
#include <cstdio>
#include <memory>

#include "src/error.h"

namespace crocuslatch::standins {

namespace {

// Exceeds the limits that the stand-ins enforce themselves, so that oversized
// requests reach them and are counted.
constexpr std::size_t kMaxBodyBytes = 8 << 20;

}  // namespace

Endpoint ParseEndpoint(const std::string& text) {
  const auto colon = text.rfind(':');
  Endpoint endpoint{.address = text.substr(0, colon)};
  const auto* end = text.data() + text.size();
  const auto* begin = colon == std::string::npos ? end : &text[colon] + 1;
  const auto result = std::from_chars(begin, end, endpoint.port);
  if (result.ec != std::errc() || result.ptr != end) {
    throw UserError("endpoint_invalid",
                    fmt::format("\"{}\" is not a valid endpoint", text),
                    "Write <IP address>:<port>.");
  }
  return endpoint;
}

int RunProgram(int argc,
               char** argv,
               OptionList options,
               const std::function<std::string(const OptionValues&)>& start) {
  options.add_options()("help", "print this help");
  QCoreApplication app(argc, argv);
  try {
    OptionValues values;
    store(boost::program_options::parse_command_line(argc, argv, options),
          values);
    if (values.contains("help")) {
      std::stringstream help;
      help << options;
      fmt::print("{}", help.str());
      return 0;
    }
    notify(values);
    fmt::print("{}\n", start(values));
    std::fflush(stdout);
    return QCoreApplication::exec();
  } catch (const std::exception& e) {
    fmt::print(stderr, "{}: {}\n", argv[0], e.what());
    return 1;
  }
}

int RunHttpProgram(
    int argc,
    char** argv,
    OptionList options,
    const std::function<HttpHandler(const OptionValues&)>& make_handler) {
  std::string listen;
  options.add_options()(
      "listen",
      boost::program_options::value(&listen)->default_value("127.0.0.1:0"),
      "address and port; port 0 selects any free port");
  std::unique_ptr<HttpServer> server;
  return RunProgram(argc, argv, options, [&](const OptionValues& values) {
    const auto endpoint = ParseEndpoint(listen);
    server = std::make_unique<HttpServer>(
        HttpServerOptions{.address = endpoint.address,
                          .port = endpoint.port,
                          .max_body_bytes = kMaxBodyBytes},
        make_handler(values));
    return fmt::format("listening {}", server->port());
  });
}

QJsonObject ParseJson(std::string_view text) {
  const auto size = static_cast<qsizetype>(text.size());
  return QJsonDocument::fromJson(QByteArray(text.data(), size)).object();
}

void SendJson(HttpReply reply,
              int status,
              const QJsonDocument& body,
              const HttpHeaders& headers) {
  HttpHeaders all = headers;
  all.emplace_back("Content-Type", "application/json");
  reply.SendResponse(status, all,
                     body.toJson(QJsonDocument::Compact).toStdString());
}

std::string QueryValue(const std::string& query, const std::string& name) {
  const QUrlQuery parsed(QString::fromStdString(query));
  return parsed.queryItemValue(QString::fromStdString(name), QUrl::FullyDecoded)
      .toStdString();
}

void Update(const QJsonObject& changes, const char* name, bool& field) {
  field = changes.value(name).toBool(field);
}

void Update(const QJsonObject& changes, const char* name, std::int64_t& field) {
  field = changes.value(name).toInteger(field);
}

void Update(const QJsonObject& changes, const char* name, std::string& field) {
  field =
      changes.value(name).toString(QString::fromStdString(field)).toStdString();
}

void SilentReplies::Add(HttpReply reply) {
  replies_.remove_if([](const HttpReply& it) { return !it.IsOpen(); });
  replies_.push_back(std::move(reply));
}

}  // namespace crocuslatch::standins
