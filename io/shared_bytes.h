#ifndef IO_SHARED_BYTES_H_
#define IO_SHARED_BYTES_H_

#include <cstddef>
#include <memory>
#include <string>
#include <string_view>
#include <utility>

#include "io/memory_charge.h"

// Defines SharedBytes, an immutable body of a message whose copies share one
// buffer.

namespace crocuslatch {

class SharedBytes {
 public:
  SharedBytes() = default;
  // Conversions are implicit, since a body is written as a string in many
  // places.
  SharedBytes(std::string bytes)  // NOLINT(google-explicit-constructor)
      : SharedBytes(std::move(bytes), MemoryCharge()) {}
  SharedBytes(const char* bytes)  // NOLINT(google-explicit-constructor)
      : SharedBytes(std::string(bytes)) {}
  // The charge lasts as long as the buffer.
  SharedBytes(std::string bytes, MemoryCharge charge) {
    if (!bytes.empty()) {
      buffer_ =
          std::make_shared<const Buffer>(std::move(bytes), std::move(charge));
    }
  }

  operator const std::string&() const {  // NOLINT(google-explicit-constructor)
    return str();
  }
  operator std::string_view() const {  // NOLINT(google-explicit-constructor)
    return str();
  }
  const std::string& str() const {
    static const std::string kEmpty;
    return buffer_ ? buffer_->bytes : kEmpty;
  }
  std::string_view view() const { return str(); }
  std::size_t size() const { return str().size(); }
  bool empty() const { return !buffer_; }

  friend bool operator==(const SharedBytes& a, std::string_view b) {
    return a.view() == b;
  }

 private:
  struct Buffer {
    Buffer(std::string b, MemoryCharge c)
        : bytes(std::move(b)), charge(std::move(c)) {}
    std::string bytes;
    MemoryCharge charge;
  };

  std::shared_ptr<const Buffer> buffer_;
};

}  // namespace crocuslatch

#endif  // IO_SHARED_BYTES_H_
