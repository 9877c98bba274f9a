# A reserved minimum is lent until the grant has certainly expired.
s/acknowledged->sent_at + lent_for - max_clock_difference_/acknowledged->expires_at + 0 * lent_for/
