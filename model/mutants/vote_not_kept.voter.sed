# A vote is granted without being on disk.
s/return store_->Save(all);/return true;/
