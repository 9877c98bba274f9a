# What its client has left stays open.
s/counts_\.gone += open_\.erase(event\.request)/counts_.gone += open_.count(event.request)/
