# A bucket fills at its full rate by the local clock, without the margin for a clock that runs fast.
s|rate \* term / (term + drift)|rate + 0 * (term + drift)|
