# No draw is out when the lease is to be given back.
/^Time Commitments::LastEnd/,/^}/{/held\.draws) now/d;/gateway, held/d}
