package inifile_test

import (
	"fmt"
	"time"

	"github.com/hyssoprelay/hyssoprelay/internal/inifile"
)

func ExampleSplit() {
	doc := inifile.Split([]byte(`[queue]
length = 12 # a comment
token = a#b;c
wait = 3
[zone x]
`))
	s := doc.Section("queue")
	fmt.Println(s.Int("length", 5, 1, 100), s.Text("token", ""), s.Duration("wait", time.Second, 0, time.Minute))
	for _, f := range doc.Close("[queue]") {
		fmt.Println(f)
	}
	// Output:
	// 12 a#b;c 1s
	// line 4: [queue] wait: "3"; allowed: a duration from 0s to 1m0s
	// line 5: [zone x] the section zone x; allowed: [queue]
}
