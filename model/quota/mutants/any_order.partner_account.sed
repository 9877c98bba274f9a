# A grant that comes late replaces a newer one.
s/if (id <= id_ || /if (id == id_ || /
