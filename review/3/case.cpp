// SPDX-License-Identifier: Apache-2.0
//
// A client sends a body of which the head's Connection field names Content-Length. Nothing of its body may
// reach a server as a request of its own.
#include <atomic>
#include <mutex>
#include <set>

#include "../common/settings.h"
#include "../common/stage.h"

namespace {

using namespace stage;

constexpr int kServers = 3;
constexpr std::size_t kBodyBytes = 96 * 1024;

std::mutex mutex;
std::set<std::string> sent;             // the ids of all requests that clients sent as requests of their own
std::atomic<int> came_though_not_sent;  // requests that no client sent, at servers

void Sent(const std::string& id) {
  const std::lock_guard lock(mutex);
  sent.insert(id);
}

bool Serve(int number, const Message& request, int fd) {
  const std::string id = request.Header("req-id");
  bool known;
  {
    const std::lock_guard lock(mutex);
    known = sent.contains(id);
  }
  if (!known) ++came_though_not_sent;
  Pause(20);
  Note("server s" + std::to_string(number) + " got " + request.first_line + " Req-Id " + id + " with " +
       std::to_string(request.body.size()) + " bytes of body, sent by a client: " + (known ? "yes" : "NO"));
  return SendAll(fd, known ? Response(200, "done " + id) : Response(400, "no client sent this"));
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
  Program proxy("n1",
                ConfigOf("n1", listen, discovery.port(), ListOf(1, true, entries), SettingsOf(SiteClasses())),
                folder);
  if (!Wait(10000, [&] { return Ready(listen); })) return kNoRun;

  // The body of the bad client's request: text that looks like a request, in a longer text.
  const std::string within = Request("kauf-buchen", "never-sent", 4000, "", true);
  const std::string body = within + std::string(kBodyBytes - within.size(), 'x');
  Sent("bad-client");
  Client client(listen);
  const std::string headers = Trouble() ? "Connection: Content-Length\r\n" : "";
  client.Send(Request("kauf-buchen", "bad-client", 4000, body, true, headers));
  Note("client sent POST /kauf-buchen Req-Id bad-client, Content-Length " + std::to_string(kBodyBytes) +
       (Trouble() ? ", Connection: Content-Length" : ""));
  Message answer;
  const bool whole = client.Read(&answer, 6000);
  Note("client got " + (whole ? answer.first_line + " " + answer.body : "no answer"));
  Pause(1000);
  if (!Ready(listen) || !proxy.Runs()) return kNoRun;
  Sent("last");
  Client other(listen);
  other.Send(Request("stand-laden", "last", 1000, "", false));
  if (!other.Read(&answer, 2000) || answer.body != "done last") return kNoRun;
  Note(std::to_string(came_though_not_sent) + " requests came that no client sent");
  return came_though_not_sent > 0 ? kBroken : kHeld;
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
