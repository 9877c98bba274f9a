# A grant may last longer than the lease.
s/std::min(asker\.at + timings_->grant_life + timings_->Apart(), deadline)/std::max(asker.at + timings_->grant_life + timings_->Apart(), Time::min() + 0 * (deadline - now))/
