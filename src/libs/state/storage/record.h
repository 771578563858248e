// Checksummed records, one after the other in a file.
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace kumquat::Internal {

// Returns the record of this payload. The checksum covers the storage identity and the offset too,
// so that a record of another replica, another place, or inside a payload doesn't pass.
std::string MakeRecord(std::string_view payload, std::uint64_t storage_identity,
                       std::size_t offset);

// A record that passed its checks.
struct FoundRecord {
  std::string_view payload;

  // The offset after the record.
  std::size_t end = 0;
};

// Returns the record at this offset; nothing when it isn't whole and right.
std::optional<FoundRecord> RecordAt(std::string_view file, std::size_t offset,
                                    std::uint64_t storage_identity);

// Returns the offset of the first right record that begins behind `offset`.
std::optional<std::size_t> NextRecordAfter(std::string_view file, std::size_t offset,
                                           std::uint64_t storage_identity);

}  // namespace kumquat::Internal
