package main

import (
	"fmt"
	"syscall"
	"testing"
	"time"

	kept "github.com/hyssoprelay/hyssoprelay/internal/standin"
	"github.com/hyssoprelay/hyssoprelay/platform/standin"
)

const rankerSettings = `[process]
name = %s
dataCentre = a
peerAddress = 127.0.0.1:0
platformAddresses = %s
logFormat = json

[endpoint]
address = %s
service = s
fencing = checked

[tls]
insecure = true
`

// rankers is a group of engines with a ranker process beside each.
type rankers struct {
	*fleet
	group *standin.Group
	procs []*daemon
}

// newRankers starts a group whose rankers reach the store at an address each.
func newRankers(t *testing.T, group *standin.Group, stores []string) *rankers {
	t.Helper()
	r := &rankers{fleet: &fleet{t: t, dir: t.TempDir()}, group: group}
	kept.Keep(t, "engines", group.Events)
	for i, store := range stores {
		name := fmt.Sprint("ranker", i)
		file := r.settings(name, fmt.Sprintf(rankerSettings, name, store, group.Addr(i)))
		r.procs = append(r.procs, newDaemon(t, name, "ranker", "--settings", file))
	}
	return r
}

// leader returns the process that leads the group, or -1.
func (r *rankers) leader() int {
	for i, p := range r.procs {
		if p.log.Has("group leadership acquired") {
			return i
		}
	}
	return -1
}

// runsOn waits for more passes than a step is held ahead.
func (r *rankers) runsOn() {
	r.t.Helper()
	const ahead = 20
	step := r.group.Step()
	r.eventually("the group runs on", func() bool { return r.group.Step() > step+ahead })
	if n := r.group.Mixed(); n != 0 {
		r.t.Fatalf("%d passes began with two maps", n)
	}
}

// newGroupOfThree starts a store, three engines and their rankers. prepare sets up the store.
func newGroupOfThree(t *testing.T, prepare func(*standin.Store)) *rankers {
	t.Helper()
	store, group := standin.NewStore(), standin.StartGroup(3, 2, 9, 4)
	t.Cleanup(store.Close)
	t.Cleanup(group.Close)
	prepare(store)
	store.Put("op/config", []byte(standin.GroupConfiguration))
	return newRankers(t, group, []string{store.Addr(), store.Addr(), store.Addr()})
}

// freezeLeaderAtHold freezes the leader's process and engine when the next step is held. It returns the leader
// and what has its engine answer again.
func (r *rankers) freezeLeaderAtHold(freeze func(*daemon)) (leader int, lighten func()) {
	r.t.Helper()
	frozen := make(chan int, 1)
	r.group.OnHold(func() {
		i := r.leader()
		freeze(r.procs[i])
		frozen <- i
	})
	select {
	case leader = <-frozen:
	case <-time.After(patience):
		r.t.Fatal("no step was held")
	}
	lighten = r.group.Darken(leader)
	r.t.Cleanup(lighten)
	return leader, lighten
}

// The VM of a group's leader freezes while a step is held, and its lease does not lapse for an hour. Guards
// against a group that stands until the lease has lapsed, which is most of the time that its callers wait.
func TestHeldStepDoesNotWaitForTheLeaseOfAFrozenLeader(t *testing.T) {
	r := newGroupOfThree(t, func(s *standin.Store) { s.GrantAtLeast(time.Hour) })
	old, lighten := r.freezeLeaderAtHold(func(d *daemon) {
		if err := freezeProcess(d.cmd.Process.Pid); err != nil {
			t.Error(err)
		}
	})
	r.runsOn()
	lighten()
	r.procs[old].signal(syscall.SIGCONT)
	r.eventually("the old leader learns that its term has ended", func() bool { return r.procs[old].log.Has("group leadership lost") })
	r.eventually("a map is in force", func() bool { return r.group.Version() > 0 })
	r.runsOn()
}

// The VM of a group's leader freezes just after a step was held, and nobody
// reaches the engine beside it, which goes on with its group. All callers of the
// group waited until the VM was back; now its successor lets the step go, and
// the frozen leader does no harm when it goes on.
func TestLeaderFreezesWhileAStepIsHeld(t *testing.T) {
	r := newGroupOfThree(t, func(*standin.Store) {})
	old, lighten := r.freezeLeaderAtHold(func(d *daemon) { d.signal(syscall.SIGSTOP) })
	r.runsOn()
	lighten()
	r.procs[old].signal(syscall.SIGCONT)
	r.eventually("a map is in force", func() bool { return r.group.Version() > 0 })
	r.runsOn()
}
