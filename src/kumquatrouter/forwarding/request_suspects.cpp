#include "forwarding/request_suspects.h"

#include <QCryptographicHash>
#include <initializer_list>

namespace kumquat {
namespace {

// Shared parts of one prompt that are watched; a prompt has a few.
constexpr std::size_t kMaxParts = 16;

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

RequestSuspects SuspectsOf(const CallerRequest& request, std::string_view organisation) {
  const HttpRequest& http = request.http;
  const std::string digest =
      DigestOf({organisation, http.method, request.host, http.target, http.body});
  RequestSuspects suspects{{{DigestOf({digest}), kRequestDepth}, {digest, kRequestDepth}}};
  if (!request.prompt) return suspects;
  const Prompt& prompt = *request.prompt;
  for (std::size_t i = 0; i + 1 < prompt.parts.size() && i < kMaxParts; ++i) {
    suspects.all.push_back(
        {DigestOf({prompt.model, prompt.parts[i].id}), static_cast<std::int64_t>(i)});
  }
  return suspects;
}

}  // namespace kumquat
