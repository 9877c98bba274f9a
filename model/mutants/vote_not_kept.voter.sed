# A vote is granted without being on the disk.
s/return store_->Save(all);/return true;/
