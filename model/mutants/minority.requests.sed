# Half of the voters count as a majority.
s|voters\.size() / 2 + 1|voters.size() / 2|
