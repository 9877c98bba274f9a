# A voter adopts a file of votes whichever voters it names.
s/differing\.size() > 1/differing.size() > 100/
