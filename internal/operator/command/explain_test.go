package command

import (
	"strings"
	"testing"
)

const savedLogs = `
   1.0 front-1 {"time":"2026-05-26T15:40:30Z","process":"front-1","msg":"dependency lost","dependency":"store"}
   1.1 front-2 {"time":"2026-05-26T15:40:30Z","process":"front-2","msg":"dependency lost","dependency":"store"}
not a line of ours
   2.0 front-1 {"time":"2026-05-26T15:40:33Z","process":"front-1","msg":"request ended","request":"a1","endpoints":["i-1"],"code":3001}
   1.5 front-1 {"time":"2026-05-26T15:40:32Z","process":"front-1","msg":"another attempt follows","request":"a1","endpoint":"i-2"}
   1.6 front-1 {"time":"2026-05-26T15:40:32.5Z","process":"front-1","msg":"request ended","request":"b2","endpoints":["i-1"]}
   1.7 front-1 {"time":"2026-05-26T15:40:31Z","process":"front-1","msg":"endpoint entry removed","endpoint":"i-2"}
   1.8 front-1 {"time":"2026-05-26T15:40:31Z","process":"front-1","msg":"endpoint entry removed","endpoint":"i-9"}
   0.1 front-1 {"time":"2026-05-26T15:40:01Z","process":"front-1","msg":"configuration in force","version":3}
`

// An operator has the id of a failed request and the logs of all processes.
func TestExplainTellsARequestsStory(t *testing.T) {
	lines, err := parseLog(strings.NewReader(savedLogs))
	if err != nil {
		t.Fatal(err)
	}
	var got []string
	for _, l := range explain("a1", lines) {
		got = append(got, l.text())
	}
	want := []string{
		"15:40:30.000 front-1: dependency lost dependency=store",
		"15:40:31.000 front-1: endpoint entry removed endpoint=i-2",
		"15:40:32.000 front-1: another attempt follows endpoint=i-2 request=a1",
		"15:40:33.000 front-1: request ended code=3001 endpoints=[i-1] request=a1",
	}
	if strings.Join(got, "\n") != strings.Join(want, "\n") {
		t.Fatalf("got\n%s\nwant\n%s", strings.Join(got, "\n"), strings.Join(want, "\n"))
	}
	if story := explain("none", lines); len(story) != 0 {
		t.Fatalf("%d lines of a request that is not there", len(story))
	}
}
