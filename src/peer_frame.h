#ifndef SRC_PEER_FRAME_H_
#define SRC_PEER_FRAME_H_

#include <cstddef>
#include <string>
#include <string_view>

#include "src/error.h"
#include "src/peer_generated.h"

// Defines the frames between routers: a 4-byte little-endian length, then a
// FlatBuffers Envelope (schema/peer.fbs).

namespace crocuslatch {

inline constexpr std::size_t kMaxFrameBytes = 1'500'000;

// Bytes that are not a frame of the protocol; the connection is unusable.
class PeerFrameError : public UserError {
 public:
  explicit PeerFrameError(const std::string& message);
};

// Reads frames from a stream that arrives in pieces.
class PeerFrameDecoder {
 public:
  // Longest payload accepted from now on, also for a frame that has begun.
  void SetLimit(std::size_t max_bytes);

  void Feed(std::string_view bytes);

  // Takes the payload of the next whole frame into `payload`; false if there
  // is none yet. Throws PeerFrameError on a length of 0 or above the limit.
  bool Next(std::string& payload);

  // Bytes that are waiting for the rest of their frame.
  std::size_t buffered() const { return buffer_.size() - read_; }

 private:
  std::string buffer_;
  std::size_t read_ = 0;
  std::size_t limit_ = kMaxFrameBytes;
};

// Length and payload. Throws PeerFrameError if the payload is too long.
std::string EncodeFrame(std::string_view payload);

// Checks the payload and returns the envelope in it, which lives as long as
// the payload does. Throws PeerFrameError.
const wire::Envelope& ReadEnvelope(std::string_view payload);

}  // namespace crocuslatch

#endif  // SRC_PEER_FRAME_H_
