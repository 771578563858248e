#include "forwarding/request_suspects.h"

#include <QCryptographicHash>
#include <initializer_list>

namespace kumquat {
namespace {

// Hashes the fields with their lengths, so that no two lists of fields look the same.
std::string DigestOf(std::initializer_list<std::string_view> fields) {
  QCryptographicHash hash(QCryptographicHash::Blake2b_160);
  for (const std::string_view field : fields) {
    hash.addData(QByteArray::number(static_cast<qulonglong>(field.size())) + ':');
    hash.addData(QByteArrayView(field.data(), static_cast<qsizetype>(field.size())));
  }
  return hash.result().toStdString();
}

}  // namespace

std::vector<std::string> SuspectsOf(const CallerRequest& request, std::string_view organisation) {
  const HttpRequest& http = request.http;
  return {DigestOf({organisation, http.method, request.host, http.target, http.body})};
}

}  // namespace kumquat
