# No grant counts as outstanding when the lease is to be released.
/^Time Commitments::LastExpiry/,/^}/{/commitment\.grants)/d;/gateway, commitment/d}
