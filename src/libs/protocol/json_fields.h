// Checked access to the fields of a JSON object, for the codecs of this layer.
#pragma once

#include <QJsonArray>
#include <QJsonObject>
#include <QJsonValue>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace kumquat {

// Reads the fields of one JSON object. The first wrong field stops the reading: ok() is false
// from then on, last_reason() names the field, and further reads leave their targets alone.
class JsonFields {
 public:
  explicit JsonFields(const QJsonObject& object) : object_(object) {}

  // Each reads a field that must be there, with a value in range.
  JsonFields& Read(const char* key, std::string* value, std::size_t max_bytes = 256);
  JsonFields& Read(const char* key, std::int64_t* value, std::int64_t lowest = 0,
                   std::int64_t highest = INT64_MAX);
  JsonFields& Read(const char* key, bool* value);
  JsonFields& Read(const char* key, double* value);
  JsonFields& Read(const char* key, std::vector<std::string>* value, std::size_t max_items = 1024);

  // Each leaves the target alone when the field is not there.
  template <typename Value, typename... Limits>
  JsonFields& ReadOptional(const char* key, Value* value, Limits... limits) {
    if (Has(key)) Read(key, value, limits...);
    return *this;
  }

  // Returns the items of an array field that may be missing; none then.
  std::vector<QJsonValue> Array(const char* key, std::size_t max_items);

  // Returns an object field that may be missing, as an empty object then.
  QJsonObject Object(const char* key);

  bool Has(const char* key) const { return object_.contains(QLatin1String(key)); }

  // Marks the reading as failed.
  void Fail(const char* key, std::string_view reason);

  bool ok() const { return last_reason_.empty(); }
  const std::string& last_reason() const { return last_reason_; }

 private:
  QJsonValue Value(const char* key) const { return object_.value(QLatin1String(key)); }

  QJsonObject object_;
  std::string last_reason_;
};

// Returns the list as a JSON array of strings.
QJsonArray ToJsonArray(const std::vector<std::string>& values);

// Returns the text as a QString; the text is UTF-8.
QString ToQString(std::string_view text);

// Parses a JSON object from bytes; nothing when the bytes are not one.
std::optional<QJsonObject> ParseJsonObject(std::string_view bytes);

// Renders a JSON object without white space.
std::string ToJsonText(const QJsonObject& object);

}  // namespace kumquat
