# A bucket keeps tokens that exceed its new, smaller depth.
/^  level_ = std::min(level_, depth_);/d
