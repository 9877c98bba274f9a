# The resource does not check the deadline.
s/!proof\.IsValid(now)/now == Time::min()/
