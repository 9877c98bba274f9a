# A grant counts from the newest request, whichever it answers.
s/sent->second/duty.sent.rbegin()->second/g
