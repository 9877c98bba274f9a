// SPDX-License-Identifier: Apache-2.0
#include "model/system/system.h"

#include <functional>

#include "model/system/gateway.h"

namespace load_balancer::model {

SystemResult PlaySystem(std::uint64_t seed, const SystemOptions& options, const std::vector<Fault>& faults) {
  const Wiring wiring = WiringOf(seed, options);
  const bool skew_kept = SkewKept(seed, faults, wiring);
  Checks checks(wiring, skew_kept, skew_kept || !LosesDisks(faults));
  Scene scene(seed, SceneOf(seed, options, wiring),
              [&](Host& host, const FleetSetup& setup, const GatewayOptions& of, Ledger& ledger) {
                return std::make_unique<SystemGateway>(host, setup, of, ledger, wiring, checks);
              });
  checks.Watch(scene.federation());
  Schedule(seed, options, scene);
  World& world = scene.world();
  for (const Fault& fault : faults) Inject(world, fault);
  const Moment end = options.length + kDrain;
  const std::function<void()> sample = [&] {
    checks.Sample();
    world.At(world.now() + Checks::kSample, sample);
  };
  world.At(Checks::kSample, sample);
  world.At(options.length, [&checks] { checks.Recovered(); });
  world.RunUntil(end);
  checks.Over(scene.ledger());
  SystemResult result{checks.broken(), checks.counts(), scene.ledger().calls().size(), 0,
                      world.event_digest()};
  for (const auto& [id, call] : scene.ledger().calls())
    result.served += call.ends > 0 && call.ending == Ending::kServed;
  return result;
}

}  // namespace load_balancer::model
