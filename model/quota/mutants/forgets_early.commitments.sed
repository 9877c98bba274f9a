# A draw is forgotten a slot before it has ended.
s/draw\.until <= now;/draw.until <= now + slot_;/
