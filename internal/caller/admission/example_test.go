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
	full := func(*Request) bool { return false }
	free := func(*Request) bool { return true }
	ask := Request{
		ID: "1", Account: "tazalyk", Route: "model", ExpectedRun: time.Second, Deadline: now.Add(3 * time.Second),
	}
	fmt.Printf("%T\n", c.Arrive(ask, now, full))
	started, _ := c.Next(now.Add(time.Second), free)
	fmt.Println("started", len(started))
	c.Done("1", now.Add(2*time.Second))
	ask.ID, ask.Deadline = "2", now
	fmt.Println(c.Arrive(ask, now, free).(Refuse).Code)
	// Output:
	// admission.Wait
	// started 1
	// deadlinePassed
}

func BenchmarkArriveNextDone(b *testing.B) {
	for _, accounts := range []int{15, 90, 630, 12000} {
		b.Run(fmt.Sprint(accounts), func(b *testing.B) { benchArrive(b, accounts) })
	}
}

// benchArrive keeps a full queue over the accounts and measures one request's
// way through it.
func benchArrive(b *testing.B, accounts int) {
	c := &Controller{MaxWaiting: accounts}
	var limits []Limits
	for i := range accounts {
		limits = append(limits, Limits{Account: name(i)})
	}
	if err := c.Configure(limits, epoch); err != nil {
		b.Fatal(err)
	}
	ids := make([]string, b.N+2*accounts)
	for i := range ids {
		ids[i] = fmt.Sprint(i)
	}
	full := func(*Request) bool { return false }
	free := 0
	one := func(*Request) bool { free--; return free >= 0 }
	now, i := epoch, 0
	ask := func() {
		now = now.Add(time.Millisecond)
		c.Arrive(Request{
			ID: ids[i], Account: limits[i%accounts].Account, Route: "model", Worth: float64(1 + i%7),
			ExpectedRun: time.Millisecond, Deadline: now.Add(time.Hour),
		}, now, full)
		i++
	}
	for range accounts {
		ask()
	}
	b.ReportAllocs()
	for b.Loop() {
		if i >= len(ids) {
			i = 0
		}
		ask()
		free = 1
		started, _ := c.Next(now, one)
		for _, r := range started {
			c.Done(r.ID, now)
		}
	}
}
