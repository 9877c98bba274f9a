# Grants of a token that was given back go on counting.
s/std::exchange(duty\.bid, Bid())\.token()/(duty.bid.Close(), duty.bid.token())/
