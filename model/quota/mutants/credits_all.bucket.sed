# A credit puts back all of its charge.
s/) most = std::min(most, Room(g));/) {}/
