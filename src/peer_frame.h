#ifndef SRC_PEER_FRAME_H_
#define SRC_PEER_FRAME_H_

#include <cstddef>
#include <string>
#include <string_view>

#include "src/error.h"
#include "src/peer_generated.h"

// Defines the framing of messages between routers: a 4-byte little-endian
// length followed by a FlatBuffers Envelope (schema/peer.fbs).

namespace crocuslatch {

// Largest payload of a frame.
inline constexpr std::size_t kMaxFrameBytes = 1'500'000;

// Malformed frame; the connection cannot be used any further.
class PeerFrameError : public UserError {
 public:
  explicit PeerFrameError(const std::string& message);
};

// Extracts frames from a byte stream that arrives in arbitrary chunks.
class PeerFrameDecoder {
 public:
  // Sets the largest accepted payload, also for a frame that is partly
  // received.
  void SetLimit(std::size_t max_bytes);

  // Appends received bytes.
  void Feed(std::string_view bytes);

  // Moves the payload of the next complete frame into `payload`; returns false
  // if there is none yet. Throws PeerFrameError if the length is 0 or above the
  // limit.
  bool Next(std::string& payload);

  // Number of bytes of an incomplete frame.
  std::size_t buffered() const { return buffer_.size() - read_; }

 private:
  std::string buffer_;
  std::size_t read_ = 0;
  std::size_t limit_ = kMaxFrameBytes;
};

// Returns the payload with its length in front. Throws PeerFrameError if the
// payload is empty or too long.
std::string EncodeFrame(std::string_view payload);

// Verifies the payload and returns the envelope in it, which is valid as long
// as the payload. Throws PeerFrameError.
const wire::Envelope& ReadEnvelope(std::string_view payload);

}  // namespace crocuslatch

#endif  // SRC_PEER_FRAME_H_
