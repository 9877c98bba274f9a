# The lease time of a grant starts with the newest request, even if the grant answers an earlier one.
s/request->second/sent_.rbegin()->second/g
