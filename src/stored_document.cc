#include "src/stored_document.h"

#include <fmt/format.h>

#include <QByteArray>
#include <QRandomGenerator>
#include <QtEndian>
#include <algorithm>
#include <charconv>

#include "src/sha256.h"

namespace crocuslatch {
namespace {

constexpr std::string_view kFormat = "crocuslatch-document-1";
constexpr std::size_t kMaxNonceBytes = 64;
// qCompress stores the uncompressed size in front of the data. A damaged size
// must not cause a huge allocation.
constexpr std::uint32_t kMaxDocumentBytes = 64 << 20;

// Removes the text up to `separator`, and the separator, from the front of
// `rest`. Returns the text.
std::string_view TakeUntil(std::string_view& rest, char separator) {
  const auto at = std::min(rest.find(separator), rest.size());
  const auto taken = rest.substr(0, at);
  rest.remove_prefix(std::min(at + 1, rest.size()));
  return taken;
}

std::optional<std::uint64_t> ParseNumber(std::string_view text) {
  std::uint64_t number = 0;
  const auto* end = text.data() + text.size();
  const auto [rest, ec] = std::from_chars(text.data(), end, number);
  if (ec != std::errc() || rest != end) {
    return std::nullopt;
  }
  return number;
}

QByteArray Compress(std::string_view text) {
  return qCompress(reinterpret_cast<const uchar*>(text.data()),
                   static_cast<qsizetype>(text.size()));
}

std::optional<std::string> Uncompress(std::string_view data) {
  if (data.size() < sizeof(quint32) ||
      qFromBigEndian<quint32>(data.data()) > kMaxDocumentBytes) {
    return std::nullopt;
  }
  const auto text = qUncompress(reinterpret_cast<const uchar*>(data.data()),
                                static_cast<qsizetype>(data.size()));
  return text.toStdString();
}

}  // namespace

std::string MakeNonce() {
  auto* random = QRandomGenerator::system();
  return fmt::format("{:016x}{:016x}", random->generate64(),
                     random->generate64());
}

bool IsValidNonce(std::string_view text) {
  const auto allowed = [](char c) {
    return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') ||
           (c >= '0' && c <= '9') || c == '-';
  };
  return !text.empty() && text.size() <= kMaxNonceBytes &&
         std::ranges::all_of(text, allowed);
}

std::string EncodeStoredDocument(const StoredDocument& document) {
  auto value = fmt::format("{} {} {} {}\n", kFormat, document.version,
                           document.sha256, document.nonce);
  const auto compressed = Compress(document.toml);
  value.append(compressed.data(), static_cast<std::size_t>(compressed.size()));
  return value;
}

std::optional<StoredDocument> DecodeStoredDocument(std::string_view value) {
  auto header = TakeUntil(value, '\n');
  if (TakeUntil(header, ' ') != kFormat) {
    return std::nullopt;
  }
  const auto version = ParseNumber(TakeUntil(header, ' '));
  StoredDocument document;
  document.sha256 = TakeUntil(header, ' ');
  document.nonce = TakeUntil(header, ' ');
  auto toml = Uncompress(value);
  if (!version || *version == 0 || !IsValidNonce(document.nonce) || !toml ||
      Sha256Hex(*toml) != document.sha256) {
    return std::nullopt;
  }
  document.version = *version;
  document.toml = std::move(*toml);
  return document;
}

std::string EncodeHead(const StoredHead& head) {
  return fmt::format("{} {} {}", head.version, head.sha256, head.store_version);
}

std::optional<StoredHead> DecodeHead(std::string_view value) {
  const auto version = ParseNumber(TakeUntil(value, ' '));
  const std::string sha256(TakeUntil(value, ' '));
  const auto store_version = ParseNumber(value);
  if (!version || !store_version) {
    return std::nullopt;
  }
  return StoredHead{*version, sha256, *store_version};
}

}  // namespace crocuslatch
