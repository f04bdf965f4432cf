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

func format(vms []vmlist.VM) string {
	var parts []string
	for _, v := range vms {
		parts = append(parts, fmt.Sprint(v.ID(), "=", v.State()))
	}
	return strings.Join(parts, " ")
}

func TestMerge(t *testing.T) {
	live, leaving := vm("a", vmlist.Live), vm("a", vmlist.Leaving)
	for _, c := range []struct {
		name         string
		listed       []vmlist.VM
		observations []vmlist.Observation
		want         string
	}{
		{"listed only", []vmlist.VM{live}, nil, "a=live"},
		{"not listed with a live stream", nil, []vmlist.Observation{{VM: live, HasStream: true}}, "a=live"},
		{"not listed and no stream", nil, []vmlist.Observation{{VM: live, Leaving: true}}, ""},
		{"announcement overrides the list", []vmlist.VM{live}, []vmlist.Observation{{VM: live, Leaving: true}}, "a=leaving"},
		{"announcement overrides the stream", nil, []vmlist.Observation{{VM: live, HasStream: true, Leaving: true}}, "a=leaving"},
		{"listed as leaving with a stream", []vmlist.VM{leaving}, []vmlist.Observation{{VM: live, HasStream: true}}, "a=leaving"},
		{"ordered by id", []vmlist.VM{vm("b", vmlist.Live), live}, nil, "a=live b=live"},
	} {
		t.Run(c.name, func(t *testing.T) {
			if got := format(vmlist.Merge(c.listed, c.observations)); got != c.want {
				t.Errorf("members %q, want %q", got, c.want)
			}
		})
	}
}

func TestDecodeRejectsMalformed(t *testing.T) {
	for _, b := range []string{
		`{`, `{"revision":-1}`, `{"vms":[{"id":"","dataCentre":"n"}]}`,
		`{"vms":[{"id":"a","dataCentre":"n","role":"x","state":"live","address":"127.0.0.1:1"}]}`,
		`{"vms":[{"id":"a","dataCentre":"n","role":"entry","state":"x","address":"127.0.0.1:1"}]}`,
		`{"vms":[{"id":"a","dataCentre":"n","role":"entry","state":"live","address":"host:1"}]}`,
	} {
		if _, err := vmlist.DecodeDelta([]byte(b)); !errors.Is(err, vmlist.ErrMalformed) {
			t.Errorf("%s: error %v, want ErrMalformed", b, err)
		}
	}
}

func runInBackground(t *testing.T, f func(context.Context) error) {
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

// VMs are added, change their state and are removed, the service is down, and the
// list is recreated. The client must follow each change and keep the last known list
// while polls fail.
func TestClientFollowsList(t *testing.T) {
	now := time.Unix(100, 0)
	s := &standin.Server{Now: func() time.Time { return now }}
	runInBackground(t, s.Run)
	r := metrics.NewRegistry()
	c := &vmlist.Client{Addr: s.Addr(), Period: 5 * time.Millisecond, Timeout: 20 * time.Second, Metrics: r}
	runInBackground(t, c.Run)
	waitFor := func(members string) {
		t.Helper()
		timeout := time.After(20 * time.Second)
		for format(c.VMs()) != members {
			select {
			case <-c.Changed():
			case <-timeout:
				t.Fatalf("members %q, want %q", format(c.VMs()), members)
			}
		}
	}
	s.Put(vm("a", vmlist.Live))
	s.Put(vm("b", vmlist.Live))
	waitFor("a=live b=live")
	s.Put(vm("a", vmlist.Leaving))
	waitFor("a=leaving b=live")
	s.Remove("a")
	waitFor("b=live")
	s.SetDown(true)
	failures := metrics.GetOrRegisterCounter("vmlist.pollFailures", r)
	for failures.Count() == 0 {
		time.Sleep(time.Millisecond)
	}
	waitFor("b=live")
	s.Reset()
	s.Put(vm("c", vmlist.Live))
	s.SetDown(false)
	waitFor("c=live")
	s.SetLag(time.Hour)
	s.Put(vm("d", vmlist.Live))
	waitFor("") // a lagging list may return an older state
}
