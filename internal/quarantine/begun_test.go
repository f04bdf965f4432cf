package quarantine

import "testing"

// Endpoints end one after the other under requests with one part, in the middle of their answers. Guards
// against a part that is cleared by each answer that begins, and against refusing the parts of sound
// requests, whose answers are completed.
func TestFatalPartThatLetsAnswersBeginIsRefused(t *testing.T) {
	table := &Table{}
	for i, ms := range []int{1000, 1200, 1400} {
		wantRefused(t, table, ms, false, "fatal")
		table.Completed([]string{"first", "middle"}, at(ms-300))
		table.Answered([]string{"first", "middle", "fatal"}, at(ms-100))
		table.Crashed([]string{"first", "middle", "fatal"}, begunEnd(i, ms))
	}
	wantRefused(t, table, 1400, true, "fatal")
	wantRefused(t, table, 1400, false, "first", "middle")
	table.Answered([]string{"fatal"}, at(1500))
	wantRefused(t, table, 1500, true, "fatal")
	table.Completed([]string{"fatal"}, at(1600))
	wantRefused(t, table, 1600, false, "fatal")
}

// Endpoints end in the middle of answers to one and the same request. Guards against refusing other
// requests that share its parts.
func TestPartsOfOneRequestAreNotRefused(t *testing.T) {
	for name, c := range map[string]struct {
		requests [3]uint32
		refused  bool
	}{
		"one request":           {[3]uint32{7, 7, 7}, false},
		"two requests":          {[3]uint32{7, 7, 8}, true},
		"one that is not known": {[3]uint32{7, 7, 0}, true},
	} {
		t.Run(name, func(t *testing.T) {
			table := &Table{}
			for i, request := range c.requests {
				crash := begunEnd(i, 1000+i*200)
				crash.Request = request
				table.Crashed([]string{"p"}, crash)
			}
			wantRefused(t, table, 1400, c.refused, "p")
		})
	}
}

// One endpoint ends under several requests, of which some had a part of their answers. Guards against a
// part that is cleared because a request of that endpoint had nothing yet.
func TestEndWithinAnAnswerIsNotClearedByABeginning(t *testing.T) {
	for name, crashes := range map[string][]Crash{
		"begun first":   {begunEnd(1, 1000), end(1, 1000)},
		"unbegun first": {end(1, 1000), begunEnd(1, 1000)},
	} {
		t.Run(name, func(t *testing.T) {
			table := &Table{}
			for _, crash := range crashes {
				table.Crashed([]string{"p"}, crash)
			}
			table.Answered([]string{"p"}, at(1100))
			if n := len(table.Known("p").Crashes); n != 1 {
				t.Errorf("%d ends are known", n)
			}
		})
	}
}
