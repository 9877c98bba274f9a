# An acknowledgement ends newer draws, too.
s/draw\.life == life && draw\.id < id;/draw.life == life \&\& draw.id != id;/
