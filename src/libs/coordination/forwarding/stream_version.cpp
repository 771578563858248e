#include "coordination/forwarding/stream_version.h"

namespace kumquat {

void StreamVersion::TakeUp(std::string_view software_version) { stream_.emplace(software_version); }

void StreamVersion::RunSent(std::string_view software_version) { run_ = software_version; }

void StreamVersion::EventPassedOn() {
  if (!stream_) stream_ = run_;
}

bool StreamVersion::MayRun(std::string_view software_version) const {
  return !stream_ || *stream_ == software_version;
}

bool StreamVersion::MayGoOn(std::string_view software_version) const {
  return run_ == software_version && MayRun(software_version);
}

}  // namespace kumquat
