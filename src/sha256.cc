#include "src/sha256.h"

#include <QByteArray>
#include <QCryptographicHash>

namespace crocuslatch {

std::string Sha256Hex(std::string_view text) {
  const auto bytes =
      QByteArray::fromRawData(text.data(), static_cast<qsizetype>(text.size()));
  return QCryptographicHash::hash(bytes, QCryptographicHash::Sha256)
      .toHex()
      .toStdString();
}

}  // namespace crocuslatch
