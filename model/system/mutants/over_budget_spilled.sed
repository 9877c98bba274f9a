# What is over its partner's budget is spilled.
/kOverBudget;/d
