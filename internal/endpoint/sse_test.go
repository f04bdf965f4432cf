package endpoint

import (
	"bytes"
	"strings"
	"testing"
)

const testLimit = 1 << 16

// naiveSplit cuts a whole stream at once: events, and whether it is whole.
func naiveSplit(text string) (events []string, whole bool) {
	var block, data []string
	for line := range strings.SplitAfterSeq(text, "\n") {
		if line == "" {
			continue
		}
		if whole {
			return events, false
		}
		block = append(block, line)
		if !strings.HasSuffix(line, "\n") {
			return events, false
		}
		bare := strings.TrimSuffix(strings.TrimSuffix(line, "\n"), "\r")
		if field, value, _ := strings.Cut(bare, ":"); field == "data" {
			data = append(data, strings.TrimPrefix(value, " "))
		}
		if bare != "" {
			continue
		}
		if data != nil && strings.Join(data, "\n") == "[DONE]" {
			whole = true
		} else if data != nil {
			events = append(events, strings.Join(block, ""))
		}
		block, data = nil, nil
	}
	return events, whole && block == nil
}

// feedParts feeds text in two parts.
func feedParts(text string, cut int) (events []string, whole bool) {
	s := &splitter{limit: testLimit}
	emit := func(e []byte) { events = append(events, string(e)) }
	for _, part := range []string{text[:cut], text[cut:]} {
		if err := s.feed([]byte(part), emit); err != nil {
			return events, false
		}
	}
	done, err := s.end()
	return events, err == nil && bytes.Contains(done, []byte(doneMarker))
}

func requireSameSplit(t *testing.T, text string, cut int) {
	t.Helper()
	want, wantWhole := naiveSplit(text)
	got, whole := feedParts(text, cut)
	if whole != wantWhole {
		t.Fatalf("%q cut at %d: whole %v, want %v", text, cut, whole, wantWhole)
	}
	if strings.Join(got, "\x00") != strings.Join(want, "\x00") {
		t.Fatalf("%q cut at %d: events %q, want %q", text, cut, got, want)
	}
}

var sseSeeds = []string{
	"data: a\n\ndata: [DONE]\n\n",
	"data: a\r\n\r\ndata: [DONE]\r\n\r\n",
	": keep\n\ndata:a\nid: 3\n\ndata:[DONE]\n\n",
	"data: a\ndata: b\n\ndata: [DONE]\n\n",
	"data: [DONE]\n",
	"data: [DONE]\n\ndata: x\n\n",
	"data: [DONE] \n\n",
	"data: \"[DONE]\"\n\n",
	"data: [DO\n\ndata: NE]\n\n",
	"data: [DONE]\rdata: x\n\n",
	"data\n\n",
	"event: [DONE]\n\n",
	"data: [DONE]\ndata: [DONE]\n\n",
	"\n\n\n",
	"",
}

// The end of a stream is found as a naive reading of the whole text finds it,
// wherever the text is cut.
func TestSplitterAgainstNaive(t *testing.T) {
	for _, text := range sseSeeds {
		for cut := range len(text) + 1 {
			requireSameSplit(t, text, cut)
		}
	}
}

func FuzzSplitter(f *testing.F) {
	for i, text := range sseSeeds {
		f.Add(text, i)
	}
	f.Fuzz(func(t *testing.T, text string, cut int) {
		if len(text) >= testLimit {
			return
		}
		requireSameSplit(t, text, int(uint(cut)%uint(len(text)+1)))
	})
}

func TestSplitterBoundsOneEvent(t *testing.T) {
	s := &splitter{limit: 16}
	if err := s.feed([]byte(strings.Repeat("x", 17)), func([]byte) {}); err != errEventTooLong {
		t.Fatalf("got %v", err)
	}
}

func BenchmarkSplitter(b *testing.B) {
	for name, size := range map[string]int{"20B": 20, "1KB": 1 << 10, "32KB": 32 << 10} {
		b.Run(name, func(b *testing.B) {
			event := []byte("data: " + strings.Repeat("a", size) + "\n\n")
			b.SetBytes(int64(len(event)))
			b.ReportAllocs()
			s := &splitter{limit: testLimit}
			for b.Loop() {
				if err := s.feed(event, func([]byte) {}); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}
