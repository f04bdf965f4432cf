package preset_test

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/hyssoprelay/hyssoprelay/internal/operator/preset"
)

const examples = "../../../examples/"

// TestExamplesParse keeps the presets that operators start from readable.
func TestExamplesParse(t *testing.T) {
	files, err := filepath.Glob(examples + "*-*.ini")
	if err != nil || len(files) < 6 {
		t.Fatalf("found %d examples, error %v", len(files), err)
	}
	for _, f := range files {
		t.Run(filepath.Base(f), func(t *testing.T) { checkExample(t, f) })
	}
}

func checkExample(t *testing.T, file string) {
	t.Helper()
	text, err := os.ReadFile(file)
	if err != nil {
		t.Fatal(err)
	}
	p, faults := preset.Parse(text)
	if len(faults) > 0 || p.Name()+".ini" != filepath.Base(file) {
		t.Fatalf("faults %v", faults)
	}
	for _, a := range p.Accounts() {
		if got, ok := p.AccountByKey("example-key-" + a.Name()); !ok || got.Name() != a.Name() {
			t.Errorf("the example key of %s is not known", a.Name())
		}
	}
}

func ExampleParse() {
	text, err := os.ReadFile(examples + "association-peak.ini")
	if err != nil {
		fmt.Println(err)
		return
	}
	p, _ := preset.Parse(text)
	r, _ := p.Route("print-orders")
	fmt.Println(r.Serves("uppsala-print-1"), r.Repeatable(), r.Capacity().Concurrency())
	_, faults := preset.Parse([]byte(strings.Replace(string(text), "weight = 5", "weight = 0", 1)))
	fmt.Println(faults[0])
	// Output:
	// true false 8
	// line 32: [account goteborg-club] weight: "0"; allowed: a number above 0, at most 1e+06
}
