# A reserved minimum counts as lent until the grant has certainly expired, which is later than the gateway promised.
s/acknowledged->sent_at + lent_for - max_clock_difference_/acknowledged->expires_at + 0 * lent_for/
