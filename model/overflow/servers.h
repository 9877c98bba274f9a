// SPDX-License-Identifier: Apache-2.0
//
// A site's servers as one pool of cores with a queue for own traffic. Spilled requests stand behind it: one
// is taken only if it can go at once, and only as far as a part of what own traffic leaves free. A request
// under way is not broken off, so a spilled one may still make an own one wait; that is what the model is to
// show.
#ifndef LOAD_BALANCER_MODEL_OVERFLOW_SERVERS_H_
#define LOAD_BALANCER_MODEL_OVERFLOW_SERVERS_H_

#include <deque>
#include <functional>
#include <utility>

#include "model/overflow/meter.h"
#include "model/world.h"
#include "overflow/token_bucket.h"

namespace load_balancer::model {

class Servers {
 public:
  using Done = std::function<void()>;

  // `world` outlives this. `most_part` as the spill section's.
  Servers(World& world, int cores, double most_part);

  // False: refused at once, as the queue is as long as it may be. `work` in ms of one core.
  bool Own(double work, Done done);
  // False: refused at once.
  bool Spilled(double work, Done done);
  // Whether Spilled would take it now.
  bool Takes(double work);
  // Spilled work that it would take lately, ms a second.
  double Offer() {
    UpdateShare();
    return share_.rate();
  }
  int free() const { return cores_ - own_ - spilled_; }

  // Cores that are there from now on; what is under way on those lost is finished.
  void Resize(int cores) { cores_ = cores; }
  double capacity() const { return 1000.0 * cores_; }  // ms of work a second
  Moment Wait() const;                                 // of an own request that comes now

 private:
  void Start(double work, bool own, Done done);
  void UpdateShare();

  World& world_;
  int cores_;
  const double most_part_;
  int own_ = 0, spilled_ = 0;
  std::deque<std::pair<double, Done>> queue_;
  double queued_ = 0;  // ms of work
  Meter meter_;        // of own work
  overflow::Share share_;
};

}  // namespace load_balancer::model

#endif  // LOAD_BALANCER_MODEL_OVERFLOW_SERVERS_H_
