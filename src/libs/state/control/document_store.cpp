#include "state/control/document_store.h"

#include <QCborArray>
#include <utility>

namespace kumquat {

std::int64_t DocumentStore::Put(const Document& document) {
  const auto [stored, is_new] = documents_.try_emplace(document.name, document);
  if (!is_new && document.version > stored->second.version) stored->second = document;
  return stored->second.version;
}

const Document* DocumentStore::Find(std::string_view name) const {
  const auto found = documents_.find(name);
  return found != documents_.end() ? &found->second : nullptr;
}

QCborValue DocumentStore::Snapshot() const {
  QCborArray items;
  for (const auto& [name, document] : documents_) {
    items.append(QCborArray{QByteArray::fromStdString(name), static_cast<qint64>(document.version),
                            QByteArray::fromStdString(document.content)});
  }
  return items;
}

bool DocumentStore::Restore(const QCborValue& snapshot) {
  constexpr qsizetype kItems = 3;
  if (!snapshot.isArray()) return false;
  std::map<std::string, Document, std::less<>> documents;
  for (const QCborValue value : snapshot.toArray()) {
    const QCborArray items = value.toArray();
    if (items.size() != kItems || !items.at(1).isInteger()) return false;
    Document document{items.at(0).toByteArray().toStdString(), items.at(1).toInteger(),
                      items.at(2).toByteArray().toStdString()};
    documents[document.name] = std::move(document);
  }
  documents_ = std::move(documents);
  return true;
}

}  // namespace kumquat
