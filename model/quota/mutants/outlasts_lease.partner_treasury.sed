# A draw may last longer than the lease.
s/std::min(asker\.at + timings_->draw + timings_->Apart(), deadline)/std::max(asker.at + timings_->draw + timings_->Apart(), Time::min() + 0 * (deadline - now))/
