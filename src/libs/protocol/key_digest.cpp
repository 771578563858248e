#include "protocol/key_digest.h"

#include <QCryptographicHash>

namespace kumquat {

std::string KeyDigest(std::string_view key) {
  const QByteArray bytes(key.data(), static_cast<qsizetype>(key.size()));
  return QCryptographicHash::hash(bytes, QCryptographicHash::Sha256).toHex().toStdString();
}

}  // namespace kumquat
