package admission

import (
	"fmt"
	"testing"
	"time"
)

// BenchmarkArriveByClass measures an arrival under overload, with the start and end of one request,
// by the number of classes and accounts. The queue is as full as that of an entry.
func BenchmarkArriveByClass(b *testing.B) {
	for _, classes := range []int{1, 3, 10} {
		for _, accounts := range []int{24, 12000} {
			b.Run(fmt.Sprintf("classes=%d/accounts=%d", classes, accounts), func(b *testing.B) {
				benchmarkArriveByClass(b, classes, accounts)
			})
		}
	}
}

func benchmarkArriveByClass(b *testing.B, classes, accounts int) {
	const maxWaiting = 64
	c := &Controller{MaxWaiting: maxWaiting}
	var limits []Limits
	for i := range accounts {
		limits = append(limits, Limits{Account: entryName(i)})
	}
	if err := c.Configure(limits, epoch); err != nil {
		b.Fatal(err)
	}
	ids := make([]string, 1<<16) // far more than are open at once
	for i := range ids {
		ids[i] = fmt.Sprint(i)
	}
	noSlot := func(*Request) bool { return false }
	freeSlots := 0
	takeSlot := func(*Request) bool { freeSlots--; return freeSlots >= 0 }
	now, i := epoch, 0
	arrive := func() {
		now = now.Add(time.Millisecond)
		c.Arrive(Request{
			ID: ids[i%len(ids)], Account: limits[i%accounts].Account, Route: "model", Worth: 1, Class: i % classes,
			ExpectedRunTime: time.Millisecond, Deadline: now.Add(time.Hour),
		}, now, noSlot)
		i++
	}
	for range 4*accounts + 2*maxWaiting {
		arrive()
	}
	b.ReportAllocs()
	for b.Loop() {
		arrive()
		arrive() // one more than start, so that the queue stays full
		freeSlots = 1
		started, _ := c.Next(now, takeSlot)
		for _, r := range started {
			c.Done(r.ID, now)
		}
	}
}
