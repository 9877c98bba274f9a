# A voter grants to an asker whose term is another.
/return Why::kTerm;/d
