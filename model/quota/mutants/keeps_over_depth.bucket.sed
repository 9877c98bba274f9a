# What a bucket holds over a smaller depth stays.
/^  level_ = std::min(level_, depth_);/d
