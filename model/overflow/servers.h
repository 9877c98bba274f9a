// SPDX-License-Identifier: Apache-2.0
//
// A site's servers as one pool of cores with a queue for the site's own requests. Forwarded requests have a
// lower priority. A forwarded request is admitted only if it can start at once, and forwarded requests
// together may use only a fraction of the capacity that own requests leave free. A running request is not
// interrupted, so a forwarded request can still delay an own one. The model exists to show this effect.
#ifndef LOAD_BALANCER_MODEL_OVERFLOW_SERVERS_H_
#define LOAD_BALANCER_MODEL_OVERFLOW_SERVERS_H_

#include <deque>
#include <functional>
#include <utility>

#include "model/overflow/meter.h"
#include "model/world.h"
#include "overflow/token_bucket.h"

namespace load_balancer::model {

// Servers simulates the servers of one site.
class Servers {
 public:
  using Done = std::function<void()>;

  // `world` must outlive this object. `offered_fraction` is the setting of overflow::Options.
  Servers(World& world, int cores, double offered_fraction);

  // Runs or queues a request of the site's own clients. Returns false if it is rejected because the queue is
  // full. `work` is in ms of one core.
  bool ServeOwn(double work, Done done);
  // Runs a forwarded request. Returns false if it is rejected.
  bool ServeForwarded(double work, Done done);
  // Returns whether ServeForwarded would admit the request now.
  bool CanServeForwarded(double work);
  // Returns the rate at which forwarded work is admitted at present, in ms per second.
  double OfferedCapacity() {
    UpdateBucket();
    return bucket_.rate();
  }
  int free() const { return cores_ - own_ - forwarded_; }

  // Sets the number of cores from now on. Requests that run on removed cores are finished.
  void Resize(int cores) { cores_ = cores; }
  double capacity() const { return 1000.0 * cores_; }  // ms of work per second
  Moment Wait() const;                                 // time that an own request arriving now waits

 private:
  void Start(double work, bool is_own, Done done);
  void UpdateBucket();

  World& world_;
  int cores_;
  const double offered_fraction_;
  int own_ = 0, forwarded_ = 0;  // running requests
  std::deque<std::pair<double, Done>> queue_;
  double queued_ = 0;             // ms of work
  SpareMeter meter_;              // of the site's own work
  overflow::TokenBucket bucket_;  // of forwarded work
};

}  // namespace load_balancer::model

#endif  // LOAD_BALANCER_MODEL_OVERFLOW_SERVERS_H_
