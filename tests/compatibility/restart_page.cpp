// SPDX-License-Identifier: Apache-2.0
//
// The page of shared memory of a hot restart, over which two versions of the program talk to each other.
#include <fcntl.h>
#include <sys/mman.h>

#include <boost/asio/io_context.hpp>
#include <cstring>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <stdexcept>
#include <system_error>

#include "base/descriptor.h"
#include "golden_case.h"
#include "hot_restart.h"
#include "temporary_folder.h"

namespace load_balancer::testing {
namespace {

using nlohmann::json;
using proxy::HotRestart;

// The usage that the two processes of the sample publish.
constexpr HotRestart::ResourceUsage kFirstUsage{11, 12, 13'000'000};
constexpr HotRestart::ResourceUsage kSecondUsage{21, 22, 23};

// Holds slots of the page as other processes do that have it mapped.
class SlotLocks {
 public:
  SlotLocks(const std::filesystem::path& page, int slots) : file_(::open(page.c_str(), O_RDWR | O_CLOEXEC)) {
    struct flock lock {};
    lock.l_type = F_WRLCK;
    lock.l_whence = SEEK_SET;
    lock.l_len = slots;
    if (!file_ || ::fcntl(file_.get(), F_OFD_SETLK, &lock) != 0)
      throw std::system_error(errno, std::generic_category(), page);
  }

 private:
  const Descriptor file_;
};

// The page as two processes leave it: the first listened, then the second, which took over the clients.
Bytes Encoded() {
  const TemporaryFolder folder;
  const std::string path = folder.path() / "page";
  boost::asio::io_context io;
  HotRestart first(io, path), second(io, path);
  first.RegisterListener();
  second.RegisterListener();
  first.SetAccepting(false);
  second.SetAccepting(true);
  first.PublishUsage(kFirstUsage);
  second.PublishUsage(kSecondUsage);
  first.AdvanceMaintenanceVersion();
  const std::uint64_t version = first.AdvanceMaintenanceVersion();
  first.AcknowledgeMaintenance(version - 1);
  second.AcknowledgeMaintenance(version);
  std::ifstream file(path, std::ios::binary);
  return Bytes(std::istreambuf_iterator<char>(file), {});
}

// What a process sees that joins while the first `others` of the two still live.
json SeenBeside(const Bytes& page, int others) {
  const TemporaryFolder folder;
  const std::string path = folder.path() / "page";
  std::ofstream(path, std::ios::binary)
      .write(reinterpret_cast<const char*>(page.data()), static_cast<std::streamsize>(page.size()));
  const SlotLocks locks(path, others);
  boost::asio::io_context io;
  HotRestart joined(io, path);
  const HotRestart::ResourceUsage usage = joined.UsageOfOthers();
  const std::uint64_t version = joined.maintenance_version();
  json fields = {{"processes", joined.processes()},
                 {"clients", usage.clients},
                 {"backends", usage.backends},
                 {"buffers", usage.memory},
                 {"other_accepts", joined.OtherAccepts()},
                 {"other_listens_later_than_none", joined.OtherListensLater()},
                 {"maintenance_version", version},
                 {"acknowledged", joined.MaintenanceAcknowledgedByAll(version)},
                 {"acknowledged_before", joined.MaintenanceAcknowledgedByAll(version - 1)}};
  joined.RegisterListener();
  fields["other_listens_later"] = joined.OtherListensLater();
  return fields;
}

json Decoded(const Bytes& page) {
  return {{"size", page.size()}, {"beside_first", SeenBeside(page, 1)}, {"beside_both", SeenBeside(page, 2)}};
}

json ExpectedFields() {
  const json beside_first = {{"processes", 2},
                             {"clients", kFirstUsage.clients},
                             {"backends", kFirstUsage.backends},
                             {"buffers", kFirstUsage.memory},
                             {"other_accepts", false},
                             {"other_listens_later_than_none", true},
                             {"maintenance_version", 2},
                             {"acknowledged", false},
                             {"acknowledged_before", true},
                             {"other_listens_later", false}};
  json beside_both = beside_first;
  beside_both["processes"] = 3;
  beside_both["clients"] = kFirstUsage.clients + kSecondUsage.clients;
  beside_both["backends"] = kFirstUsage.backends + kSecondUsage.backends;
  beside_both["buffers"] = kFirstUsage.memory + kSecondUsage.memory;
  beside_both["other_accepts"] = true;
  return {{"size", 208}, {"beside_first", beside_first}, {"beside_both", beside_both}};
}

}  // namespace

std::vector<GoldenCase> RestartPageCases() { return {{"restart_page", ExpectedFields(), Encoded, Decoded}}; }

}  // namespace load_balancer::testing
