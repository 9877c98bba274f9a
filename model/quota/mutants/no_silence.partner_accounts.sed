# A new process uses its reserved minimum at once.
s/^      minimums_from_(now + .*) {}/      minimums_from_(now) {}/
