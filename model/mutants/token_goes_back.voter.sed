# Any token will do once a vote has ended.
s/ask\.token > vote\.kept\.largest ? Why::kNone : Why::kHeld/Why::kNone/
