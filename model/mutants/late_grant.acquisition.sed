# A grant counts from the newest request, whichever it answers.
s/request->second/sent_.rbegin()->second/g
