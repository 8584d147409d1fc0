package retry

import (
	"sync"

	hbs "github.com/hornbeamstage/hornbeamstage"
)

// Budget holds what may be spent on additional attempts, for each model and
// service by itself. Answers earn a share; what is not spent is kept up to a
// burst.
type Budget struct {
	Knobs hbs.Policy
	// Share and Burst are the knobs of the budget.
	Share, Burst hbs.KnobKey

	mu sync.Mutex
	// left is between 0 and the burst.
	left map[account]float64
}

type account struct {
	model   hbs.ModelName
	service hbs.ServiceName
}

// Earn adds the share of one answer.
func (b *Budget) Earn(scope hbs.Scope) {
	b.mu.Lock()
	defer b.mu.Unlock()
	left, burst := b.balance(scope)
	b.left[accountOf(scope)] = min(left+b.Knobs.Number(b.Share, scope), burst)
}

// Spend takes one attempt and reports whether there was one.
func (b *Budget) Spend(scope hbs.Scope) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	left, _ := b.balance(scope)
	return b.take(scope, left)
}

// SpendAmple takes one attempt where Ample holds, and reports whether it did.
// Check and take are one step, so that callers at the same instant cannot take
// the half that is kept.
func (b *Budget) SpendAmple(scope hbs.Scope) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	left, burst := b.balance(scope)
	return ample(left, burst) && b.take(scope, left)
}

// Ample reports whether at least half of what may be kept is left, as it is
// while little is spent.
func (b *Budget) Ample(scope hbs.Scope) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return ample(b.balance(scope))
}

func ample(left, burst float64) bool { return left >= burst/2 }

// take takes one attempt of the left ones. The caller holds mu.
func (b *Budget) take(scope hbs.Scope, left float64) bool {
	if left < 1 {
		return false
	}
	b.left[accountOf(scope)] = left - 1
	return true
}

// Refund gives back an attempt that was not made.
func (b *Budget) Refund(scope hbs.Scope) {
	b.mu.Lock()
	defer b.mu.Unlock()
	left, burst := b.balance(scope)
	b.left[accountOf(scope)] = min(left+1, burst)
}

// balance returns the account of scope. The caller holds mu.
func (b *Budget) balance(scope hbs.Scope) (left, burst float64) {
	if b.left == nil {
		b.left = map[account]float64{}
	}
	burst = b.Knobs.Number(b.Burst, scope)
	left, ok := b.left[accountOf(scope)]
	if !ok {
		left = burst
	}
	return left, burst
}

func accountOf(scope hbs.Scope) account { return account{scope.Model, scope.Service} }
