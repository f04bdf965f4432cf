package demo

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/hyssoprelay/hyssoprelay/internal/caller"
	"github.com/hyssoprelay/hyssoprelay/internal/platform/config"
	"github.com/hyssoprelay/hyssoprelay/pkg/result"
)

// patience bounds each wait. It measures nothing: it ends a test that hangs.
const patience = 30 * time.Second

func eventually(t *testing.T, what string, ok func() bool) {
	t.Helper()
	end := time.Now().Add(patience)
	for !ok() {
		if time.Now().After(end) {
			t.Fatalf("not seen: %s", what)
		}
		time.Sleep(5 * time.Millisecond)
	}
}

func order(t *testing.T, s *System, args ...string) string {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), patience)
	defer cancel()
	out, err := s.Order(ctx, args...)
	if err != nil {
		t.Fatal(err)
	}
	return out
}

// orderAt gives an order at one entry, whatever its exit code.
func orderAt(t *testing.T, s *System, e *Entry, args ...string) string {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), patience)
	defer cancel()
	out, _ := s.Order(ctx, append([]string{"--admin", e.Process.AdminAddress()}, args...)...)
	return out
}

func print1(t *testing.T, e *Entry, key string) (int, string) {
	t.Helper()
	return ask(t, e, caller.PathServices+"desk/print", `{"catalogue":1}`, "Idempotency-Key", key)
}

func assertRuns(t *testing.T, s *System, key string, want int) {
	t.Helper()
	if n := s.Runs()[key]; n != want {
		t.Errorf("%s ran %d times, want %d", key, n, want)
	}
}

func assertCode(t *testing.T, body string, want result.Code) {
	t.Helper()
	if got, detail := refusal([]byte(body)); got != want {
		t.Errorf("code %d, want %d: %s", got, want, detail)
	}
}

// underLoad runs f while callers send requests, and returns what became of
// them.
func underLoad(t *testing.T, s *System, rate float64, seed uint64, f func()) *Report {
	t.Helper()
	l := &Load{Rate: rate, Deadline: 10 * time.Second, Seed: seed, Entries: s.Serving}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- l.Run(ctx) }()
	f()
	cancel()
	if err := <-done; err != nil {
		t.Fatal(err)
	}
	return NewReport(s, l.Outcomes(), nil)
}

func assertUnbroken(t *testing.T, r *Report) {
	t.Helper()
	for _, b := range r.Broken() {
		t.Error(b)
	}
}

func assertAllWhole(t *testing.T, r *Report) {
	t.Helper()
	assertUnbroken(t, r)
	for s, c := range r.counts {
		if c.whole+c.late != c.sent {
			t.Errorf("%s: %d of %d whole; results %v", Shape(s), c.whole+c.late, c.sent, r.codes)
		}
	}
}

// Operators take a data centre out under load. A caller would see nothing; a
// clerk in the data centre would see its endpoints fall idle. Without the check
// at the agents, an entry that had not heard of the order would go on sending
// work there.
func TestDataCentreOutGetsNoNewWork(t *testing.T) {
	s := startSystem(t)
	r := underLoad(t, s, 100, 1, func() {
		time.Sleep(300 * time.Millisecond)
		order(t, s, "datacentre", "out", "b")
		eventually(t, "every process knows", func() bool { return s.allOut("b") })
		// What the agents had admitted before the order still runs to its end.
		eventually(t, "b has finished what it ran", func() bool { return s.runningIn("b") == 0 })
		before := s.begun("b")
		time.Sleep(500 * time.Millisecond)
		if after := s.begun("b"); after != before {
			t.Errorf("%d requests began in b after it was out", after-before)
		}
		order(t, s, "datacentre", "in", "b")
		eventually(t, "b works again", func() bool { return s.begun("b") > before })
	})
	assertAllWhole(t, r)
}

// Data centre c is cut off from the others and from the platform, and its
// operator takes one of its endpoints out. Meanwhile another operator switches
// the preset in a. When the cut heals, both orders hold everywhere: neither
// side's order is lost and neither reverts the other.
func TestOrdersOnBothSidesOfACutJoin(t *testing.T) {
	s := startSystem(t)
	for _, side := range []string{"a", "b", Platform} {
		s.Network.Cut("c", side)
	}
	c := s.EntriesOf("c")[0]
	out := orderAt(t, s, c, "endpoint", "out", "c-engine-0")
	if !strings.Contains(out, result.HeldLocally.String()) {
		t.Errorf("the operator in c was told %q", out)
	}
	eventually(t, "the agent in c refuses", func() bool {
		return s.agent("c-engine-0").Process.OutOfService()
	})
	eventually(t, "a can order", func() bool {
		_, err := s.Order(context.Background(), "--admin", s.EntriesOf("a")[0].Process.AdminAddress(), "datacentre", "out", "b")
		return err == nil
	})
	s.Network.Heal()
	eventually(t, "both orders hold in each process", func() bool {
		for _, e := range s.EntriesOf("") {
			if !e.Process.IsOut(config.Endpoint("c-engine-0")) || !e.Process.IsOut(config.DataCentre("b")) {
				return false
			}
		}
		return s.agent("b-engine-0").Process.OutOfService() && s.agent("c-engine-0").Process.OutOfService()
	})
	if s.agent("a-engine-0").Process.OutOfService() {
		t.Error("an endpoint that nobody took out is out")
	}
}

// The data centre of a caller is cut off from the others and the platform. Its
// callers still get their chats from its own engine; an order is refused as not
// run, because nobody could tell whether its key was used elsewhere.
func TestCutOffDataCentreServesWhatItCan(t *testing.T) {
	s := startSystem(t)
	for _, side := range []string{"a", "b", Platform} {
		s.Network.Cut("c", side)
	}
	e := s.EntriesOf("c")[0]
	status, body := ask(t, e, caller.PathChat, chat(true))
	if status != http.StatusOK {
		t.Errorf("chat: %d %s", status, body)
	}
	_, body = print1(t, e, "cut")
	assertCode(t, body, result.PlatformDown)
	assertRuns(t, s, "cut", 0)
	s.Network.Heal()
	eventually(t, "the order runs after the cut", func() bool {
		status, _ := print1(t, e, "cut")
		return status == http.StatusOK
	})
	assertRuns(t, s, "cut", 1)
}

// The platform's service is down when a VM comes up. Without the peers the new
// entry would know no preset and turn every caller away until the service is
// back.
func TestNewEntryLearnsFromPeersInAnOutage(t *testing.T) {
	s := startSystem(t)
	order(t, s, "datacentre", "out", "b")
	eventually(t, "every process knows", func() bool { return s.allOut("b") })
	s.KV.SetDown(true)
	e, err := s.StartEntry("a", "a-entry-new")
	if err != nil {
		t.Fatal(err)
	}
	eventually(t, "the new entry serves", func() bool { return e.Process.Ready() == nil })
	status, body := ask(t, e, caller.PathChat, chat(true))
	if status != http.StatusOK {
		t.Errorf("chat: %d %s", status, body)
	}
	if !e.Process.IsOut(config.DataCentre("b")) {
		t.Error("the new entry does not know that b is out")
	}
	s.KV.SetDown(false)
}

// The platform's answers are lost after each write has taken effect. A clerk
// who sends the order again with its key must not ship a second pallet, and an
// order must not vanish.
func TestOrdersWhenThePlatformLosesAnswers(t *testing.T) {
	s := startSystem(t)
	entries := s.EntriesOf("")
	for i := range 12 {
		key := fmt.Sprintf("lost-%d", i)
		s.KV.LoseAnswers(1 + i%3)
		eventually(t, key+" is answered", func() bool {
			status, _ := print1(t, entries[i%len(entries)], key)
			return status == http.StatusOK
		})
		assertRuns(t, s, key, 1)
	}
}

// Two shop clerks press "confirm" on the same basket at the same moment and
// reach two entries in two data centres. One order must run, and both must get
// its answer.
func TestOneKeyThroughAllEntriesAtOnce(t *testing.T) {
	s := startSystem(t)
	for i := range 5 {
		key := fmt.Sprintf("both-%d", i)
		answers := make(chan string, 3)
		for _, e := range s.EntriesOf("") {
			go func() {
				status, body := print1(t, e, key)
				answers <- fmt.Sprint(status, body)
			}()
		}
		first := <-answers
		for range 2 {
			if next := <-answers; next != first {
				t.Errorf("%s: %s and %s", key, first, next)
			}
		}
		if !strings.HasPrefix(first, "200") {
			t.Errorf("%s: %s", key, first)
		}
		assertRuns(t, s, key, 1)
	}
}

// All entries and agents are replaced one by one under load, as a rolling
// update does. Without the announcement and the wait, the requests that run in
// a stopping process would be cut off.
func TestRollingRestartCutsOffNothing(t *testing.T) {
	s := startSystem(t)
	for _, dc := range s.DataCentres {
		if _, err := s.StartEntry(dc, dc+"-entry-second"); err != nil {
			t.Fatal(err)
		}
	}
	r := underLoad(t, s, 60, 2, func() {
		for _, e := range s.EntriesOf("") {
			if strings.HasSuffix(e.Name, "second") {
				continue
			}
			if err := e.Stop(); err != nil {
				t.Error(err)
			}
		}
		for _, a := range s.Agents() {
			if err := s.RestartAgent(a); err != nil {
				t.Error(err)
			}
		}
	})
	assertAllWhole(t, r)
}

// An entry and the agents are told to go while they stream answers that last
// longer than their announcements. Without the waits for what runs, the callers
// would lose the rest.
func TestStopWaitsForAnswersBeyondTheAnnouncement(t *testing.T) {
	t.Parallel()
	s := startSystem(t, func(s *System) { s.EngineSettings.TokenMicros = 100_000 })
	e := s.EntriesOf("a")[0]
	answers := make(chan Outcome, 3)
	l := &Load{Deadline: patience, client: http.DefaultClient}
	for i := range 3 {
		go func() { answers <- l.send(e, fmt.Sprint("stop-", i), Streamed) }()
	}
	eventually(t, "all stream", func() bool { return len(s.Ran()) == 3 })
	e.cancel()
	for _, a := range s.Agents() {
		a.cancel()
	}
	for range 3 {
		if o := <-answers; !o.whole {
			t.Errorf("%s: %s %s", o.id, o.code, o.detail)
		}
	}
}

// Guards against an agent that stops half a second after its endpoint has computed an answer,
// although a caller that reads slowly does not have it yet: the caller would get half an answer.
func TestStopDeliversAnswersToSlowCallers(t *testing.T) {
	t.Parallel()
	const tokens = 8000
	s := startSystem(t, func(s *System) {
		s.Preset = strings.Replace(s.Preset, "maxOutputTokens = 1000", fmt.Sprint("maxOutputTokens = ", tokens), 1)
		s.EngineSettings.TokenMicros = 20
	})
	e := s.EntriesOf("a")[0]
	c, err := (&net.Dialer{Control: smallReceiveBuffer}).Dial("tcp", e.Process.CallerAddress())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.Close() })
	body := fmt.Sprintf(`{"model":"small","stream":true,"max_tokens":%d,"messages":[{"role":"user","content":"hi"}]}`, tokens)
	r, err := http.NewRequest(http.MethodPost, "http://"+e.Process.CallerAddress()+caller.PathChat, strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	r.Header.Set("Authorization", "Bearer "+Key)
	if err := r.Write(c); err != nil {
		t.Fatal(err)
	}
	res, err := http.ReadResponse(bufio.NewReader(c), r)
	if err != nil || res.StatusCode != http.StatusOK {
		t.Fatalf("%v, %v", res, err)
	}
	// The caller reads a little now and then: one that reads nothing for some seconds is cut off.
	var b bytes.Buffer
	eventually(t, "the answer is computed", func() bool {
		_, _ = io.CopyN(&b, res.Body, 128)
		running := 0
		for _, a := range s.Agents() {
			running += a.Process.Running()
		}
		return running == 0
	})
	for _, a := range s.Agents() {
		a.cancel()
	}
	// The caller reads slowly for longer than the agents took to stop.
	for range 20 {
		_, _ = io.CopyN(&b, res.Body, 4096)
		time.Sleep(100 * time.Millisecond)
	}
	_, err = b.ReadFrom(res.Body)
	if n := strings.Count(b.String(), "data: "); err != nil || n != tokens+1 {
		t.Errorf("%d of %d events, %v", n, tokens+1, err)
	}
}

// smallReceiveBuffer bounds what the kernel receives for a caller that does not read.
func smallReceiveBuffer(_, _ string, raw syscall.RawConn) error {
	var opt error
	err := raw.Control(func(fd uintptr) {
		opt = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, 4096)
	})
	return errors.Join(err, opt)
}
