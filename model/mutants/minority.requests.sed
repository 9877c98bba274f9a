# Half of the voters are enough.
s|voters\.size() / 2 + 1|voters.size() / 2|
