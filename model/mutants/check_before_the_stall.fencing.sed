# The resource does not look at the deadline.
s/!guard\.Holds(now)/now == Time::min()/
