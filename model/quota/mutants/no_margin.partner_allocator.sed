# A grant has expired when its lifetime is over by the allocator's clock.
s/expires_at = received + lifetime + margin/expires_at = received + lifetime/
