package budgeter

import "github.com/cassiatally/cassiatally/cassiatally"

// Allotment divides the retry budget of a call among the call itself and its child
// calls. The sum of all retries never exceeds the budget, however many children run
// at the same time.
type Allotment struct {
	remaining cassiatally.RetryCount
	spent     cassiatally.RetryCount
}

// NewAllotment returns an allotment of the budget that a call carries.
func NewAllotment(budget cassiatally.RetryCount) *Allotment {
	return &Allotment{remaining: budget}
}

// Grant reserves retries for a child call: half of the remaining ones, rounded up, so
// that concurrent children each get some while there are any.
func (a *Allotment) Grant() cassiatally.RetryCount {
	granted := a.remaining/2 + a.remaining%2
	a.remaining -= granted
	return granted
}

// Release ends the grant of a child call. Retries that the child did not spend are
// available again. A child that reports more than its grant counts with its grant.
func (a *Allotment) Release(granted, spent cassiatally.RetryCount) {
	spent = min(spent, granted)
	a.remaining += granted - spent
	a.spent += spent
}

// Spend takes one retry for the call itself and reports whether one remained.
func (a *Allotment) Spend() bool {
	if a.remaining == 0 {
		return false
	}
	a.remaining--
	a.spent++
	return true
}

// Remaining returns the retries that are neither spent nor reserved.
func (a *Allotment) Remaining() cassiatally.RetryCount { return a.remaining }

// Spent returns the retries spent by the call and its children.
func (a *Allotment) Spent() cassiatally.RetryCount { return a.spent }
