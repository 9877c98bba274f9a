# A bucket is full at each new grant.
s/level_ = std::min(level_, depth_);/level_ = depth_;/
