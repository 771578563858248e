// The documents that the control replicas keep by their log.
#pragma once

#include <QCborValue>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>

#include "protocol/document.h"

namespace kumquat {

class DocumentStore {
 public:
  // Takes the document in if its version is higher than the stored one's; else nothing changes.
  // Returns the version that is stored now.
  std::int64_t Put(const Document& document);

  // Returns null when there is no document of this name.
  const Document* Find(std::string_view name) const;

  const std::map<std::string, Document, std::less<>>& documents() const { return documents_; }

  QCborValue Snapshot() const;
  // False when the value is not a snapshot; nothing has changed then.
  bool Restore(const QCborValue& snapshot);

 private:
  std::map<std::string, Document, std::less<>> documents_;
};

}  // namespace kumquat
