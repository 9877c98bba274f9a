# Each gateway takes a neighbour's whole offer for its share.
s|estimates_\.Offer(now_, site) / static_cast<double>(spillers)|estimates_.Offer(now_, site)|
