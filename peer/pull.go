package peer

import (
	"context"
	"net/netip"
	"time"

	"github.com/sourcegraph/conc"

	hbs "github.com/hornbeamstage/hornbeamstage"
	"github.com/hornbeamstage/hornbeamstage/mirror"
)

const (
	// pullBacklog bounds the queue of pulls. A pull that does not fit is dropped; a
	// later heartbeat schedules it again.
	pullBacklog = 8
	pullTimeout = 2 * time.Second
	// maxPullPages bounds the calls of one pull, whose response may be cut.
	maxPullPages = 64
	// bootstrapInterval is the time between two rounds of pulls from the seeds
	// while no instance or no configuration is known.
	bootstrapInterval = time.Second
)

// pullTask is a pull of the updates of kind that this instance lacks from addr.
type pullTask struct {
	addr netip.AddrPort
	kind hbs.ObjectKind
}

// schedulePulls queues a pull for each kind of which a peer may have updates
// that this instance lacks (rule 5). In the opposite case the peer pulls.
func (s *Server) schedulePulls(from hbs.Instance, theirs []mirror.Summary) {
	for _, t := range theirs {
		if !s.Objects.Stores(t.Kind) {
			continue
		}
		ours := s.Objects.Summary(t.Kind)
		if ours == t || t.Revision < ours.Revision {
			continue
		}
		select {
		case s.pullQueue <- pullTask{from.PeerAddress, t.Kind}:
		default:
		}
	}
}

// runPulls runs the queued pulls one at a time.
func (s *Server) runPulls(ctx context.Context) error {
	for {
		select {
		case task := <-s.pullQueue:
			s.pullFrom(ctx, task)
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// pullFrom first requests updates with a newer revision, which is cheap. Only if
// there are none, it compares the complete sets of both instances.
func (s *Server) pullFrom(ctx context.Context, task pullTask) {
	ctx, cancel := context.WithTimeout(ctx, pullTimeout)
	defer cancel()
	n := s.pullPages(ctx, task, false)
	if n == 0 {
		n = s.pullPages(ctx, task, true)
	}
	if n > 0 {
		s.pulled.Store(true)
	}
}

// pullPages pulls until the response is complete or brings nothing, and returns
// the number of updates adopted.
func (s *Server) pullPages(ctx context.Context, task pullTask, full bool) (adopted int) {
	for range maxPullPages {
		q := Pull{Kind: task.kind, Full: full, Since: s.Objects.Revision(task.kind)}
		if full {
			q.Held = s.Objects.ObjectRevisions(task.kind)
		}
		var a Updates
		if err := s.conns.call(ctx, task.addr, methodPull, &q, &a); err != nil {
			return adopted
		}
		n := len(s.Objects.Adopt(a.Updates))
		s.counter(meterPulls).Inc(1)
		s.counter(meterUpdatesAdopted).Inc(int64(n))
		adopted += n
		if !a.More || n == 0 {
			return adopted
		}
		// The rest may have lower revisions than the highest one adopted now.
		full = true
	}
	return adopted
}

// bootstrap pulls from the seeds until some instance and some configuration are
// known, so that an instance can start while the platform is down.
func (s *Server) bootstrap(ctx context.Context) error {
	tick := time.NewTicker(bootstrapInterval)
	defer tick.Stop()
	for s.Objects.Revision(hbs.ObjectInstance) == 0 || s.Objects.Revision(hbs.ObjectConfiguration) == 0 {
		s.pullFromSeeds(ctx)
		select {
		case <-tick.C:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	<-ctx.Done()
	return ctx.Err()
}

func (s *Server) pullFromSeeds(ctx context.Context) {
	var wg conc.WaitGroup
	defer wg.Wait()
	for _, addr := range s.Seeds {
		if addr == s.Self().PeerAddress {
			continue
		}
		wg.Go(func() {
			for _, kind := range s.bootstrapKinds() {
				s.pullFrom(ctx, pullTask{addr, kind})
			}
		})
	}
}

// bootstrapKinds returns the kinds to pull at startup. For an instance that stores
// the endpoints of all regions, the kind of its region is a subset of these.
// Pulling it too would make the seeds send a summary of it from then on.
func (s *Server) bootstrapKinds() []hbs.ObjectKind {
	if s.Objects.RegionOnly {
		return s.Objects.Kinds()
	}
	return mirror.Kinds
}
