package retry

import (
	"sync"

	hbs "github.com/hornbeamstage/hornbeamstage"
)

// Budget limits additional attempts, separately for each model and service. Each
// successful response adds a share of one attempt to the balance, which is capped
// at a burst.
type Budget struct {
	Knobs hbs.Policy
	// Share and Burst are the keys of the knobs that set what a response adds and
	// the cap of the balance.
	Share, Burst hbs.KnobKey

	mu sync.Mutex
	// balances are the attempts left, each between 0 and the burst. A missing
	// account has the full burst.
	balances map[account]float64
}

// account identifies a balance.
type account struct {
	model   hbs.ModelName
	service hbs.ServiceName
}

// Earn adds the share of one successful response.
func (b *Budget) Earn(scope hbs.Scope) {
	b.mu.Lock()
	defer b.mu.Unlock()
	left, burst := b.balance(scope)
	b.balances[accountOf(scope)] = min(left+b.Knobs.Number(b.Share, scope), burst)
}

// Spend takes one attempt from the balance and reports whether it had one.
func (b *Budget) Spend(scope hbs.Scope) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	left, _ := b.balance(scope)
	return b.withdraw(scope, left)
}

// SpendIfHalfFull takes one attempt if the balance is at least half of the burst,
// and reports whether it did. Check and withdrawal are one atomic step, so that
// concurrent callers cannot use up the reserved half.
func (b *Budget) SpendIfHalfFull(scope hbs.Scope) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	left, burst := b.balance(scope)
	return halfFull(left, burst) && b.withdraw(scope, left)
}

// HalfFull reports whether the balance is at least half of the burst, which means
// that few additional attempts were made recently.
func (b *Budget) HalfFull(scope hbs.Scope) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return halfFull(b.balance(scope))
}

func halfFull(left, burst float64) bool { return left >= burst/2 }

// withdraw takes one attempt from a balance of left, if it has one. The caller
// holds mu.
func (b *Budget) withdraw(scope hbs.Scope, left float64) bool {
	if left < 1 {
		return false
	}
	b.balances[accountOf(scope)] = left - 1
	return true
}

// Refund returns an attempt that was not made to the balance.
func (b *Budget) Refund(scope hbs.Scope) {
	b.mu.Lock()
	defer b.mu.Unlock()
	left, burst := b.balance(scope)
	b.balances[accountOf(scope)] = min(left+1, burst)
}

// balance returns the balance and the burst of scope. The caller holds mu.
func (b *Budget) balance(scope hbs.Scope) (left, burst float64) {
	if b.balances == nil {
		b.balances = map[account]float64{}
	}
	burst = b.Knobs.Number(b.Burst, scope)
	left, ok := b.balances[accountOf(scope)]
	if !ok {
		left = burst
	}
	return left, burst
}

func accountOf(scope hbs.Scope) account { return account{scope.Model, scope.Service} }
