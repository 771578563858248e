#include "protocol/error_kind.h"

#include <doctest/doctest.h>

#include <set>

#include "protocol/json_fields.h"

namespace kumquat {
namespace {

TEST_CASE("Each row of the answer table stands at its kind and renders its whole answer") {
  std::set<std::string_view> names;
  for (std::size_t i = 0; i < ErrorAnswers().size(); ++i) {
    const ErrorAnswer& row = ErrorAnswers()[i];
    CHECK(static_cast<std::size_t>(row.kind) == i);
    CHECK(&AnswerFor(row.kind) == &row);
    CHECK(names.insert(row.name).second);
    CHECK(row.http_status >= 400);
    CHECK(row.sentence.back() == '.');
    CHECK(ErrorKindFromName(row.name) == row.kind);

    const auto body = ParseJsonObject(ErrorBody({row.kind, "", std::nullopt}));
    REQUIRE(body);
    const QJsonObject error = body->value("error").toObject();
    CHECK(error["kind"].toString().toStdString() == row.name);
    CHECK(error["ran"].toString().toStdString() == RanName(row.ran));
    CHECK(error.contains("retry_after") == row.retry_after.has_value());
  }
  CHECK(static_cast<std::size_t>(ErrorKind::kInternal) + 1 == ErrorAnswers().size());
}

TEST_CASE("Every refusal that may be sent again says when to come back") {
  for (const ErrorAnswer& row : ErrorAnswers()) {
    const bool temporary = row.http_status == 503 || row.http_status == 429;
    // What began the stream doesn't come back.
    const bool is_final =
        row.kind == ErrorKind::kStreamOriginUnknown || row.kind == ErrorKind::kStreamVersionGone;
    if (temporary) CHECK(row.retry_after.has_value() == !is_final);
    if (temporary) CHECK(row.ran == Ran::kNo);
  }
}

}  // namespace
}  // namespace kumquat
