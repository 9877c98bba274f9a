# A credit puts back all, whatever was spent since.
/most = std::min(most, Room(g))/d
