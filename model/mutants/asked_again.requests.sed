# A token that was given back may be asked for again, and its late release ends the new vote.
/Never asked for again/{n;d}
