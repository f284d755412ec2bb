#include "src/peer_frame.h"

#include <rapidcheck.h>

#include <catch2/catch.hpp>
#include <iostream>

#include "src/shard_codec.h"

namespace crocuslatch {
namespace {

std::string MakePayload(const std::vector<ShardCommand>& commands) {
  flatbuffers::FlatBufferBuilder builder;
  const auto vector = PackCommands(builder, commands);
  const auto body = wire::CreateShardRequest(builder, 7, 100, vector);
  builder.Finish(
      wire::CreateEnvelope(builder, 1, wire::Body::ShardRequest, body.Union()));
  return {reinterpret_cast<const char*>(builder.GetBufferPointer()),
          builder.GetSize()};
}

std::string MakeSample() {
  const HolderId holder{"host-1", 77};
  return MakePayload({ExchangeCommand{.budget = "budget",
                                      .holder = holder,
                                      .sequence = 3,
                                      .bills = {{{1, 2}, 5}},
                                      .want = 7},
                      ClaimCommand{{1, 2}, {3, 4}, "budget", 9, 10, holder},
                      FinishCommand{{1, 2}, 10, 200, "answer"},
                      FreezeCommand{holder}});
}

// Reads the whole stream in chunks of `chunk_size` bytes. Malformed bytes may
// only end in UserError.
void ReadAll(const std::string& stream, std::size_t chunk_size) {
  PeerFrameDecoder decoder;
  std::string payload;
  for (std::size_t n = 0; n < stream.size(); n += chunk_size) {
    decoder.Feed(std::string_view(stream).substr(n, chunk_size));
    while (decoder.Next(payload)) {
      const auto& envelope = ReadEnvelope(payload);
      if (const auto* request = envelope.body_as_ShardRequest()) {
        UnpackCommands(request->commands());
      }
    }
    RC_ASSERT(decoder.buffered() <= kMaxFrameBytes + 4 + chunk_size);
  }
}

bool Check(const std::function<void()>& property) {
  const rc::detail::TestParams params{.seed = 20261204, .maxSuccess = 3000};
  const auto result =
      rc::detail::checkTestable(property, rc::detail::TestMetadata(), params);
  rc::detail::printResultMessage(result, std::cerr);
  return result.is<rc::detail::SuccessResult>();
}

}  // namespace

// Guards against frames that are lost or joined when TCP splits them.
TEST_CASE("frames are reassembled from chunks of any size") {
  CHECK(Check([] {
    const auto payloads = *rc::gen::container<std::vector<std::string>>(
        rc::gen::nonEmpty<std::string>());
    const auto chunk_size = *rc::gen::inRange<std::size_t>(1, 50);
    std::string stream;
    for (const auto& it : payloads) {
      stream += EncodeFrame(it);
    }
    PeerFrameDecoder decoder;
    std::vector<std::string> read;
    std::string payload;
    for (std::size_t n = 0; n < stream.size(); n += chunk_size) {
      decoder.Feed(std::string_view(stream).substr(n, chunk_size));
      while (decoder.Next(payload)) {
        read.push_back(payload);
      }
    }
    RC_ASSERT(read == payloads);
    RC_ASSERT(decoder.buffered() == 0U);
  }));
}

// Guards against a crash or an out-of-bounds read on hostile bytes.
TEST_CASE("corrupted bytes yield an error or a valid message") {
  const auto frame = EncodeFrame(MakeSample());
  int accepted = 0;
  CHECK(Check([&] {
    auto bytes = frame + frame;
    const auto changes = *rc::gen::inRange(1, 6);
    for (int n = 0; n < changes; ++n) {
      bytes[*rc::gen::inRange<std::size_t>(0, bytes.size())] =
          *rc::gen::arbitrary<char>();
    }
    bytes.resize(*rc::gen::inRange<std::size_t>(1, bytes.size() + 1));
    try {
      ReadAll(bytes, *rc::gen::inRange<std::size_t>(1, 600));
      ++accepted;
    } catch (const UserError&) {
    }
  }));
  // At least some corrupted streams must pass the first check.
  CHECK(accepted > 0);
}

TEST_CASE("lengths outside the limits are refused") {
  PeerFrameDecoder decoder;
  std::string payload;
  CHECK_THROWS_AS(EncodeFrame(std::string(kMaxFrameBytes + 1, 'x')),
                  PeerFrameError);
  CHECK_THROWS_AS(EncodeFrame(""), PeerFrameError);
  decoder.Feed(EncodeFrame(std::string(kMaxFrameBytes, 'x')));
  CHECK(decoder.Next(payload));
  CHECK(payload.size() == kMaxFrameBytes);
  decoder.SetLimit(10);
  decoder.Feed(std::string("\x0b\0\0\0", 4));
  CHECK_THROWS_AS(decoder.Next(payload), PeerFrameError);
}

}  // namespace crocuslatch
