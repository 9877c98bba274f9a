# A voter grants while another's lease is live.
s/Same(vote\.kept, ask) || again ? Why::kNone : Why::kHeld/again ? Why::kNone : Why::kNone/
