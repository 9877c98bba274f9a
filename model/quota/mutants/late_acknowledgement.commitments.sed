# An acknowledgement ends newer grants, too.
s/grant\.life == life && grant\.id < id;/grant.life == life \&\& grant.id != id;/
