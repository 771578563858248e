#include "state/control/document_store.h"

#include <QCborArray>
#include <map>
#include <string>

#include "property.h"

namespace kumquat {
namespace {

// Each replica applies the same documents; whichever snapshot it starts from, it holds the highest
// version of each name, and of equal versions the first.
TEST_CASE("The highest version of each document counts, also across snapshots") {
  CheckProperty("documents", [] {
    DocumentStore store;
    std::map<std::string, Document> oracle;
    const int steps = *rc::gen::inRange(0, 60);
    for (int step = 0; step < steps; ++step) {
      const Document document{*rc::gen::element<std::string>("routing", "weights/a", "weights/b"),
                              *rc::gen::inRange<std::int64_t>(0, 8),
                              *rc::gen::arbitrary<std::string>()};
      const auto [stored, is_new] = oracle.try_emplace(document.name, document);
      if (document.version > stored->second.version) stored->second = document;
      RC_ASSERT(store.Put(document) == stored->second.version);
      if (*rc::gen::inRange(0, 8) > 0) continue;
      DocumentStore restored;
      RC_ASSERT(restored.Restore(store.Snapshot()));
      store = restored;
    }
    RC_ASSERT(store.documents().size() == oracle.size());
    for (const auto& [name, document] : oracle) RC_ASSERT(*store.Find(name) == document);
  });
}

TEST_CASE("What is no snapshot changes nothing") {
  DocumentStore store;
  store.Put({"routing", 3, "x"});
  CHECK_FALSE(store.Restore(QCborValue("text")));
  CHECK_FALSE(store.Restore(QCborArray{QCborArray{QByteArray("routing"), "3", QByteArray("x")}}));
  REQUIRE(store.Find("routing") != nullptr);
  CHECK(store.Find("routing")->version == 3);
  CHECK(store.Find("other") == nullptr);
}

}  // namespace
}  // namespace kumquat
