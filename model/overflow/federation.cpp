// SPDX-License-Identifier: Apache-2.0
#include "model/overflow/federation.h"

#include "model/overflow/gateway.h"

namespace load_balancer::model {

std::string SpillFederation::SiteName(std::size_t site) {
  return std::string(site < 10 ? "site-0" : "site-") + std::to_string(site);
}

SpillFederation::SpillFederation(SpillFederationOptions options)
    : options_(options),
      world_(options.seed),
      load_(options.sites, 0),
      coming_(options.sites, 0),
      holders_(options.sites),
      tallies_(options.sites) {
  Link wide;
  wide.least = options.spill.way / 2;
  wide.most = options.spill.way;
  world_.network().SetWide(wide);
  for (std::size_t s = 0; s < options.sites; ++s) {
    servers_.emplace_back(world_, options.cores, options.spill.most_part);
    for (std::size_t g = 0; g < options.gateways; ++g) {
      const auto address =
          boost::asio::ip::make_address("10.0." + std::to_string(s) + "." + std::to_string(g + 1));
      directory_[SiteName(s)]["gateway-" + std::to_string(g)] = {{address, 7900}, {address, 8080}};
    }
    Appoint(s, 0);
  }
  for (const auto& [site, gateways] : directory_)
    for (const auto& [name, addresses] : gateways) {
      const std::size_t number = world_.size();
      world_.network().Place(number, number / options.gateways);
      world_.Add(site + "/" + name, addresses.pool, [this, number](Host& host) {
        return std::make_unique<SpillGateway>(*this, host, number / options_.gateways,
                                              number % options_.gateways);
      });
    }
}

std::vector<std::size_t> SpillFederation::Machines(std::size_t site) const {
  std::vector<std::size_t> machines;
  for (std::size_t g = 0; g < options_.gateways; ++g) machines.push_back(Machine(site, g));
  return machines;
}

void SpillFederation::Appoint(std::size_t site, std::size_t gateway) {
  holders_.at(site) = {gateway, ++last_token_};
}

void SpillFederation::StartCount() {
  count_from_ = world_.now();
  tallies_.assign(options_.sites, {});
}

Tally SpillFederation::Sum() const {
  Tally sum;
  for (const Tally& tally : tallies_) sum.Add(tally);
  return sum;
}

bool SpillFederation::WorthIt(const Ask& ask) {
  double offered = 0;
  for (std::size_t s = 0; s < options_.sites; ++s) offered += s == ask.site ? 0 : servers_[s].Offer();
  const double chance =
      price_.Ask(Time(world_.now()), ask.demand->priority_weight, ask.work_ms, offered).chance;
  return std::uniform_real_distribution<double>(0, 1)(world_.random()) < chance;
}

void SpillFederation::Asked(const Ask& ask) {
  if (ask.at < count_from_) return;
  Tally& tally = tallies_[ask.site];
  ++tally.asked;
  tally.offered += ask.demand->priority_weight;
}

void SpillFederation::Ran(const Ask& ask) {
  if (ask.demand->idempotency == Idempotency::kNotIdempotent && ++unsafe_runs_[ask.id] == 2) ++ran_twice_;
}

bool SpillFederation::Final(const Ask& ask) {
  if (final_.size() <= ask.id) final_.resize(ask.id * 2 + 1, false);
  if (final_[ask.id]) ++answered_twice_;
  final_[ask.id] = true;
  return ask.at >= count_from_;
}

void SpillFederation::Answered(const Ask& ask, bool elsewhere) {
  if (!Final(ask)) return;
  Tally& tally = tallies_[ask.site];
  ++tally.answered;
  if (world_.now() - ask.at > ask.demand->latency_objective) {
    tally.late += ask.demand->priority_weight;
    return;
  }
  (elsewhere ? tally.elsewhere : tally.own) += ask.demand->priority_weight;
}

void SpillFederation::GivenUp(const Ask& ask, std::optional<overflow::Why> why) {
  if (!Final(ask)) return;
  Tally& tally = tallies_[ask.site];
  ++tally.given_up;
  if (why) tally.lost[static_cast<std::size_t>(*why)] += ask.demand->priority_weight;
}

void SpillFederation::CountSpilled(const Ask& ask) {
  if (ask.at >= count_from_) ++tallies_[ask.site].spilled;
}

}  // namespace load_balancer::model
