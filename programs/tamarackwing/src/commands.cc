#include "commands.h"

#include <gflags/gflags.h>

#include <array>
#include <fstream>
#include <functional>
#include <iostream>
#include <nlohmann/json.hpp>
#include <optional>
#include <random>
#include <sstream>
#include <thread>
#include <utility>

#include "load_run.h"
#include "operator_client.h"
#include "tamarackwing/base/digest.h"
#include "tamarackwing/state/set_parser.h"

DEFINE_string(operators,
              "127.0.0.1:7003",
              "ADDRESS:PORT of a host's listener for operators");
DEFINE_string(token, "", "token of the operators");
DEFINE_string(set, "", "path of a configuration set (TOML)");
DEFINE_uint64(base, 0, "version on which the set is based");
DEFINE_string(id,
              "",
              "publish id; a resend with the same id gets the first outcome");
DEFINE_bool(partial, false, "add and replace only what the set names");
DEFINE_bool(wait, false, "wait until the set is in force on every host");
DEFINE_uint32(wait_seconds, 10, "how long to wait");
DEFINE_string(key, "", "a caller's key; only its digest leaves this program");
DEFINE_string(digest, "", "a key's digest, in place of the key");
DEFINE_string(workspace, "", "the key's workspace");
DEFINE_string(regions, "", "home regions, separated by commas");
DEFINE_string(experiment, "", "path of an experiment (TOML)");

namespace tamarackwing::cli {
namespace {

using nlohmann::json;

constexpr std::chrono::milliseconds kPollInterval{100};

struct Command {
  const char* name;
  const char* help;
  ExitCode (*run)(const std::vector<std::string>& arguments);
};

std::optional<std::string> ReadFile(const std::string& path) {
  const std::ifstream file(path);
  if (!file) {
    std::cerr << "cannot read " << path << "\n";
    return std::nullopt;
  }
  std::ostringstream text;
  text << file.rdbuf();
  return text.str();
}

std::string NewPublishId() {
  std::random_device device;
  std::ostringstream id;
  id << std::hex << device() << device() << device();
  return id.str();
}

void PrintFaults(const json& faults) {
  for (const json& fault : faults) {
    std::cerr << fault.value("path", "") << ": " << fault.value("code", "");
    if (fault.value("line", 0) != 0) {
      std::cerr << " (line " << fault["line"] << ")";
    }
    if (!fault.value("found", "").empty()) {
      std::cerr << ", found " << fault["found"];
    }
    std::cerr << "\n";
  }
}

ExitCode ExitCodeOf(unsigned status) {
  switch (status) {
    case 200:
      return ExitCode::kDone;
    case 409:
      return ExitCode::kConflict;
    case 422:
      return ExitCode::kFaults;
    case 503:
      return ExitCode::kUnavailable;
    default:
      return ExitCode::kRefused;
  }
}

//! Calls the operators' API. Stores the JSON response in `result`, or prints it
//! if `result` is null; prints validation errors in either case.
ExitCode CallAndPrint(const std::string& method,
                      const std::string& target,
                      http::Headers headers,
                      std::string body,
                      json* result = nullptr) {
  const auto endpoint = http::ParseEndpoint(FLAGS_operators);
  if (!endpoint) {
    std::cerr << "--operators must be ADDRESS:PORT\n";
    return ExitCode::kUsage;
  }
  OperatorClient client(*endpoint, FLAGS_token);
  const auto response =
      client.Call(method, target, std::move(headers), std::move(body));
  if (!response) {
    std::cerr << FLAGS_operators << " does not respond\n";
    return ExitCode::kUnavailable;
  }
  json document = json::parse(response->body, nullptr, false);
  if (document.is_discarded()) {
    document = json::object();
  }
  if (document.contains("faults")) {
    PrintFaults(document["faults"]);
    document.erase("faults");
  }
  if (result != nullptr) {
    *result = document;
  } else {
    std::cout << document.dump(2) << "\n";
  }
  return ExitCodeOf(response->head.status);
}

http::Headers PublishHeaders() {
  http::Headers headers;
  headers.Add("Base-Version", std::to_string(FLAGS_base));
  headers.Add("Publish-Id", FLAGS_id.empty() ? NewPublishId() : FLAGS_id);
  headers.Add("Partial", FLAGS_partial ? "true" : "false");
  return headers;
}

ExitCode Check(const std::vector<std::string>&) {
  const auto text = ReadFile(FLAGS_set);
  if (!text) {
    return ExitCode::kUsage;
  }
  const auto set = state::ParseSet(*text);
  if (!set) {
    for (const config::Fault& fault : set.error()) {
      std::cerr << FLAGS_set << ":" << fault.line << ": " << fault.path << ": "
                << config::FaultName(fault.code) << "\n";
    }
    return ExitCode::kFaults;
  }
  return CallAndPrint("POST", "/v1/check", PublishHeaders(), *text);
}

//! Waits until every host has confirmed a version; on timeout, prints the hosts
//! that have not.
ExitCode WaitForVersion(std::uint64_t version) {
  const auto until = std::chrono::steady_clock::now() +
                     std::chrono::seconds(FLAGS_wait_seconds);
  std::vector<std::string> behind;
  while (std::chrono::steady_clock::now() < until) {
    json status;
    behind = {"any host (no status from a leader)"};
    const ExitCode code = CallAndPrint("GET", "/v1/status", {}, "", &status);
    if (code == ExitCode::kDone && !status["leader"].is_null()) {
      behind.clear();
      for (const json& host : status["hosts"]) {
        if (host.value("version", std::uint64_t{0}) < version) {
          behind.push_back(host.value("name", ""));
        }
      }
      if (behind.empty()) {
        std::cout << "in force on " << status["hosts"].size() << " hosts\n";
        return ExitCode::kDone;
      }
    }
    std::this_thread::sleep_for(kPollInterval);
  }
  for (const std::string& host : behind) {
    std::cerr << "not confirmed by " << host << "\n";
  }
  return ExitCode::kNotEverywhere;
}

ExitCode Publish(const std::vector<std::string>&) {
  const auto text = ReadFile(FLAGS_set);
  if (!text) {
    return ExitCode::kUsage;
  }
  json result;
  const ExitCode code =
      CallAndPrint("POST", "/v1/sets", PublishHeaders(), *text, &result);
  std::cout << result.dump() << "\n";
  if (code != ExitCode::kDone || !FLAGS_wait) {
    return code;
  }
  return WaitForVersion(result.value("version", std::uint64_t{0}));
}

ExitCode Show(const std::vector<std::string>&) {
  return CallAndPrint("GET", "/v1/set", {}, "");
}

ExitCode Status(const std::vector<std::string>&) {
  return CallAndPrint("GET", "/v1/status", {}, "");
}

std::string KeyDigestFromFlags() {
  return FLAGS_key.empty() ? FLAGS_digest : DigestKey(FLAGS_key).Text();
}

ExitCode Key(const std::vector<std::string>& arguments) {
  const std::string action = arguments.size() > 1 ? arguments[1] : "";
  if (KeyDigestFromFlags().empty() ||
      (action != "grant" && action != "withdraw")) {
    std::cerr << HelpText("key");
    return ExitCode::kUsage;
  }
  json body;
  body["digest"] = KeyDigestFromFlags();
  if (action == "withdraw") {
    return CallAndPrint("POST", "/v1/keys/withdraw", {}, body.dump());
  }
  body["workspace"] = FLAGS_workspace;
  body["home_regions"] = json::array();
  std::istringstream regions(FLAGS_regions);
  for (std::string region; std::getline(regions, region, ',');) {
    body["home_regions"].push_back(region);
  }
  return CallAndPrint("POST", "/v1/keys", PublishHeaders(), body.dump());
}

ExitCode Host(const std::vector<std::string>& arguments) {
  const bool is_valid = arguments.size() == 3 &&
                        (arguments[1] == "drain" || arguments[1] == "remove");
  if (!is_valid) {
    std::cerr << HelpText("host");
    return ExitCode::kUsage;
  }
  return CallAndPrint("POST", "/v1/hosts/" + arguments[2] + "/" + arguments[1],
                      {}, "");
}

ExitCode Load(const std::vector<std::string>&) {
  const auto text = ReadFile(FLAGS_experiment);
  if (!text) {
    return ExitCode::kUsage;
  }
  return RunExperiment(*text);
}

constexpr std::array kCommands = {
    Command{"check",
            "check --set FILE --base VERSION\n"
            "    Validates a set locally and on a host. Changes nothing.\n",
            Check},
    Command{
        "publish",
        "publish --set FILE --base VERSION [--id ID] [--partial] [--wait]\n"
        "    Publishes a set that is based on VERSION. A resend with the same\n"
        "    ID gets the first outcome. --wait waits until all hosts confirm\n"
        "    the set, and prints those that do not.\n",
        Publish},
    Command{"show", "show\n    Prints the set in force.\n", Show},
    Command{
        "status",
        "status\n    Prints the leader, the voters and each host's version.\n",
        Status},
    Command{"key",
            "key grant --key KEY --workspace NAME --regions A,B\n"
            "key withdraw --key KEY | --digest DIGEST\n"
            "    Grants a key, or withdraws one permanently.\n",
            Key},
    Command{"host",
            "host drain NAME\nhost remove NAME\n"
            "    Drains a host, or removes one that no longer exists.\n",
            Host},
    Command{
        "load",
        "load --experiment FILE\n"
        "    Sends a limited load to hosts and reports results by workspace.\n",
        Load},
};

}  // namespace

ExitCode RunCommand(const std::vector<std::string>& arguments) {
  for (const Command& command : kCommands) {
    if (!arguments.empty() && arguments[0] == command.name) {
      return command.run(arguments);
    }
  }
  std::cerr << HelpText("");
  return ExitCode::kUsage;
}

std::string HelpText(const std::string& name) {
  std::string all =
      "usage: tamarackwing COMMAND [--operators ADDRESS:PORT]"
      " [--token TOKEN] ...\n\n";
  for (const Command& command : kCommands) {
    if (name == command.name) {
      return std::string("usage: tamarackwing ") + command.help;
    }
    all += command.help;
  }
  return all;
}

}  // namespace tamarackwing::cli
