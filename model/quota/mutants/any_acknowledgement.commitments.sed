# An acknowledgement of a draw that is over is of the next one.
s/draw\.life == life && draw\.id == id;/draw.life == life \&\& draw.id >= id;/
