#include "state/storage/record.h"

#include <xxhash.h>

#include <cstring>

namespace kumquat::Internal {
namespace {

constexpr std::string_view kMagic = "kqrc";
constexpr std::size_t kLengthOffset = kMagic.size();
constexpr std::size_t kChecksumOffset = kLengthOffset + sizeof(std::uint64_t);
constexpr std::size_t kHeaderBytes = kChecksumOffset + sizeof(std::uint64_t);

std::uint64_t ReadNumber(std::string_view bytes, std::size_t offset) {
  std::uint64_t number = 0;
  std::memcpy(&number, bytes.data() + offset, sizeof(number));
  return number;
}

void AppendNumber(std::string& bytes, std::uint64_t number) {
  bytes.append(std::string_view(reinterpret_cast<const char*>(&number), sizeof(number)));
}

// The length needs no place in the sum: another length takes in other bytes.
std::uint64_t Checksum(std::string_view payload, std::uint64_t storage_identity,
                       std::size_t offset) {
  const std::uint64_t place[2] = {storage_identity, offset};
  const std::uint64_t seed = XXH3_64bits(place, sizeof(place));
  return XXH3_64bits_withSeed(payload.data(), payload.size(), seed);
}

}  // namespace

std::string MakeRecord(std::string_view payload, std::uint64_t storage_identity,
                       std::size_t offset) {
  std::string record(kMagic);
  AppendNumber(record, payload.size());
  AppendNumber(record, Checksum(payload, storage_identity, offset));
  record += payload;
  return record;
}

std::optional<FoundRecord> RecordAt(std::string_view file, std::size_t offset,
                                    std::uint64_t storage_identity) {
  if (offset + kHeaderBytes > file.size()) return std::nullopt;
  const std::string_view bytes = file.substr(offset);
  if (!bytes.starts_with(kMagic)) return std::nullopt;
  const std::uint64_t length = ReadNumber(bytes, kLengthOffset);
  if (length > bytes.size() - kHeaderBytes) return std::nullopt;
  const std::string_view payload = bytes.substr(kHeaderBytes, length);
  const std::uint64_t checksum = ReadNumber(bytes, kChecksumOffset);
  if (checksum != Checksum(payload, storage_identity, offset)) return std::nullopt;
  return FoundRecord{payload, offset + kHeaderBytes + length};
}

std::optional<std::size_t> NextRecordAfter(std::string_view file, std::size_t offset,
                                           std::uint64_t storage_identity) {
  std::size_t candidate = file.find(kMagic, offset + 1);
  while (candidate != std::string_view::npos) {
    if (RecordAt(file, candidate, storage_identity)) return candidate;
    candidate = file.find(kMagic, candidate + 1);
  }
  return std::nullopt;
}

}  // namespace kumquat::Internal
