#include "utils/settings.h"

#include <doctest/doctest.h>

#include <QTemporaryDir>
#include <fstream>

namespace kumquat {
namespace {

struct Sample {
  std::string name = "unnamed";
  std::int64_t count = 3;
  Duration wait = std::chrono::milliseconds(250);
  Endpoint listen;
  std::vector<NamedEndpoint> peers;
};

// Reads the text as a settings file; returns the reason why it was refused, empty when it wasn't.
std::string ReadText(const std::string& text, Sample* sample) {
  const QTemporaryDir folder;
  const std::string path = folder.filePath("test.toml").toStdString();
  std::ofstream(path) << text;
  SettingsReader reader;
  reader.Add("name", &sample->name, "The name.").Required();
  reader.Add("limits.count", &sample->count, {1, 10}, "How many.");
  reader.Add("limits.wait_ms", &sample->wait, {1, 1000}, "How long.");
  reader.Add("listen", &sample->listen, "Where.");
  reader.Add("peers", &sample->peers, "Who else.");
  reader.ReadFile(path);
  return reader.last_reason();
}

TEST_CASE("Settings are read into typed values, and defaults stay") {
  Sample sample;
  CHECK(ReadText("name = \"r1\"\nlisten = \"127.0.0.1:80\"\npeers = [\"r2@127.0.0.2:81\"]\n"
                 "[limits]\nwait_ms = 40\n",
                 &sample) == "");
  CHECK(sample.name == "r1");
  CHECK(sample.count == 3);
  CHECK(sample.wait == std::chrono::milliseconds(40));
  CHECK(sample.listen == Endpoint{"127.0.0.1", 80});
  CHECK(sample.peers == std::vector<NamedEndpoint>{{"r2", {"127.0.0.2", 81}}});
}

TEST_CASE("A wrong settings file is refused in one line with file, key and reason") {
  const auto refused = [](const std::string& text, const std::string& key) {
    Sample sample;
    const std::string reason = ReadText(text, &sample);
    CHECK(reason.find("test.toml") != std::string::npos);
    CHECK(reason.find(key) != std::string::npos);
    CHECK(reason.find('\n') == std::string::npos);
  };
  refused("name = \"a\"\nnmae = 1\n", "nmae");
  refused("name = 1\n", "name");
  refused("name = \"a\"\n[limits]\ncount = 11\n", "limits.count");
  refused("name = \"a\"\nlisten = \"example.org:80\"\n", "listen");
  refused("name = \"a\"\npeers = [\"r2\"]\n", "peers");
  refused("[limits]\ncount = 2\n", "name");
  refused("name = \n", "TOML");
}

}  // namespace
}  // namespace kumquat
