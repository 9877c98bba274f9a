# A reserved minimum is lent until the grant has certainly expired.
s/taken->sent_at + lent_for - max_clock_difference_/taken->expires_at + 0 * lent_for/
