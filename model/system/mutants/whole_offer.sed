# Each gateway takes a neighbour's whole offer for its share.
s|estimates_\.OfferedCapacity(now_, site) / static_cast<double>(senders)|estimates_.OfferedCapacity(now_, site)|
