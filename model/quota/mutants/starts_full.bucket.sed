# A bucket that had no depth is full as soon as it has one.
s/^  depth_ = part\.depth \* kFine;/  if (depth_ == 0) level_ = part.depth * kFine;\n&/
