// kumquatctl: operators edit the two lists and read the status of control.
#include <fmt/format.h>

#include <QJsonArray>
#include <fstream>
#include <iostream>
#include <random>
#include <span>
#include <string>
#include <vector>

#include "control_client.h"
#include "list_file.h"
#include "log_story.h"
#include "protocol/control_messages.h"
#include "protocol/json_fields.h"
#include "protocol/key_digest.h"
#include "utils/application.h"
#include "utils/log.h"
#include "utils/program.h"

namespace kumquat {
namespace {

constexpr int kExitOk = 0;
constexpr int kExitFailed = 1;
constexpr int kExitConflict = 3;
constexpr int kExitInvalid = 4;
constexpr int kExitUnreachable = 5;
constexpr int kExitNotInForce = 6;

constexpr std::string_view kName = "kumquatctl";
constexpr std::string_view kPurpose =
    "Edits the plans and the allowances, and reads the status of control.\n"
    "\n"
    "Commands:\n"
    "  plans get, allowances get            Writes the list as a TOML file to standard output.\n"
    "  plans set FILE, allowances set FILE  Replaces the list by the file's. The edit is done\n"
    "                                       when it is in force on every router.\n"
    "  status                               Shows each control replica.\n"
    "  digest                               Reads a bearer key from standard input and prints\n"
    "                                       its digest for key_digests. Needs no --config.\n"
    "  explain ID FILE...                   Reads log files and prints the lines that tell of the\n"
    "                                       request, in order of time. Needs no --config.\n"
    "\n"
    "Exit status: 0 done, 1 failed, 2 wrong usage, 3 another edit came first, 4 the edit is\n"
    "invalid, 5 no replica answered, 6 accepted and not in force everywhere yet.";

struct Settings {
  std::vector<NamedEndpoint> control;
  Duration timeout = std::chrono::seconds(30);
};

Random MachineRandom() {
  return [generator = std::mt19937_64(std::random_device()())]() mutable { return generator(); };
}

// Prints the log lines that tell of the request, from the log files of any processes.
int Explain(std::string_view request, std::span<char* const> files) {
  LogStory story;
  for (const char* file : files) {
    std::ifstream lines(file);
    if (!lines) {
      fmt::print(stderr, "{}: the file can't be read.\n", file);
      return kExitInvalid;
    }
    for (std::string line; std::getline(lines, line);) story.Add(line);
  }
  const auto told = story.Tell(request);
  for (const LogLine& line : told) fmt::print("{}\n", line.text);
  if (!told.empty()) return kExitOk;
  fmt::print(stderr, "No line names the request {}.\n", request);
  return kExitFailed;
}

int PrintDigest() {
  std::string key;
  std::getline(std::cin, key);
  if (key.empty()) {
    fmt::print(stderr, "Standard input holds no key.\n");
    return kExitInvalid;
  }
  fmt::print("{}\n", KeyDigest(key));
  return kExitOk;
}

int NoAnswer() {
  fmt::print(stderr, "No control replica that leads has answered.\n");
  return kExitUnreachable;
}

// Runs one command against the control replicas.
class Command {
 public:
  Command(const Settings& settings, ControlClient* control)
      : settings_(settings), control_(control) {}

  int Get(ListName list) {
    const auto json = control_->CallLeader(
        control_method::kGetList, {{"list", ToQString(ListNameText(list))}}, settings_.timeout);
    if (!json) return NoAnswer();
    std::string reason;
    const auto answer = ParseListAnswer(*json, &reason);
    if (!answer) return Failed(reason);
    if (answer->error) return Failed(answer->error->detail);
    fmt::print("{}", RenderListFile(list, answer->revision, answer->content));
    return kExitOk;
  }

  int Set(ListName list, const std::string& path) {
    std::string reason;
    const auto edit = ReadListFile(list, path, &reason);
    if (!edit) {
      fmt::print(stderr, "{}: {}\n", path, reason);
      return kExitInvalid;
    }
    const Clock clock = SteadyClock();
    const Instant deadline = clock() + settings_.timeout;
    // An edit that is not in force yet is sent again, and gets the same answer.
    std::optional<std::int64_t> accepted;
    while (clock() < deadline) {
      const auto json =
          control_->CallLeader(control_method::kSetList, ToJson(*edit), deadline - clock());
      if (!json) break;
      const auto answer = ParseListAnswer(*json, &reason);
      if (!answer) return Failed(reason);
      if (answer->error) return Refused(*answer);
      accepted = answer->revision;
      if (!answer->in_force) continue;
      fmt::print("Revision {} is in force on every router.\n", *accepted);
      return kExitOk;
    }
    if (!accepted) return NoAnswer();
    fmt::print("Revision {} is accepted and not yet in force on every router.\n", *accepted);
    return kExitNotInForce;
  }

  int Status() {
    bool answered = false;
    for (const auto& replica : control_->Statuses()) {
      if (!replica.status) {
        const bool refused = replica.outcome == ConnectOutcome::kRefused;
        fmt::print("{}: {}\n", replica.name, refused ? "not running" : "no answer");
        continue;
      }
      answered = true;
      fmt::print("{}: {}\n", replica.name, ToJsonText(*replica.status));
    }
    return answered ? kExitOk : NoAnswer();
  }

 private:
  static int Failed(const std::string& reason) {
    fmt::print(stderr, "Control has answered with an error: {}\n", reason);
    return kExitFailed;
  }

  static int Refused(const ListAnswer& answer) {
    const Error& error = *answer.error;
    fmt::print(stderr, "{} {}\n", AnswerFor(error.kind).sentence, error.detail);
    if (error.kind == ErrorKind::kRevisionConflict) return kExitConflict;
    return error.kind == ErrorKind::kListInvalid ? kExitInvalid : kExitFailed;
  }

  const Settings& settings_;
  ControlClient* control_;
};

int Usage() {
  fmt::print(stderr, "{}: the command is not known; see --help.\n", kName);
  return kExitUsage;
}

int RunCommand(const std::vector<std::string>& words, Command& command) {
  if (words == std::vector<std::string>{"status"}) return command.Status();
  const auto list = words.empty() ? std::nullopt : ParseListName(words[0]);
  if (!list || words.size() < 2) return Usage();
  if (words[1] == "get" && words.size() == 2) return command.Get(*list);
  if (words[1] == "set" && words.size() == 3) return command.Set(*list, words[2]);
  return Usage();
}

int Main(int argc, char** argv) {
  if (argc == 2 && std::string_view(argv[1]) == "digest") return PrintDigest();
  if (argc >= 4 && std::string_view(argv[1]) == "explain") {
    const std::span<char*> words(argv, static_cast<std::size_t>(argc));
    return Explain(words[2], words.subspan(3));
  }
  Settings settings;
  SettingsReader reader;
  reader.Add("control", &settings.control, "The control replicas.").Required();
  reader.Add("timeout_ms", &settings.timeout, {100, 600'000},
             "How long a command tries to get its answer.");
  if (const auto status = StartProgram(&argc, &argv, kName, KUMQUAT_VERSION, kPurpose, reader)) {
    return *status;
  }
  if (settings.control.empty()) {
    fmt::print(stderr, "control: at least one replica is needed.\n");
    return kExitUsage;
  }
  ConfigureLog(kName, LogLevel::kError, {.descriptor = kStandardError});
  const Application application(argc, argv);
  ControlClient control(settings.control, MachineRandom());
  Command command(settings, &control);
  return RunCommand({argv + 1, argv + argc}, command);
}

}  // namespace
}  // namespace kumquat

int main(int argc, char** argv) { return kumquat::Main(argc, argv); }
