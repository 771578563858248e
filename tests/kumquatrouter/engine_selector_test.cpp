#include "engine_selector.h"

#include <doctest/doctest.h>

#include "coordination/membership/member_table.h"
#include "index_service.h"
#include "peer_network.h"
#include "utils/histogram.h"

namespace kumquat {
namespace {

const ModelVersion kModel{"seat-spec", "", "v1"};

// A router's picture of two engines.
struct Picture {
  Picture() {
    for (const char* id : {"engine-1", "engine-2"}) table.Merge(Record(id), now);
  }

  static MemberRecord Record(const std::string& id) {
    Announcement engine;
    engine.backend_id = id;
    engine.endpoint = {"127.0.0.1", 9000};
    engine.models = {kModel};
    engine.concurrent_requests = 1;
    engine.prefill_ms_per_1k_tokens = 10;
    return RecordOf(engine);
  }

  std::optional<BackendChoice> Choose(std::span<const BackendChoice> avoid = {}) {
    EngineDemand demand;
    demand.model = kModel;
    return selector.Choose(demand, avoid, {});
  }

  Instant now = std::chrono::seconds(1);
  MemberTable table;
  Metrics metrics;
  PeerNetwork network{"router-1", [] { return 0; }};
  IndexService index{"router-1", 100, &network, &metrics};
  EngineSelector selector{&table, &index, [this] { return now; }, [] { return 0; }};
};

TEST_CASE("An avoided engine is taken only when there is no other") {
  Picture picture;
  const BackendChoice first{"engine-1", 0};
  const BackendChoice second{"engine-2", 0};
  CHECK(picture.Choose(std::vector{first}) == second);
  CHECK(picture.Choose(std::vector{first, second}));
}

TEST_CASE("A leaving engine gets nothing; one that is down only when health signals leave none") {
  Picture picture;
  MemberRecord leaving = Picture::Record("engine-1");
  leaving.leaving = true;
  leaving.sequence = 1;
  picture.table.Merge(leaving, picture.now);
  CHECK(picture.Choose()->backend_id == "engine-2");

  picture.table.ConnectionFailed("engine-2", 0, false, picture.now);
  CHECK(!picture.Choose());
  CHECK(!picture.selector.HasRoom(kModel));
  picture.now += std::chrono::seconds(1);
  CHECK(picture.Choose()->backend_id == "engine-2");
  CHECK(picture.selector.HasRoom(kModel));
}

TEST_CASE("An engine has room until its places are taken") {
  Picture picture;
  EngineDemand demand;
  demand.model = kModel;
  CHECK(picture.selector.HasRoom(kModel));
  const auto first = picture.selector.Dispatched(demand, {"engine-1", 0});
  picture.selector.Dispatched(demand, {"engine-2", 0});
  CHECK(!picture.selector.HasRoom(kModel));
  picture.selector.Failed(first, demand);
  CHECK(picture.selector.HasRoom(kModel));
}

}  // namespace
}  // namespace kumquat
