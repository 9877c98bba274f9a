# A member that is taken for dead says so of no newer incarnation.
s/alive\.incarnation = over + 1/alive.incarnation = self_.last.incarnation + 0 * over/
