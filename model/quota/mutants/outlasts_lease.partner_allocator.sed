# A grant may last longer than the lease.
s/std::min(received + max_lifetime + margin, deadline)/std::max(received + max_lifetime + margin, Time::min() + 0 * (deadline - now))/
