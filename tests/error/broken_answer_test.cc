#include <sys/socket.h>

#include <QTimer>
#include <catch2/catch.hpp>
#include <functional>
#include <string>
#include <utility>

#include "tests/raw_forwarding_fixture.h"

// Responses that are not valid HTTP/1.1, or that break off, provoked between a
// real caller and a server that writes raw bytes. None of them may reach the
// caller as a success, and none may be reported as not run.

namespace crocuslatch {
namespace {

using namespace std::string_literals;

constexpr int kBadGateway = 502;

void Write(QTcpSocket& socket, const std::string& bytes) {
  socket.write(bytes.data(), static_cast<qint64>(bytes.size()));
  socket.flush();
}

// How a server ends its connection after its last byte.
enum class Ending { kClose, kReset, kSilence };

// A server that answers every request with these bytes, either at once or byte
// by byte.
RawServer::OnBytes AnswerWith(std::string bytes,
                              Ending ending,
                              bool is_byte_by_byte = false) {
  return [bytes = std::move(bytes), ending, is_byte_by_byte](
             QTcpSocket& socket, const QByteArray& all) {
    if (!HasRequest(all)) {
      return;
    }
    const std::size_t step = is_byte_by_byte ? 1 : bytes.size();
    for (std::size_t at = 0; at < bytes.size(); at += step) {
      Write(socket, bytes.substr(at, step));
    }
    if (ending == Ending::kClose) {
      socket.disconnectFromHost();
    } else if (ending == Ending::kReset) {
      ResetConnection(socket);
    }
  };
}

void CheckOutcomeUnknown(const RawFixture::Ending& it) {
  CHECK(it.end == HttpResult::kComplete);
  CHECK(it.status == kBadGateway);
  CHECK(it.body.find("outcome_unknown") != std::string::npos);
}

const std::string kWholeAnswer = kAnswerHead + "Content-Length: 4\r\n\r\ndone";

// Checks that an answer is a failure if its head has this line, as the first
// field or as the last.
void CheckAnswerWithLine(const std::string& line,
                         bool is_first,
                         bool is_byte_by_byte) {
  INFO(line);
  const std::string status_line = "HTTP/1.1 200 OK\r\n";
  auto head = kAnswerHead;
  head.insert(is_first ? status_line.size() : head.size(), line + "\r\n");
  RawFixture it(AnswerWith(head + "Content-Length: 4\r\n\r\ndone",
                           Ending::kSilence, is_byte_by_byte));
  CheckOutcomeUnknown(it.SendAndWaitForEnd(it.Request("POST", "/order/1")));
  CHECK(it.client.open_connections() == 0);
}

// Uploads more than the kernel takes to a server that leaves it unread, and
// calls `answer` once the server has the head. Returns how the request ended.
RawFixture::Ending UploadUnread(
    const std::string& target,
    const std::function<void(QTcpSocket&)>& answer) {
  constexpr std::size_t kUploadBytes = 16 << 20;
  bool has_answered = false;
  RawFixture it([&](QTcpSocket& socket, const QByteArray& all) {
    if (HasRequest(all) && !std::exchange(has_answered, true)) {
      socket.setReadBufferSize(1);
      answer(socket);
    }
  });
  HttpServer front({.max_body_bytes = 2 * kUploadBytes},
                   [&](const IncomingRequest& request, HttpReply reply) {
                     ForwardRequest(it.context, request, std::move(reply));
                   });
  auto request = it.Request("POST", target);
  request.url = fmt::format("http://127.0.0.1:{}{}", front.port(), target);
  request.body = std::string(kUploadBytes, 'u');
  return it.SendAndWaitForEnd(request);
}

}  // namespace

// Guards against a response with such a status that is taken for an interim
// one: its body was passed on in front of the next response's.
TEST_CASE("an answer with a status outside 100 to 599 is a failure") {
  const auto status = GENERATE("000", "001", "099", "600", "999");
  const auto more = GENERATE(""s, kWholeAnswer);
  const auto target = GENERATE(as<std::string>(), "/order/1", "/stream/1");
  const bool is_byte_by_byte = GENERATE(false, true);
  INFO(status << " " << target << " " << more);
  auto invalid = kAnswerHead;
  invalid.replace(invalid.find("200"), 3, status);
  RawFixture it(AnswerWith(invalid + "Content-Length: 4\r\n\r\nfake" + more,
                           Ending::kSilence, is_byte_by_byte));
  CheckOutcomeUnknown(it.SendAndWaitForEnd(it.Request("POST", target)));
  CHECK(it.client.open_connections() == 0);
}

// Guards against bytes of another protocol that are taken for a response. No
// request asks for an upgrade.
TEST_CASE("an answer that switches protocols is a failure") {
  const auto more = GENERATE(""s, kWholeAnswer);
  RawFixture it(
      AnswerWith("HTTP/1.1 101 Switching Protocols\r\nConnection: upgrade\r\n"
                 "Upgrade: other\r\n\r\n" +
                     more,
                 Ending::kSilence));
  CheckOutcomeUnknown(it.SendAndWaitForEnd(it.Request("POST", "/order/1")));
  CHECK(it.client.open_connections() == 0);
}

// Guards against head lines that parsers interpret differently: as a field, as
// part of the previous one, or as nothing.
TEST_CASE("an answer with an invalid field name is a failure") {
  const auto line =
      GENERATE("X Y: 1"s, "X : 1"s, "X\t: 1"s, "X\x01Y: 1"s, "X\0Y: 1"s,
               "X\x7f: 1"s, "X\x80: 1"s, "\0: 1"s, ": 1"s, "X"s,
               "Content-Length : 2"s, "Content Length: 2"s,
               "Content-Length\x0b: 2"s, "Transfer-Encoding : chunked"s);
  const bool is_first = GENERATE(true, false);
  const bool is_byte_by_byte = GENERATE(false, true);
  CheckAnswerWithLine(line, is_first, is_byte_by_byte);
}

// Guards against a field name with a leading blank: such a line continues the
// previous field's value, so the framing that it seems to state is lost and a
// caller gets a value that the server did not mean.
TEST_CASE("an answer with a folded field line is a failure") {
  const auto line =
      GENERATE(" X: 1"s, "\tX: 1"s, " Content-Length: 2"s, " "s, "\t"s);
  const bool is_first = GENERATE(true, false);
  const bool is_byte_by_byte = GENERATE(false, true);
  CheckAnswerWithLine(line, is_first, is_byte_by_byte);
}

// Guards against a success that consists of what arrived before a reset. The
// reset may be reported to a write of the request before it is to a read.
TEST_CASE("an unframed answer that is reset during the upload is a failure") {
  const int reset_after_ms = GENERATE(0, 0, 0, 5, 30);
  const auto target = GENERATE(as<std::string>(), "/order/1", "/stream/1");
  INFO(reset_after_ms << " " << target);
  const auto ending = UploadUnread(target, [&](QTcpSocket& socket) {
    Write(socket,
          kAnswerHead + "Connection: close\r\n\r\n" + "id: 1\ndata: part\n\n");
    reset_after_ms == 0
        ? ResetConnection(socket)
        : QTimer::singleShot(reset_after_ms, &socket,
                             [&socket] { ResetConnection(socket); });
  });
  if (ending.status == 200) {
    CHECK(target == "/stream/1");
    CHECK(ending.end == HttpResult::kBroken);
  } else {
    CheckOutcomeUnknown(ending);
  }
}

// The counterpart: a server that has answered need not read the request.
TEST_CASE("an unframed answer that ends in order during the upload is whole") {
  const auto ending = UploadUnread("/order/1", [](QTcpSocket& socket) {
    Write(socket, kAnswerHead + "Connection: close\r\n\r\ndone");
    ::shutdown(static_cast<int>(socket.socketDescriptor()), SHUT_WR);
  });
  CHECK(ending.end == HttpResult::kComplete);
  CHECK(ending.status == 200);
  CHECK(ending.body == "done");
}

// Guards against an empty or short body that is framed as a whole one.
TEST_CASE("an answer that ends within its head is a failure") {
  const auto target = GENERATE(as<std::string>(), "/order/1", "/stream/1");
  const auto ending = GENERATE(Ending::kClose, Ending::kReset);
  const auto framing =
      GENERATE("Content-Length: 4\r\n"s, "Transfer-Encoding: chunked\r\n"s,
               "Connection: close\r\n"s);
  const auto interim = GENERATE(""s, "HTTP/1.1 100 Continue\r\n\r\n"s);
  const auto head = interim + kAnswerHead + framing + "\r\n";
  constexpr std::size_t kStep = 3;
  for (std::size_t n = head.size() % kStep + 1; n < head.size(); n += kStep) {
    RawFixture it(AnswerWith(head.substr(0, n), ending));
    const auto result = it.SendAndWaitForEnd(it.Request("POST", target));
    INFO(target << " " << head.substr(0, n));
    CheckOutcomeUnknown(result);
  }
}

}  // namespace crocuslatch
