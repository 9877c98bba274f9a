# A new process has its floor at once.
s/^      floors_from_(now + .*),/      floors_from_(now),/
