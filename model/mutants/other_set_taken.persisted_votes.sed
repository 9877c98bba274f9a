# A voter adopts a file of votes however much its set of voters differs.
s/differing\.size() > 1/differing.size() > 100/
