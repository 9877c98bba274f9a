# All have the file once one more has told so.
s/^  count = present_one ? count + 1 : count - 1;/  count = present_one ? heard.size() : count - 1;/
