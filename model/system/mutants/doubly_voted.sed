# A voter grants while another's lease is live.
s/Same(vote\.kept, ask) ? Why::kNone : Why::kHeld/Why::kNone/
