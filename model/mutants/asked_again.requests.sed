# A released token may be requested again, and its late release ends the new vote.
/A released token is never requested again/{n;d}
