# An answer by another file counts.
s/if (answer\.revision != budgets_->revision) {/if (answer.revision > budgets_->revision) {/
