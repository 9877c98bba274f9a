# What its client has left stays open.
s/counts_\.client_gone += open_\.erase(event\.request)/counts_.client_gone += open_.count(event.request)/
