package belief

import (
	"slices"

	hbs "github.com/hornbeamstage/hornbeamstage"
)

// pastIncarnations is how many earlier incarnations of an endpoint are
// remembered, so that late word of one is told from news.
const pastIncarnations = 8

// Lives gives out the numbers of lives (rule 4). It is not safe for concurrent
// use.
type Lives struct {
	last  Life
	ended []Life
	free  []Life
}

// Begin returns a number that no entry of a table names, or 0 when all are in
// use; the caller sweeps with Ended and Reclaim then.
func (l *Lives) Begin() Life {
	if n := len(l.free); n > 0 {
		life := l.free[n-1]
		l.free = l.free[:n-1]
		return life
	}
	if l.last >= MaxLives {
		return 0
	}
	l.last++
	return l.last
}

// End tells that life is over.
func (l *Lives) End(life Life) {
	if life != 0 {
		l.ended = append(l.ended, life)
	}
}

// Ended reports whether life is over and not reclaimed yet.
func (l *Lives) Ended(life Life) bool { return slices.Contains(l.ended, life) }

// Reclaim makes the ended numbers available again, after a sweep.
func (l *Lives) Reclaim() {
	l.free = append(l.free, l.ended...)
	l.ended = l.ended[:0]
}

// Identity follows the incarnation and weights of one endpoint. Word of them
// comes from several sources, some of them late.
type Identity struct {
	// Incarnation and Weights are the newest known; empty before the first word.
	Incarnation hbs.Incarnation
	Weights     hbs.WeightsVersion

	past []hbs.Incarnation
}

// Observe takes word of the endpoint's incarnation and weights, either of
// which may be empty. It reports whether a new life began, and whether the
// word is of the life that is current after the call. Word of an earlier
// incarnation is not current and changes nothing.
func (i *Identity) Observe(inc hbs.Incarnation, weights hbs.WeightsVersion) (began, current bool) {
	if inc != "" && slices.Contains(i.past, inc) {
		return false, false
	}
	if inc != "" && inc != i.Incarnation {
		began = i.Incarnation != ""
		i.retire()
		i.Incarnation = inc
	}
	if weights != "" && weights != i.Weights {
		began = began || i.Weights != ""
		i.Weights = weights
	}
	return began, true
}

func (i *Identity) retire() {
	if i.Incarnation == "" {
		return
	}
	i.past = append(i.past, i.Incarnation)
	if len(i.past) > pastIncarnations {
		i.past = slices.Delete(i.past, 0, 1)
	}
}
