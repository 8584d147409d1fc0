package release_test

import (
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	hbs "github.com/hornbeamstage/hornbeamstage"
	"github.com/hornbeamstage/hornbeamstage/release"
)

// versions is a number of endpoints for each version.
type versions = map[hbs.SoftwareVersion]int

// beginAt begins n streams at instances in turn.
func (w *world) beginAt(n int, nodes ...*node) (streams []stream) {
	for i := range n {
		s, ok := w.begin(nodes[i%len(nodes)])
		w.Expect(ok).To(BeTrue())
		streams = append(streams, s)
	}
	return streams
}

// resumeAt resumes streams at instances in turn.
func (w *world) resumeAt(streams []stream, nodes ...*node) {
	for i, s := range streams {
		w.resume(nodes[i%len(nodes)], s)
	}
}

// expectResumed expects that so many streams were resumed, and that none was mixed.
func (w *world) expectResumed(n int) {
	w.Expect(w.mixed).To(BeZero())
	w.Expect(w.resumed).To(Equal(n))
}

// restartAll kills all instances and starts them again.
func (w *world) restartAll() {
	w.restart(time.Second, w.nodes...)
	time.Sleep(readTime)
}

// expectHalves expects that about half of 100 streams begin at each version, and that they
// go on after all instances were killed.
func (w *world) expectHalves(versions ...hbs.SoftwareVersion) {
	streams := w.beginAt(100, w.nodes...)
	at := map[hbs.SoftwareVersion]int{}
	for _, s := range streams {
		at[s.version]++
	}
	for _, v := range versions {
		w.Expect(at[v]).To(BeNumerically("~", 50, 20), string(v))
	}
	w.restartAll()
	w.resumeAt(streams, w.nodes[1:]...)
	w.expectResumed(100)
}

// Guards against streams that are refused although only one version ever served.
func TestOneVersion(t *testing.T) {
	withWorld(t, 5, func(w *world) {
		streams := w.beginAt(20, w.nodes...)
		w.restartAll()
		w.resumeAt(streams, w.nodes[1:]...)
		w.expectResumed(20)
	})
}

// Guards against streams joined from two versions right after the old one was replaced, with
// all instances killed meanwhile, and against the refusal of those that the new one began.
func TestVersionReplacedAndAllKilled(t *testing.T) {
	withWorld(t, 7, func(w *world) {
		before := w.beginAt(20, w.nodes...)
		w.setEndpoints(versions{"b": 6})
		time.Sleep(readTime)
		after := w.beginAt(20, w.nodes...)
		w.restart(2*time.Second, w.nodes...)
		time.Sleep(readTime)
		w.resumeAt(before, w.nodes[3:]...)
		w.expectResumed(0)
		w.resumeAt(after, w.nodes[3:]...)
		w.expectResumed(20)
	})
}

// Guards against a release that happens as a whole while no instance runs.
func TestVersionReplacedWhileAllAreDown(t *testing.T) {
	withWorld(t, 3, func(w *world) {
		streams := w.beginAt(20, w.nodes...)
		for _, n := range w.nodes {
			n.kill()
		}
		w.endpoints = versions{"b": 6}
		time.Sleep(time.Second)
		for _, n := range w.nodes {
			w.start(n)
		}
		time.Sleep(readTime)
		w.resumeAt(streams, w.nodes...)
		w.expectResumed(0)
	})
}

// Guards against two releases in a row: streams of three versions may be resumed.
func TestThreeVersions(t *testing.T) {
	withWorld(t, 5, func(w *world) {
		w.setEndpoints(versions{"a": 3, "b": 3})
		time.Sleep(settleTime)
		streams := w.beginAt(20, w.nodes...)
		for _, endpoints := range []versions{{"b": 3, "c": 3}, {"c": 6}} {
			w.setEndpoints(endpoints)
			time.Sleep(readTime)
			streams = append(streams, w.beginAt(20, w.nodes...)...)
		}
		w.restartAll()
		w.resumeAt(streams, w.nodes[2:]...)
		left := 0
		for _, s := range streams {
			if s.version == "c" {
				left++
			}
		}
		w.Expect(left).To(BeNumerically(">", 20))
		w.expectResumed(left)
	})
}

// Guards against an instance that doesn't hear of a release and goes on beginning streams at
// the old version, which callers then resume elsewhere.
func TestInstanceCutOffDuringRelease(t *testing.T) {
	withWorld(t, 5, func(w *world) {
		w.setCut(w.nodes[0], true)
		w.setEndpoints(versions{"a": 2, "b": 6})
		time.Sleep(settleTime)
		late := w.beginAt(20, w.nodes[0])
		w.resumeAt(late, w.nodes[1:]...)
		w.Expect(w.mixed).To(BeZero())
	})
}

// Guards against an instance that doesn't hear of a release and lets streams of the new
// version go on at the old one.
func TestStreamResumedAtInstanceCutOffDuringRelease(t *testing.T) {
	withWorld(t, 5, func(w *world) {
		w.setCut(w.nodes[0], true)
		w.setEndpoints(versions{"a": 2, "b": 6})
		time.Sleep(5 * time.Second)
		w.resumeAt(w.beginAt(20, w.nodes[1:]...), w.nodes[0])
		w.Expect(w.mixed).To(BeZero())
	})
}

// Guards against a stream that goes on at another version when it breaks a second time.
func TestStreamResumedTwice(t *testing.T) {
	withWorld(t, 5, func(w *world) {
		streams := w.beginAt(10, w.nodes...)
		w.setEndpoints(versions{"a": 2, "b": 6})
		time.Sleep(changeTime)
		w.resumeAt(streams, w.nodes[1:]...)
		w.restartAll()
		w.resumeAt(streams, w.nodes[2:]...)
		w.expectResumed(20)
	})
}

// Guards against endpoints of a version that get no streams while two versions serve for
// long, and against the refusal of streams then.
func TestTwoVersionsSideBySide(t *testing.T) {
	withWorld(t, 5, func(w *world) {
		w.setEndpoints(versions{"a": 3, "b": 3})
		time.Sleep(settleTime)
		w.expectHalves("a", "b")
	})
}

// Guards against prompts that are computed at two versions, since requests with the same
// parts begin at both.
func TestSamePartsBeginAtOneVersion(t *testing.T) {
	withWorld(t, 5, func(w *world) {
		w.setEndpoints(versions{"a": 3, "b": 3})
		time.Sleep(settleTime)
		versionOf := map[hbs.PartID]hbs.SoftwareVersion{}
		for _, s := range w.beginAt(200, w.nodes...) {
			if len(s.parts) == 0 {
				continue
			}
			part := s.parts[len(s.parts)-1]
			if v, ok := versionOf[part]; ok {
				w.Expect(s.version).To(Equal(v))
			}
			versionOf[part] = s.version
		}
		w.Expect(versionOf).To(HaveLen(60))
	})
}

// Guards against a second release during which streams go on beginning by the shares of the
// first one until its record is settled.
func TestSharesFollowWhileTheRecordIsOpen(t *testing.T) {
	withWorld(t, 5, func(w *world) {
		w.setEndpoints(versions{"b": 6})
		time.Sleep(readTime)
		w.setEndpoints(versions{"b": 3, "c": 3})
		time.Sleep(changeTime)
		w.expectHalves("b", "c")
	})
}

// Guards against streams that nobody began, or whose caller doesn't name the attempt.
func TestUnknownStream(t *testing.T) {
	withWorld(t, 3, func(w *world) {
		unknown := []stream{{id: "", version: "a"}, {id: "of-nobody", version: "a"}}
		w.resumeAt(unknown, w.nodes...)
		w.expectResumed(2)
		w.setEndpoints(versions{"a": 2, "b": 6})
		time.Sleep(freeTime)
		unknown[1].id = "of-nobody-else"
		w.resumeAt(unknown, w.nodes...)
		w.expectResumed(2)
		w.Expect(w.refused).To(Equal(2))
	})
}

// Guards against streams whose first events wait for the store for as long as earlier ones
// can be resumed.
func TestStreamsOfAKnownRecordAreNotStored(t *testing.T) {
	withWorld(t, 5, func(w *world) {
		before := w.beginAt(20, w.nodes...)
		w.setEndpoints(versions{"a": 3, "b": 3})
		time.Sleep(changeTime)
		calls := w.calls()
		after := w.beginAt(50, w.nodes...)
		w.Expect(w.calls()).To(Equal(calls))
		w.restartAll()
		w.resumeAt(append(before, after...), w.nodes[1:]...)
		w.expectResumed(70)
	})
}

// Guards against streams that are taken for later ones: their instance was restarted just
// before the shares changed, and nothing tells of them.
func TestStreamsLostBeforeTheSharesChange(t *testing.T) {
	for _, again := range []bool{false, true} {
		withWorld(t, 5, func(w *world) {
			w.setEndpoints(versions{"a": 3, "b": 3})
			time.Sleep(settleTime)
			lost := w.beginAt(40, w.nodes[0])
			w.restart(100*time.Millisecond, w.nodes[0])
			w.setEndpoints(versions{"b": 3, "c": 3})
			time.Sleep(followTime)
			if again {
				w.restart(100*time.Millisecond, w.nodes[0])
			}
			time.Sleep(changeTime - followTime)
			w.resumeAt(lost, w.nodes[1:]...)
			w.expectResumed(0)
			w.resumeAt(w.beginAt(40, w.nodes...), w.nodes[2:]...)
			w.expectResumed(40)
		})
	}
}

// Guards against calls to the store by streams while one version serves, and for longer than
// streams may be resumed after a release.
func TestStreamsAreStoredOnlyForATime(t *testing.T) {
	withWorld(t, 5, func(w *world) {
		before := w.calls()
		w.beginAt(50, w.nodes...)
		w.Expect(w.calls()).To(Equal(before))
		w.setEndpoints(versions{"a": 2, "b": 6})
		time.Sleep(settleTime)
		before = w.calls()
		w.beginAt(50, w.nodes...)
		w.Expect(w.calls()).To(Equal(before))
	})
}

// Guards against objects in the store of instances that were replaced long ago.
func TestStreamsOfReplacedInstancesAreDeleted(t *testing.T) {
	withWorld(t, 5, func(w *world) {
		gone := w.nodes[0]
		gone.kill()
		w.nodes = w.nodes[1:]
		w.list()
		w.setEndpoints(versions{"a": 2, "b": 6})
		time.Sleep(settleTime)
		objs, _, err := w.nodes[0].client.List(w.ctx, release.KindStreams)
		w.Expect(err).NotTo(HaveOccurred())
		w.Expect(objs).To(HaveLen(4))
		w.Expect(objs).NotTo(ContainElement(HaveField("Name", string(gone.id))))
	})
}

// Guards against streams of two versions, and against the refusal of most that could go on,
// in any order of releases, kills and cuts.
func TestSoak(t *testing.T) {
	for seed := range uint64(*seeds) {
		withWorld(t, 7, func(w *world) {
			rnd := rand.New(rand.NewPCG(seed, 48))
			w.soak(rnd, 2*time.Minute)
			t.Logf("seed %d: %d streams, %d resumed, %d refused, %d mixed", seed, w.streams, w.resumed, w.refused, w.mixed)
			w.Expect(w.detail).To(BeEmpty())
			w.Expect(2 * w.resumed).To(BeNumerically(">=", w.resumed+w.refused))
		})
	}
}
