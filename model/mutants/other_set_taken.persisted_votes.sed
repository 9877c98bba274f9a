# A voter takes a file of votes as its own whichever voters it names.
s/differ\.size() > 1/differ.size() > 100/
