# A grant has ended when its life is over by the allocator's clock.
s/until = asker\.at + life + timings_->Apart()/until = asker.at + life/
