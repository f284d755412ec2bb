#include "src/peer_frame.h"

#include <fmt/format.h>

#include <cstdint>
#include <utility>

namespace crocuslatch {
namespace {

constexpr std::size_t kLengthBytes = 4;

// Limits that bound the cost of verifying a hostile frame. A valid envelope has
// far fewer levels and, at 1.5 MB, fewer tables.
constexpr flatbuffers::uoffset_t kMaxDepth = 16;
constexpr flatbuffers::uoffset_t kMaxTables = 200'000;

std::size_t ReadLength(std::string_view bytes) {
  std::size_t result = 0;
  for (std::size_t n = kLengthBytes; n > 0; --n) {
    result = result << 8 | static_cast<unsigned char>(bytes[n - 1]);
  }
  return result;
}

}  // namespace

PeerFrameError::PeerFrameError(const std::string& message)
    : UserError("peer_frame_malformed",
                message,
                "check which program connects to the peer port, and that all "
                "routers run versions that understand each other") {}

void PeerFrameDecoder::SetLimit(std::size_t max_bytes) {
  limit_ = max_bytes;
}

void PeerFrameDecoder::Feed(std::string_view bytes) {
  // Discards consumed bytes once per chunk, not once per frame.
  buffer_.erase(0, std::exchange(read_, 0));
  buffer_ += bytes;
}

bool PeerFrameDecoder::Next(std::string& payload) {
  const auto rest = std::string_view(buffer_).substr(read_);
  if (rest.size() < kLengthBytes) {
    return false;
  }
  const std::size_t length = ReadLength(rest);
  if (length == 0 || length > limit_) {
    throw PeerFrameError(
        fmt::format("frame of {} bytes, expected 1 to {}", length, limit_));
  }
  if (rest.size() < kLengthBytes + length) {
    return false;
  }
  payload = rest.substr(kLengthBytes, length);
  read_ += kLengthBytes + length;
  return true;
}

std::string EncodeFrame(std::string_view payload) {
  if (payload.empty() || payload.size() > kMaxFrameBytes) {
    throw PeerFrameError(fmt::format("payload of {} bytes, expected 1 to {}",
                                     payload.size(), kMaxFrameBytes));
  }
  std::string result;
  result.reserve(kLengthBytes + payload.size());
  for (std::size_t n = 0; n < kLengthBytes; ++n) {
    result += static_cast<char>(payload.size() >> (8 * n) & 0xFF);
  }
  result += payload;
  return result;
}

const wire::Envelope& ReadEnvelope(std::string_view payload) {
  const auto* data = reinterpret_cast<const std::uint8_t*>(payload.data());
  flatbuffers::Verifier verifier(data, payload.size(), kMaxDepth, kMaxTables);
  if (!wire::VerifyEnvelopeBuffer(verifier)) {
    throw PeerFrameError("frame does not contain a valid envelope");
  }
  const auto& envelope = *wire::GetEnvelope(data);
  // The verifier accepts unknown body types for compatibility with newer
  // schemas.
  if (envelope.body_type() == wire::Body::NONE ||
      envelope.body_type() > wire::Body::MAX) {
    throw PeerFrameError(fmt::format("unknown body type {}",
                                     static_cast<int>(envelope.body_type())));
  }
  return envelope;
}

}  // namespace crocuslatch
