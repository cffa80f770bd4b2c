package budgeter

import "github.com/cassiatally/cassiatally/cassiatally"

// Allotment divides the retries left to a call among the call itself and its
// children. The sum of all that is spent never exceeds the budget, however many
// children run at the same time.
type Allotment struct {
	left  cassiatally.RetryCount
	spent cassiatally.RetryCount
}

// NewAllotment returns an allotment of the budget that a call carries.
func NewAllotment(budget cassiatally.RetryCount) *Allotment {
	return &Allotment{left: budget}
}

// Grant sets aside retries for a child call: half of what is left, rounded up,
// so that children that run side by side each get some while there are any.
func (a *Allotment) Grant() cassiatally.RetryCount {
	granted := a.left/2 + a.left%2
	a.left -= granted
	return granted
}

// Settle ends a child call. What it did not spend is available again. A child
// that reports more than its grant is counted with its grant.
func (a *Allotment) Settle(granted, spent cassiatally.RetryCount) {
	spent = min(spent, granted)
	a.left += granted - spent
	a.spent += spent
}

// Spend takes one retry for the call itself and reports whether one was left.
func (a *Allotment) Spend() bool {
	if a.left == 0 {
		return false
	}
	a.left--
	a.spent++
	return true
}

// Left returns the retries that are neither spent nor set aside.
func (a *Allotment) Left() cassiatally.RetryCount { return a.left }

// Spent returns the retries spent by the call and its children.
func (a *Allotment) Spent() cassiatally.RetryCount { return a.spent }
