package vmlist_test

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/hyssoprelay/hyssoprelay/internal/platform/vmlist"
	standin "github.com/hyssoprelay/hyssoprelay/internal/standin/vmlist"
)

func vm(id string, s vmlist.State) vmlist.VM {
	return vmlist.NewVM(id, vmlist.Agent, "north", "127.0.0.1:7000", s)
}

func text(vms []vmlist.VM) string {
	var parts []string
	for _, v := range vms {
		parts = append(parts, fmt.Sprint(v.ID(), "=", v.State()))
	}
	return strings.Join(parts, " ")
}

func TestJoin(t *testing.T) {
	live, leaving := vm("a", vmlist.Live), vm("a", vmlist.Leaving)
	for _, c := range []struct {
		name   string
		listed []vmlist.VM
		seen   []vmlist.Seen
		want   string
	}{
		{"listed only", []vmlist.VM{live}, nil, "a=live"},
		{"absent from the list with a live stream", nil, []vmlist.Seen{{VM: live, Stream: true}}, "a=live"},
		{"absent and no stream", nil, []vmlist.Seen{{VM: live, Leaving: true}}, ""},
		{"its own word before the list", []vmlist.VM{live}, []vmlist.Seen{{VM: live, Leaving: true}}, "a=leaving"},
		{"its own word before its stream", nil, []vmlist.Seen{{VM: live, Stream: true, Leaving: true}}, "a=leaving"},
		{"listed as leaving with a stream", []vmlist.VM{leaving}, []vmlist.Seen{{VM: live, Stream: true}}, "a=leaving"},
		{"by id", []vmlist.VM{vm("b", vmlist.Live), live}, nil, "a=live b=live"},
	} {
		t.Run(c.name, func(t *testing.T) {
			if got := text(vmlist.Join(c.listed, c.seen)); got != c.want {
				t.Errorf("members %q, want %q", got, c.want)
			}
		})
	}
}

func TestDecodeRefuses(t *testing.T) {
	for _, b := range []string{
		`{`, `{"revision":-1}`, `{"vms":[{"id":"","dataCentre":"n"}]}`,
		`{"vms":[{"id":"a","dataCentre":"n","role":"x","state":"live","address":"127.0.0.1:1"}]}`,
		`{"vms":[{"id":"a","dataCentre":"n","role":"entry","state":"x","address":"127.0.0.1:1"}]}`,
		`{"vms":[{"id":"a","dataCentre":"n","role":"entry","state":"live","address":"host:1"}]}`,
	} {
		if _, err := vmlist.DecodeDelta([]byte(b)); !errors.Is(err, vmlist.ErrMalformed) {
			t.Errorf("%s: error %v", b, err)
		}
	}
}

func run(t *testing.T, f func(context.Context) error) {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- f(ctx) }()
	t.Cleanup(func() {
		cancel()
		if err := <-done; err != nil {
			t.Error(err)
		}
	})
}

// A VM comes up, leaves and is removed, the list goes down and begins anew; the
// client must follow each, and keep the last list while there is no answer.
func TestClientFollowsList(t *testing.T) {
	now := time.Unix(100, 0)
	s := &standin.Server{Now: func() time.Time { return now }}
	run(t, s.Run)
	r := metrics.NewRegistry()
	c := &vmlist.Client{Addr: s.Addr(), Period: 5 * time.Millisecond, Timeout: 20 * time.Second, Metrics: r}
	run(t, c.Run)
	want := func(members string) {
		t.Helper()
		limit := time.After(20 * time.Second)
		for text(c.VMs()) != members {
			select {
			case <-c.Changed():
			case <-limit:
				t.Fatalf("members %q, want %q", text(c.VMs()), members)
			}
		}
	}
	s.Put(vm("a", vmlist.Live))
	s.Put(vm("b", vmlist.Live))
	want("a=live b=live")
	s.Put(vm("a", vmlist.Leaving))
	want("a=leaving b=live")
	s.Remove("a")
	want("b=live")
	s.SetDown(true)
	failures := metrics.GetOrRegisterCounter("vmlist.pollFailures", r)
	for failures.Count() == 0 {
		time.Sleep(time.Millisecond)
	}
	want("b=live")
	s.Reset()
	s.Put(vm("c", vmlist.Live))
	s.SetDown(false)
	want("c=live")
	s.SetLag(time.Hour)
	s.Put(vm("d", vmlist.Live))
	want("") // a lagging list may go back
}
