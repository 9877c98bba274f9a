# A floor is away until the grant has ended for certain.
s/taken->sent + away - apart_/taken->until + 0 * away/
