# A bucket that had no depth is full as soon as it has one.
s/^  depth_ = allocation\.depth \* kFineUnits;/  if (depth_ == 0) level_ = allocation.depth * kFineUnits;\n&/
