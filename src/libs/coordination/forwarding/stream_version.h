// Decides which backend servers may go on with a stream, by the version of their software.
#pragma once

#include <optional>
#include <string>
#include <string_view>

namespace kumquat {

// What servers of two software versions write doesn't fit together, and servers don't check it. So
// a stream goes on only at the version whose first event reached its caller, in this answer or in
// an earlier one that the caller takes up. The memory of a run goes on only at the version that
// computed it.
class StreamVersion {
 public:
  // The caller takes up a stream that began at this version.
  void TakeUp(std::string_view software_version);

  // A run is sent to a server of this version without the memory of another run.
  void RunSent(std::string_view software_version);

  // An event of the run in progress is passed on.
  void EventPassedOn();

  // Returns whether a server of this version may run the request, from its beginning or after the
  // last event that was passed on.
  bool MayRun(std::string_view software_version) const;

  // Returns whether a server of this version may go on with the memory of the last run.
  bool MayGoOn(std::string_view software_version) const;

  // Returns the version that the stream has to go on at; nullopt while any server may begin it.
  const std::optional<std::string>& required() const { return stream_; }

 private:
  std::string run_;
  std::optional<std::string> stream_;
};

}  // namespace kumquat
