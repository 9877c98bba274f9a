# A grant counts from the newest request, whichever it answers.
s/sent->second/sent_.rbegin()->second/g
