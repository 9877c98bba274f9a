# A member that is considered dead refutes it with no newer incarnation.
s/alive\.incarnation = refuted_incarnation + 1/alive.incarnation = self_.update.incarnation + 0 * refuted_incarnation/
