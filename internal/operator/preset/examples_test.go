package preset

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
)

const examplesDir = "../../../examples"

// TestExamplesParse keeps the presets that operators start from readable.
func TestExamplesParse(t *testing.T) {
	files, err := filepath.Glob(filepath.Join(examplesDir, "*-*.ini"))
	if err != nil || len(files) < 6 {
		t.Fatalf("found %d examples, error %v", len(files), err)
	}
	for _, f := range files {
		name := strings.TrimSuffix(filepath.Base(f), ".ini")
		t.Run(name, func(t *testing.T) { checkExample(t, f, name) })
	}
}

func checkExample(t *testing.T, file, name string) {
	t.Helper()
	text, err := os.ReadFile(file)
	if err != nil {
		t.Fatal(err)
	}
	p, faults := Parse(text)
	for _, f := range faults {
		t.Error(f)
	}
	if p == nil {
		t.FailNow()
	}
	if p.Name() != name {
		t.Errorf("name %q in %s", p.Name(), file)
	}
	for _, a := range p.Accounts() {
		got, ok := p.AccountByKey("example-key-" + a.Name())
		if !ok || got.Name() != a.Name() {
			t.Errorf("the example key of %s is not known", a.Name())
		}
	}
	if _, ok := p.AccountByKey(""); ok {
		t.Error("an empty key has an account")
	}
}
