# No grant is out when the lease is to be given back.
/^Time Commitments::LastEnd/,/^}/{/held\.grants) now/d;/gateway, held/d}
