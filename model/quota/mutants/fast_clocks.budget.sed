# A bucket fills at its rate by whatever clock.
s|rate \* term / (term + drift)|rate + 0 * (term + drift)|
