# A bucket without depth is full as soon as it gets a depth.
s/^  depth_ = allocation\.depth \* kFineUnits;/  if (depth_ == 0) level_ = allocation.depth * kFineUnits;\n&/
