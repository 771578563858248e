#include "service_directory.h"

#include <doctest/doctest.h>

#include "coordination/membership/member_table.h"

namespace kumquat {
namespace {

MemberRecord Bookings(const std::string& id, bool book_repeatable) {
  Announcement service;
  service.backend_id = id;
  service.kind = BackendKind::kService;
  service.service = "bookings";
  service.operations = {{"POST", "/book", book_repeatable}, {"GET", "/cards/*", true}};
  return RecordOf(service);
}

TEST_CASE("An operation counts as repeatable only when all that offer it say so") {
  MemberTable table;
  const Instant now = std::chrono::seconds(1);
  ServiceDirectory directory(&table, [now] { return now; });
  CHECK(!directory.Find("bookings", "POST", "/book"));
  table.Merge(Bookings("b1", true), now);
  CHECK(directory.Find("bookings", "POST", "/book")->repeatable);
  table.Merge(Bookings("b2", false), now);
  CHECK(!directory.Find("bookings", "POST", "/book")->repeatable);
  CHECK(directory.Find("bookings", "GET", "/cards/17"));
  CHECK(!directory.Find("bookings", "GET", "/book"));

  const auto target = directory.Find("bookings", "POST", "/book");
  directory.Started("b1");
  CHECK(directory.Choose(*target, {})->backend_id == "b2");
  CHECK(directory.Choose(*target, std::vector<BackendChoice>{{"b2", 0}})->backend_id == "b1");
  table.ConnectionFailed("b1", 0, false, now);
  CHECK(directory.Choose(*target, std::vector<BackendChoice>{{"b2", 0}})->backend_id == "b2");
}

}  // namespace
}  // namespace kumquat
