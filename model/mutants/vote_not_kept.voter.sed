# A vote is granted without being stored on disk.
s/return store_->Save(all);/return true;/
