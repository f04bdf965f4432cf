package standin

import (
	"net"
	"os"
	"testing"
)

// Guards against a test whose closed listener's port goes to another test process, as relays that
// still send there then run their requests at a stand-in of the other test.
func TestProcessesListenAtAddressesOfTheirOwn(t *testing.T) {
	seen := map[string]int{}
	const step = 251
	for pid := 1; pid < 1<<22; pid += step {
		ip := loopbackIP(pid)
		if other, ok := seen[ip]; ok {
			t.Fatalf("processes %d and %d have %s", other, pid, ip)
		}
		seen[ip] = pid
	}
	if ip := net.ParseIP(loopbackIP(1<<22 - 1)); ip == nil || !ip.IsLoopback() {
		t.Errorf("%v is no loopback address", ip)
	}
	ln, err := Listen()
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = ln.Close() }()
	host, _, _ := net.SplitHostPort(ln.Addr().String())
	if want := loopbackIP(os.Getpid()); host != want && host != "127.0.0.1" {
		t.Errorf("listens at %s, want %s", host, want)
	}
}

// Guards against a system under test whose process is called by the processes of another system,
// which go on calling the address of one that was killed: the address must not be given out again.
func TestFreeAddressesAreOfThisProcessAndNotUsedAgain(t *testing.T) {
	seen := map[string]bool{}
	for range 200 {
		addr, err := FreeAddress()
		if err != nil {
			t.Fatal(err)
		}
		if host, _, _ := net.SplitHostPort(addr); host != LoopbackIP() || seen[addr] {
			t.Fatalf("%s, given out before: %v", addr, seen[addr])
		}
		seen[addr] = true
	}
}
