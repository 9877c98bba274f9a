# A grant that arrives late replaces a newer one.
s/if (id <= grant_id_ || /if (id == grant_id_ || /
