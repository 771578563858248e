// The files of one data folder: locked against other processes, replaced whole or appended to, and
// counted as written only after a sync.
#pragma once

#include <sys/types.h>

#include <cstddef>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace kumquat {

// The system calls that can fail on a bad or full disk, with their usual results and errno. Tests
// pass failing ones.
struct FileCalls {
  std::function<ssize_t(int descriptor, const void* data, std::size_t size)> write;
  std::function<int(int descriptor)> sync;
};

// Returns the calls of the operating system.
FileCalls SystemFileCalls();

namespace Internal {

class DataFolder {
 public:
  DataFolder(std::string path, FileCalls calls);
  ~DataFolder();
  DataFolder(const DataFolder&) = delete;
  DataFolder& operator=(const DataFolder&) = delete;

  // Creates the folder where it is missing and takes its lock; false when another process has it.
  bool Open();

  // Returns the names of the files that begin with the prefix, in order.
  std::vector<std::string> Names(std::string_view prefix) const;

  // Returns nothing when there is no such file or it can't be read; last_reason() is empty when
  // there is none.
  std::optional<std::string> Read(const std::string& name);

  // Writes a new file beside the old one, syncs it and puts it in the old one's place, durably.
  bool Replace(const std::string& name, std::string_view bytes);

  // Opens the file for appending; it is the one that Append() and Sync() work on.
  bool OpenForAppend(const std::string& name);
  bool Append(std::string_view bytes);
  bool Sync();

  // Cuts the file off at this length, durably.
  bool Cut(const std::string& name, std::size_t length);

  bool Remove(const std::string& name);
  std::string PathOf(std::string_view name) const;
  const std::string& last_reason() const { return last_reason_; }

 private:
  bool Fail(std::string_view what, std::string_view name);
  bool WriteAll(int descriptor, std::string_view bytes);
  bool SyncFolder();

  std::string path_;
  FileCalls calls_;
  int lock_ = -1;
  int appended_ = -1;
  std::string appended_name_;
  std::string last_reason_;
};

}  // namespace Internal
}  // namespace kumquat
