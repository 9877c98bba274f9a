// SPDX-License-Identifier: Apache-2.0
//
// A configuration is replaced while purchases are being sent slowly. Each purchase may run once.
#include <atomic>
#include <map>
#include <mutex>

#include "../common/settings.h"
#include "../common/stage.h"

namespace {

using namespace stage;

constexpr int kServers = 6, kWarmUp = 60, kPurchases = 4;
constexpr int kBodyBytes = 48 * 1024, kPieceBytes = 4096, kPieceMs = 62;  // about 64 kB a second

std::mutex mutex;
std::map<std::string, int> runs;       // of each purchase
std::atomic<bool> error_given{false};  // the one error of this run

// Reads the request whole, runs it, and answers 200; one purchase of the slow clients is answered with 500.
bool Serve(int number, const Message& request, int fd) {
  const std::string id = request.Header("req-id");
  {
    const std::lock_guard lock(mutex);
    ++runs[id];
  }
  Pause(20);
  const bool fails = id.starts_with("slow") && !error_given.exchange(true);
  Note("server s" + std::to_string(number) + " ran " + request.first_line + " Req-Id " + id + ", answers " +
       (fails ? "500" : "200"));
  return SendAll(fd, Response(fails ? 500 : 200, "done " + id));
}

void BuySlowly(int port, const std::string& id) {
  Client client(port);
  const std::string request = Request("kauf-buchen", id, 4000, std::string(kBodyBytes, 'b'), true);
  Note("client begins kauf-buchen Req-Id " + id);
  for (std::size_t at = 0; at < request.size(); at += kPieceBytes) {
    client.Send(request.substr(at, kPieceBytes));
    Pause(kPieceMs);
  }
  Note("client has sent the last byte of Req-Id " + id);
  Message answer;
  const bool whole = client.Read(&answer, 6000);
  Note("client got for Req-Id " + id + ": " + (whole ? answer.first_line + " " + answer.body : "no answer"));
}

int Run(const std::string& folder) {
  std::vector<std::unique_ptr<Server>> servers;
  std::vector<Entry> entries;
  for (int n = 1; n <= kServers; ++n) {
    servers.push_back(
        std::make_unique<Server>([n](const Message& request, int fd) { return Serve(n, request, fd); }));
    entries.push_back({"s-" + std::to_string(n), servers.back()->port()});
  }
  const Discovery discovery(entries);
  const int listen = FreePorts(1).front();
  const std::string known = ListOf(1, true, entries);
  std::vector<Class> classes = SiteClasses();
  Program proxy("n1", ConfigOf("n1", listen, discovery.port(), known, SettingsOf(classes)), folder);
  if (!Wait(10000, [&] { return Ready(listen); })) return kNoRun;

  for (int i = 0; i < kWarmUp; ++i) {
    Client client(listen);
    Message answer;
    const std::string id = "warm-" + std::to_string(i);
    client.Send(i % 2 ? Request("kauf-buchen", id, 4000, "b", true)
                      : Request("stand-laden", id, 1000, "", false));
    if (!client.Read(&answer, 2000) || answer.Status() != 200) return kNoRun;
  }
  std::vector<std::thread> clients;
  for (int i = 0; i < kPurchases; ++i) clients.emplace_back(BuySlowly, listen, "slow-" + std::to_string(i));
  Pause(350);
  if (Trouble()) {
    classes.erase(classes.begin() + 1);
    proxy.Configure(ConfigOf("n1", listen, discovery.port(), known, SettingsOf(classes)));
    Note("platform replaces the configuration: inventar-lesen is dropped; SIGHUP");
    proxy.Signal(SIGHUP);
  }
  for (std::thread& each : clients) each.join();
  Pause(500);
  if (!proxy.Runs() || (Trouble() && !proxy.Logged("reloaded"))) return kNoRun;
  const std::lock_guard lock(mutex);
  int most = 0;
  for (const auto& [id, count] : runs) {
    if (id.starts_with("slow")) Note("Req-Id " + id + " ran " + std::to_string(count) + " times");
    most = std::max(most, count);
  }
  return most > 1 ? kBroken : kHeld;
}

}  // namespace

// case FOLDER with|without
int main(int argc, char** argv) {
  if (argc != 3) return kNoRun;
  Trouble() = std::string(argv[2]) == "with";
  Note(std::string("played ") + argv[2] + " the disruption");
  const int result = Run(argv[1]);
  Note(result == kBroken ? "BROKEN" : result == kHeld ? "held" : "could not run");
  std::_Exit(result);
}
