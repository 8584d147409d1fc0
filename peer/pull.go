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
	// pullBacklog bounds the pulls that wait. A pull that finds it full is made
	// after a later heartbeat.
	pullBacklog = 8
	pullTimeout = 2 * time.Second
	// maxPulls bounds the parts of one exchange.
	maxPulls = 64
	// bootstrapEvery is the time between two rounds of asking the seeds while
	// nothing is known.
	bootstrapEvery = time.Second
)

// pullTask asks the instance at addr for what this one lacks of kind.
type pullTask struct {
	addr netip.AddrPort
	kind hbs.ObjectKind
}

// compare asks for a pull when a peer holds objects that this instance lacks
// (rule 5). The peer that lacks something asks itself.
func (s *Server) compare(from hbs.Instance, theirs []mirror.Summary) {
	for _, t := range theirs {
		if !s.Objects.Keeps(t.Kind) {
			continue
		}
		ours := s.Objects.Summary(t.Kind)
		if ours == t || t.Revision < ours.Revision {
			continue
		}
		select {
		case s.pulls <- pullTask{from.PeerAddress, t.Kind}:
		default:
		}
	}
}

// pullDuty makes the pulls one after the other.
func (s *Server) pullDuty(ctx context.Context) error {
	for {
		select {
		case task := <-s.pulls:
			s.pullFrom(ctx, task)
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// pullFrom asks for newer updates first, which is cheap, and compares all that
// both hold only if that brought nothing.
func (s *Server) pullFrom(ctx context.Context, task pullTask) {
	ctx, cancel := context.WithTimeout(ctx, pullTimeout)
	defer cancel()
	n := s.pullParts(ctx, task, false)
	if n == 0 {
		n = s.pullParts(ctx, task, true)
	}
	if n > 0 {
		s.pulled.Store(true)
	}
}

func (s *Server) pullParts(ctx context.Context, task pullTask, full bool) (adopted int) {
	for range maxPulls {
		q := Pull{Kind: task.kind, Full: full, Since: s.Objects.Revision(task.kind)}
		if full {
			q.Held = s.Objects.Holds(task.kind)
		}
		var a Updates
		if err := s.conns.call(ctx, task.addr, methodPull, &q, &a); err != nil {
			return adopted
		}
		n := len(s.Objects.Adopt(a.Updates))
		s.counter(meterPulls).Inc(1)
		s.counter(meterUpdatesPeers).Inc(int64(n))
		adopted += n
		if !a.More || n == 0 {
			return adopted
		}
		// The rest may lie below the highest revision just adopted.
		full = true
	}
	return adopted
}

// bootstrap asks the seeds until some instance or configuration is known, so
// that a start needs no platform.
func (s *Server) bootstrap(ctx context.Context) error {
	tick := time.NewTicker(bootstrapEvery)
	defer tick.Stop()
	for s.Objects.Revision(hbs.ObjectInstance) == 0 || s.Objects.Revision(hbs.ObjectConfiguration) == 0 {
		s.askSeeds(ctx)
		select {
		case <-tick.C:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	<-ctx.Done()
	return ctx.Err()
}

func (s *Server) askSeeds(ctx context.Context) {
	var wg conc.WaitGroup
	defer wg.Wait()
	for _, addr := range s.Seeds {
		if addr == s.Self().PeerAddress {
			continue
		}
		wg.Go(func() {
			for _, kind := range s.needed() {
				s.pullFrom(ctx, pullTask{addr, kind})
			}
		})
	}
}

// needed returns the kinds to ask for at the start. An instance that holds all
// endpoints has its region's among them; asking for these too would have the
// seeds tell their summary from then on.
func (s *Server) needed() []hbs.ObjectKind {
	if s.Objects.Part {
		return s.Objects.Kinds()
	}
	return mirror.Kinds
}
