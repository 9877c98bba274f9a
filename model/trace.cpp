// SPDX-License-Identifier: Apache-2.0
#include "model/trace.h"

#include <array>
#include <charconv>
#include <optional>
#include <sstream>

namespace load_balancer::model {
namespace {

constexpr std::string_view kHead = "flintspar-trace 1";

// The shortest that reads back as the same figure.
std::string Text(double figure) {
  std::array<char, 32> text;
  const auto end = std::to_chars(text.data(), text.data() + text.size(), figure).ptr;
  return {text.data(), end};
}

template <typename T>
std::optional<T> Figure(std::string_view text) {
  T figure{};
  const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), figure);
  if (error != std::errc() || end != text.data() + text.size()) return std::nullopt;
  return figure;
}

// "key=value" of a line, the key as stated.
std::optional<std::string_view> Value(std::string_view word, std::string_view key) {
  if (!word.starts_with(key) || word.size() == key.size() || word[key.size()] != '=') return std::nullopt;
  return word.substr(key.size() + 1);
}

std::optional<FaultKind> KindOf(std::string_view name) {
  for (int i = 0; i < kFaultKinds; ++i)
    if (Name(static_cast<FaultKind>(i)) == name) return static_cast<FaultKind>(i);
  return std::nullopt;
}

std::optional<std::vector<std::size_t>> Machines(std::string_view list) {
  std::vector<std::size_t> machines;
  while (!list.empty()) {
    const auto comma = list.find(',');
    const auto machine = Figure<std::size_t>(list.substr(0, comma));
    if (!machine) return std::nullopt;
    machines.push_back(*machine);
    if (comma == std::string_view::npos) break;
    list.remove_prefix(comma + 1);
    if (list.empty()) return std::nullopt;
  }
  return machines;
}

std::optional<Fault> ReadFault(const std::vector<std::string>& words) {
  if (words.size() != 6) return std::nullopt;
  const auto at = Value(words[1], "at_ns"), lasts = Value(words[2], "lasts_ns"),
             kind = Value(words[3], "kind"), who = Value(words[4], "who"), figure = Value(words[5], "figure");
  if (!at || !lasts || !kind || !who || !figure) return std::nullopt;
  const auto begins = Figure<Moment::rep>(*at), spans = Figure<Moment::rep>(*lasts);
  const auto of = KindOf(*kind);
  const auto machines = Machines(*who);
  const auto by = Figure<double>(*figure);
  if (!begins || !spans || !of || !machines || !by) return std::nullopt;
  return Fault{Moment(*begins), Moment(*spans), *of, *machines, *by};
}

std::vector<std::string> Words(const std::string& line) {
  std::istringstream in(line);
  std::vector<std::string> words;
  for (std::string word; in >> word;) words.push_back(word);
  return words;
}

}  // namespace

std::string Write(const Trace& trace) {
  std::string text = std::string(kHead) + "\nseed " + std::to_string(trace.seed) + "\n";
  for (const Fault& fault : trace.faults) {
    text += "fault at_ns=" + std::to_string(fault.at.count()) +
            " lasts_ns=" + std::to_string(fault.lasts.count()) + " kind=" + std::string(Name(fault.kind)) +
            " who=";
    for (std::size_t i = 0; i < fault.who.size(); ++i) {
      if (i > 0) text += ',';
      text += std::to_string(fault.who[i]);
    }
    text += " figure=" + Text(fault.figure) + "\n";
  }
  return text;
}

tl::expected<Trace, std::string> ReadTrace(std::string_view text) {
  std::istringstream in{std::string(text)};
  Trace trace;
  int number = 0;
  for (std::string line; std::getline(in, line);) {
    const auto wrong = [&] { return tl::unexpected("line " + std::to_string(number) + ": " + line); };
    const auto words = Words(line);
    if (++number == 1) {
      if (line != kHead) return wrong();
    } else if (number == 2) {
      const auto seed =
          words.size() == 2 && words[0] == "seed" ? Figure<std::uint64_t>(words[1]) : std::nullopt;
      if (!seed) return wrong();
      trace.seed = *seed;
    } else {
      const auto fault = !words.empty() && words[0] == "fault" ? ReadFault(words) : std::nullopt;
      if (!fault) return wrong();
      trace.faults.push_back(*fault);
    }
  }
  if (number < 2) return tl::unexpected(std::string("not a whole trace"));
  return trace;
}

}  // namespace load_balancer::model
