package relay

import (
	"fmt"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/hyssoprelay/hyssoprelay/internal/endpoint/placement"
	"github.com/hyssoprelay/hyssoprelay/internal/routing"
)

// Entries of three data centres get 1.4 times the streams that the engines can take. Guards against
// free slots that go to less urgent requests while more urgent ones wait at other entries, as with the
// even division, and against slots that idle for longer than with it.
func TestUrgentRequestsWaitLessThanWithEvenDivision(t *testing.T) {
	t.Parallel()
	measure := func(even bool) *quotaStats {
		m := newQuotaModel(1, 18, 40, 1.4*40/64)
		m.even = even
		m.run(4 * time.Second)
		m.stats = quotaStats{}
		m.run(8 * time.Second)
		t.Logf("even division: %v\n%v", even, &m.stats)
		return &m.stats
	}
	var before, now *quotaStats
	var wg sync.WaitGroup
	wg.Go(func() { before = measure(true) })
	wg.Go(func() { now = measure(false) })
	wg.Wait()
	if now.meanWait(0) > before.meanWait(0)*8/10 {
		t.Errorf("the most urgent wait %v, with the even division %v", now.meanWait(0), before.meanWait(0))
	}
	if missed, missedBefore := 1-now.onTimeShare(0), 1-before.onTimeShare(0); missed > 0.8*missedBefore || now.onTimeShare(0) < now.onTimeShare(2) {
		t.Errorf("on time are %.2f of the most urgent and %.2f of the least urgent, with the even division %.2f of the most urgent",
			now.onTimeShare(0), now.onTimeShare(2), before.onTimeShare(0))
	}
	if now.idle > before.idle*5/4 {
		t.Errorf("slots idle for %v while requests wait, with the even division for %v", now.idle, before.idle)
	}
}

func (s *quotaStats) meanWait(class int) time.Duration {
	sum := time.Duration(0)
	for _, w := range s.waits[class] {
		sum += w
	}
	return sum / time.Duration(max(1, len(s.waits[class])))
}

func (s *quotaStats) onTimeShare(class int) float64 {
	return float64(s.onTime[class]) / float64(s.arrived[class])
}

// Under load, one entry freezes for 4 s and one starts anew, while messages are lost, late and duplicated.
// Guards against slots that idle because an entry that does not run claims them, and against entries
// that fill endpoints because they know less.
func TestQuotasWhileEntriesFreezeAndStart(t *testing.T) {
	t.Parallel()
	m := newQuotaModel(2, 12, 24, 1.4*24/64)
	m.lost, m.duplicated = 0.1, 0.1
	m.run(4 * time.Second)
	m.stats = quotaStats{}
	m.run(3 * time.Second)
	usual := m.stats
	m.entries[0].frozenUntil = m.now.Add(4 * time.Second)
	m.restart(1)
	m.stats = quotaStats{}
	m.run(6 * time.Second)
	t.Logf("before\n%v\nafter\n%v", &usual, &m.stats)
	idle, excess := m.stats.shares()
	if _, usualExcess := usual.shares(); idle > 0.1 || excess > 2*usualExcess {
		t.Errorf("%.3f of the slot time idle, %.3f of it in excess, which was %.3f", idle, excess, usualExcess)
	}
}

// quotaFleet returns entries that know of each other, and of endpoints whose slots are all taken by the
// last entry.
func quotaFleet(t *testing.T, entries, endpoints int) *quotaModel {
	t.Helper()
	m := newQuotaModel(1, entries, endpoints, 1)
	m.lost, m.duplicated = 0, 0
	m.exchange()
	last := m.entries[entries-1]
	takeAllSlots(t, last.st, m.service, m.at(last))
	m.exchange()
	return m
}

// exchange has all entries report, or only some, and delivers the reports 20 ms later.
func (m *quotaModel) exchange(only ...int) {
	for i, e := range m.entries {
		if m.now.Before(e.frozenUntil) || len(only) > 0 && !slices.Contains(only, i) {
			continue
		}
		e.changed, e.reportedAt = true, time.Time{}
		m.report(i, e)
	}
	m.now = m.now.Add(20 * time.Millisecond)
	for i := range m.messages {
		m.messages[i].at = m.now
	}
	m.deliver()
	for _, e := range m.entries {
		m.collect(e)
	}
}

// All slots are taken and a request waits at another entry. Guards against a request that is refused
// because its entry has no quota of any endpoint: it has to wait for one.
func TestRequestWithoutQuotaWaits(t *testing.T) {
	m := quotaFleet(t, 3, 4)
	m.arrive(m.entries[1], 1)
	m.exchange()
	m.arrive(m.entries[0], 0)
	if len(m.entries[0].waiting) != 1 {
		t.Fatalf("the request does not wait; refused by class: %v", m.stats.refused)
	}
}

// Requests wait at seven entries, which know the same reports, when slots of some endpoints become free.
// Guards against entries that together take more slots of an endpoint than are free, or fewer than all.
func TestEqualReportsFillTheFreeSlots(t *testing.T) {
	for seed := range 20 {
		m := quotaFleet(t, 8, 6)
		for i := range 7 * 5 {
			m.arrive(m.entries[i%7], i%3)
		}
		m.exchange()
		period := m.entries[0].st.clock.period(m.at(m.entries[0]))
		for m.entries[0].st.clock.period(m.at(m.entries[0])) == period {
			m.now = m.now.Add(time.Millisecond)
		}
		last, freed, total := m.entries[7], map[string]int{}, 0
		for id := range last.st.OwnRunning() {
			freed[id] = (seed + total) % 4
			last.st.ownRunning[id] -= freed[id]
			total += freed[id]
		}
		m.exchange(7)
		taken := 0
		for range 2 { // within the period
			m.now = m.now.Add(quotaInterval)
			for _, e := range m.entries[:7] {
				e.st.quotas.markStale()
				e.st.DispatchWaiting(m.at(e))
				m.collect(e)
			}
		}
		for id, n := range m.running {
			taken += n
			if n > freed[id] {
				t.Errorf("%d requests start in %d free slots of %s", n, freed[id], id)
			}
		}
		if taken != total {
			t.Errorf("%d requests start in %d free slots", taken, total)
		}
	}
}

// Guards against an entry that uses less than its quota between two reports, because the requests that
// it has started count twice.
func TestStartsCountOnceAgainstTheQuota(t *testing.T) {
	m := quotaFleet(t, 3, 1)
	e, last := m.entries[0], m.entries[2]
	m.arrive(e, 0)
	m.arrive(e, 0)
	m.arrive(m.entries[1], 1)
	m.exchange()
	for _, r := range e.waiting {
		e.st.queue.Cancel(r.w.req.ID)
	}
	last.st.ownRunning["e0"] -= 2
	m.exchange(2)
	for started := range 2 {
		if left := e.st.serviceQuota(m.service, m.at(e)).left["e0"]; left != 2-started {
			t.Fatalf("%d slots left after %d of 2", left, started)
		}
		if _, refusal := e.st.Choose(m.service, placement.Query{}, m.at(e)); refusal != nil {
			t.Fatal(refusal)
		}
		e.st.quotas.markStale()
		m.now = m.now.Add(quotaInterval)
	}
}

// An entry freezes after it has reported a waiting request. Guards against a free slot that stays idle
// until the report is ignored, 2.5 s later, although a request waits at another entry, and against a
// report that is never ignored.
func TestSlotOfAFrozenEntryIsUsed(t *testing.T) {
	for frozen := range 2 {
		m := quotaFleet(t, 3, 1)
		m.arrive(m.entries[0], 0)
		m.arrive(m.entries[1], 0)
		m.exchange()
		m.entries[frozen].frozenUntil = m.now.Add(time.Minute)
		other, last := m.entries[1-frozen], m.entries[2]
		last.st.ownRunning["e0"]--
		m.exchange()
		began := m.now
		for len(other.waiting) > 0 && m.now.Sub(began) < time.Second {
			m.now = m.now.Add(time.Millisecond)
			m.dispatch(other)
		}
		if took := m.now.Sub(began); took > 200*time.Millisecond || len(other.running) != 1 {
			t.Fatalf("idle for %v, refused by class %v", took, m.stats.refused)
		}
		m.now = m.now.Add(maxEntryLoadAge)
		m.exchange(1-frozen, 2)
		if other.st.serviceQuota(m.service, m.at(other)).limited {
			t.Fatal("what the entry has claimed counts though its report is too old")
		}
	}
}

// One of two groups is closed, so that its slots are free. Guards against claims that are given slots
// there: the slots of the other group would count as claimed by nobody, and be divided evenly.
func TestSlotsOfAClosedGroupAreNotDivided(t *testing.T) {
	m := quotaFleet(t, 3, 12)
	e, last := m.entries[0], m.entries[2]
	m.arrive(e, 1)
	m.arrive(m.entries[1], 0)
	m.exchange()
	for _, r := range e.waiting {
		e.st.queue.Cancel(r.w.req.ID)
	}
	last.st.ownRunning["e7"]--
	for i := range 6 {
		last.st.ownRunning[fmt.Sprint("e", i)] = 0
	}
	m.exchange()
	for range 50 {
		m.now = m.now.Add(quotaPeriod)
		for i := range 6 {
			e.st.loads[fmt.Sprint("e", i)] = EndpointLoad{Closed: true, At: m.at(e)}
		}
		if s := e.st.serviceQuota(m.service, m.at(e)); !s.limited || s.left["e7"] != 0 || s.left["e0"] != 0 {
			t.Fatalf("the quota is %v, though the one open slot belongs to a more urgent request elsewhere", s.left)
		}
	}
}

// Guards against entries that rotate by the clocks of their VMs, which count from different moments, or
// by that of an entry that has left.
func TestEntriesAgreeOnThePeriod(t *testing.T) {
	m := newQuotaModel(1, 6, 1, 0)
	m.run(3 * time.Second)
	m.restart(2)
	m.run(3 * time.Second)
	var periods []uint64
	for _, e := range m.entries {
		periods = append(periods, e.st.clock.period(m.at(e)))
	}
	if least, most := slices.Min(periods), slices.Max(periods); most-least > 1 {
		t.Fatalf("the periods are %v", periods)
	}
	e := m.entries[0].st
	for _, l := range []EntryLoad{{Incarnation: 1 << 63}, {Incarnation: 1, Sequence: 1<<64 - 1}, {Incarnation: 1 << 62, Sequence: 1 << 62}} {
		l.Entry, l.At = "corrupt", m.at(m.entries[0])
		e.SetEntryLoads([]EntryLoad{l}, l.At)
	}
	if p := e.clock.period(m.at(m.entries[0])); p != periods[0] {
		t.Fatalf("period %d after a corrupt report, before %d", p, periods[0])
	}
}

// restart replaces an entry by a new process on a new VM.
func (m *quotaModel) restart(i int) {
	old := m.entries[i]
	for _, r := range old.running {
		m.running[r.w.assigned.Endpoint.ID]--
	}
	e := newQuotaModel(uint64(i)+100, len(m.entries), len(old.st.endpoints), 0).entries[i]
	e.offset, e.incarnation = e.offset+start.Sub(m.now), old.incarnation+1
	m.entries[i] = e
}

// Guards against an entry that claims slots for requests of which the others do not know, and against
// late requests that claim any.
func TestOnlyReportedRequestsClaim(t *testing.T) {
	m := quotaFleet(t, 3, 2)
	e := m.entries[0]
	for class := range 3 {
		m.arrive(e, class)
	}
	m.arrive(e, 2)
	e.waiting[0].w.late = true
	if got := e.st.quotas.reported["quotes"]; got != nil || len(e.waiting) != 4 {
		t.Fatalf("claims %v before its report, %d requests wait", got, len(e.waiting))
	}
	if got := fmt.Sprint(e.st.ReportWaiting()); got != "map[quotes:[0 1 2]]" || fmt.Sprint(e.st.quotas.reported) != got {
		t.Fatalf("reports %v and claims %v", got, e.st.quotas.reported)
	}
}

// Guards against slower arrivals while others wait, and against allocations for each endpoint.
func BenchmarkAdmitWhileOthersWait(b *testing.B) {
	for _, n := range []int{12, 64} {
		b.Run(fmt.Sprint("engines=", n), func(b *testing.B) {
			st, s := benchState(n)
			now := start
			st.SetLoads(newLoads(n, now), now)
			st.ReportWaiting()
			b.ReportAllocs()
			for i := range b.N {
				now = now.Add(time.Millisecond)
				if i%20 == 0 {
					b.StopTimer()
					st.ReportWaiting()
					for k := 1; k <= 29; k++ {
						st.SetEntryLoads([]EntryLoad{{
							Entry: fmt.Sprint("entry", k), Incarnation: 1, Sequence: uint64(i + 1), At: now,
							WaitingByClass: map[string][]int{"quotes": {1, 1}},
						}}, now)
					}
					b.StartTimer()
				}
				w := &waiter{req: newAdmitRequest(fmt.Sprint(i), s, now)}
				w.req.Class = routing.Class(0)
				if waits, _ := st.submit(w, now); !waits && w.assigned.attempt != nil {
					st.PartReceived(w.assigned, now)
					st.Release(w.assigned, Delivered{}, now)
				}
				delete(st.waiters, w.req.ID)
				st.queue.Cancel(w.req.ID)
			}
		})
	}
}
