package fleet

import (
	"context"
	"strings"
	"testing"
	"time"

	"github.com/hyssoprelay/hyssoprelay/internal/platform"
)

// ListStale implements Lister.
func (s *leaseStore) ListStale(_ context.Context, prefix string) ([]platform.KeyValue, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	var out []platform.KeyValue
	for key, kv := range s.keys {
		if strings.HasPrefix(key, prefix) {
			out = append(out, kv)
		}
	}
	return out, nil
}

// Guards against processes that list all entries of the fleet to find a host, and against a host that
// is listed after it has ended.
func TestHostsAreListedByDataCentre(t *testing.T) {
	f := newHostedFleet(t, 1)
	defer f.stop()
	onError := func(err error) { t.Error(err) }
	want := func(dataCentre string, names ...string) {
		t.Helper()
		listed, err := ListHostsOrEntries(t.Context(), f.store, dataCentre, onError)
		if err != nil {
			t.Fatal(err)
		}
		var got []string
		for _, m := range listed {
			got = append(got, m.Name)
		}
		if strings.Join(got, " ") != strings.Join(names, " ") {
			t.Errorf("data centre %s: %v are listed, want %v", dataCentre, got, names)
		}
	}
	host := f.hosts[0]
	self := Member{Kind: Entry, Name: "h", DataCentre: "a", Address: "10.0.0.1:1", Host: true}
	guest := Member{Kind: Entry, Name: "g", DataCentre: "a", Address: "10.0.0.2:1"}
	ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second)
	defer cancel()
	if err := host.Register(ctx, Request{Member: guest}); err != nil {
		t.Fatal(err)
	}
	want("a", "g") // without a host all entries are listed
	if err := host.Register(ctx, Request{Member: self}); err != nil {
		t.Fatal(err)
	}
	want("a", "h")
	if err := host.Deregister(ctx, self); err != nil {
		t.Fatal(err)
	}
	want("a", "g")
}

// Guards against a key that names another host, which would be asked in its place.
func TestMalformedHostsAreReported(t *testing.T) {
	reported := 0
	listed := decodeHosts([]platform.KeyValue{
		platform.NewKeyValue(HostsPrefix("a")+"h", []byte(`{"kind":"entry","name":"other","dataCentre":"a"}`), 1, 0),
		platform.NewKeyValue(HostsPrefix("a")+"i", []byte(`{`), 1, 0),
	}, func(error) { reported++ })
	if len(listed) > 0 || reported != 2 {
		t.Errorf("%v are listed, %d reported", listed, reported)
	}
}
