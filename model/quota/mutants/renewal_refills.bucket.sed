# A bucket is filled whenever its allocation changes.
s/^  level_ = std::min(level_, depth_);/  level_ = level_ > 0 ? depth_ : 0;/
