package admission

import (
	"fmt"
	"testing"
	"time"
)

func ExampleController() {
	now := epoch
	c := &Controller{}
	if err := c.Configure([]Limits{{Account: "tazalyk", Concurrency: 20}}, now); err != nil {
		fmt.Println(err)
	}
	noSlot := func(*Request) bool { return false }
	freeSlot := func(*Request) bool { return true }
	req := Request{
		ID: "1", Account: "tazalyk", Route: "model", ExpectedRunTime: time.Second, Deadline: now.Add(3 * time.Second),
	}
	fmt.Printf("%T\n", c.Arrive(req, now, noSlot))
	started, _ := c.Next(now.Add(time.Second), freeSlot)
	fmt.Println("started", len(started))
	c.Done("1", now.Add(2*time.Second))
	req.ID, req.Deadline = "2", now
	fmt.Println(c.Arrive(req, now, freeSlot).(Refused).Code)
	// Output:
	// admission.Wait
	// started 1
	// deadlinePassed
}

func BenchmarkArriveNextDone(b *testing.B) {
	for _, accounts := range []int{15, 90, 630, 12000} {
		b.Run(fmt.Sprint(accounts), func(b *testing.B) { benchmarkArrive(b, accounts) })
	}
}

// benchmarkArrive keeps the queue full with requests of all accounts and
// measures the arrival, start and end of one request.
func benchmarkArrive(b *testing.B, accounts int) {
	c := &Controller{MaxWaiting: accounts}
	var limits []Limits
	for i := range accounts {
		limits = append(limits, Limits{Account: entryName(i)})
	}
	if err := c.Configure(limits, epoch); err != nil {
		b.Fatal(err)
	}
	ids := make([]string, b.N+2*accounts)
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
			ID: ids[i], Account: limits[i%accounts].Account, Route: "model", Worth: float64(1 + i%7),
			ExpectedRunTime: time.Millisecond, Deadline: now.Add(time.Hour),
		}, now, noSlot)
		i++
	}
	for range accounts {
		arrive()
	}
	b.ReportAllocs()
	for b.Loop() {
		if i >= len(ids) {
			i = 0
		}
		arrive()
		freeSlots = 1
		started, _ := c.Next(now, takeSlot)
		for _, r := range started {
			c.Done(r.ID, now)
		}
	}
}
