# The allocator treats every gateway as if it had the current budgets, whatever revision the gateway reports.
s/const bool is_current = request\.revision == .*/const bool is_current = request.revision > 0;/
