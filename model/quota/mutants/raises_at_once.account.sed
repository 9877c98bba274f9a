# A floor that a new file raises is had at once.
s/account\.SetFloor(now, Smaller(account\.floor()\.part, full), full)/account.SetFloor(now, full, full)/
