// SPDX-License-Identifier: Apache-2.0
#include "model/trace.h"

#include <array>
#include <charconv>
#include <optional>
#include <sstream>

namespace load_balancer::model {
namespace {

constexpr std::string_view kHeader = "flintspar-trace 1";

// Returns the shortest text that parses to the same number.
std::string FormatNumber(double number) {
  std::array<char, 32> text;
  const auto end = std::to_chars(text.data(), text.data() + text.size(), number).ptr;
  return {text.data(), end};
}

template <typename T>
std::optional<T> ParseNumber(std::string_view text) {
  T number{};
  const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), number);
  if (error != std::errc() || end != text.data() + text.size()) return std::nullopt;
  return number;
}

// Returns the value of a "key=value" word, or nothing if the word has another key.
std::optional<std::string_view> ValueOf(std::string_view word, std::string_view key) {
  if (!word.starts_with(key) || word.size() == key.size() || word[key.size()] != '=') return std::nullopt;
  return word.substr(key.size() + 1);
}

std::optional<FaultKind> ParseKind(std::string_view name) {
  for (int i = 0; i < kFaultKinds; ++i)
    if (Name(static_cast<FaultKind>(i)) == name) return static_cast<FaultKind>(i);
  return std::nullopt;
}

std::optional<std::vector<std::size_t>> ParseMachines(std::string_view list) {
  std::vector<std::size_t> machines;
  while (!list.empty()) {
    const auto comma = list.find(',');
    const auto machine = ParseNumber<std::size_t>(list.substr(0, comma));
    if (!machine) return std::nullopt;
    machines.push_back(*machine);
    if (comma == std::string_view::npos) break;
    list.remove_prefix(comma + 1);
    if (list.empty()) return std::nullopt;
  }
  return machines;
}

std::optional<Fault> ParseFault(const std::vector<std::string>& words) {
  if (words.size() != 6) return std::nullopt;
  const auto at_text = ValueOf(words[1], "at_ns"), duration_text = ValueOf(words[2], "lasts_ns"),
             kind_text = ValueOf(words[3], "kind"), machines_text = ValueOf(words[4], "who"),
             magnitude_text = ValueOf(words[5], "figure");
  if (!at_text || !duration_text || !kind_text || !machines_text || !magnitude_text) return std::nullopt;
  const auto at = ParseNumber<Moment::rep>(*at_text), duration = ParseNumber<Moment::rep>(*duration_text);
  const auto kind = ParseKind(*kind_text);
  const auto machines = ParseMachines(*machines_text);
  const auto magnitude = ParseNumber<double>(*magnitude_text);
  if (!at || !duration || !kind || !machines || !magnitude) return std::nullopt;
  return Fault{Moment(*at), Moment(*duration), *kind, *machines, *magnitude};
}

std::vector<std::string> SplitWords(const std::string& line) {
  std::istringstream in(line);
  std::vector<std::string> words;
  for (std::string word; in >> word;) words.push_back(word);
  return words;
}

}  // namespace

std::string WriteTrace(const Trace& trace) {
  std::string text = std::string(kHeader) + "\nseed " + std::to_string(trace.seed) + "\n";
  for (const Fault& fault : trace.faults) {
    text += "fault at_ns=" + std::to_string(fault.at.count()) +
            " lasts_ns=" + std::to_string(fault.duration.count()) + " kind=" + std::string(Name(fault.kind)) +
            " who=";
    for (std::size_t i = 0; i < fault.machines.size(); ++i) {
      if (i > 0) text += ',';
      text += std::to_string(fault.machines[i]);
    }
    text += " figure=" + FormatNumber(fault.magnitude) + "\n";
  }
  return text;
}

tl::expected<Trace, std::string> ReadTrace(std::string_view text) {
  std::istringstream in{std::string(text)};
  Trace trace;
  int number = 0;
  for (std::string line; std::getline(in, line);) {
    const auto invalid_line = [&] { return tl::unexpected("line " + std::to_string(number) + ": " + line); };
    const auto words = SplitWords(line);
    if (++number == 1) {
      if (line != kHeader) return invalid_line();
    } else if (number == 2) {
      const auto seed =
          words.size() == 2 && words[0] == "seed" ? ParseNumber<std::uint64_t>(words[1]) : std::nullopt;
      if (!seed) return invalid_line();
      trace.seed = *seed;
    } else {
      const auto fault = !words.empty() && words[0] == "fault" ? ParseFault(words) : std::nullopt;
      if (!fault) return invalid_line();
      trace.faults.push_back(*fault);
    }
  }
  if (number < 2)
    return tl::unexpected(std::string("the trace is incomplete: the header or the seed line is missing"));
  return trace;
}

}  // namespace load_balancer::model
