package standin

import (
	"os"
	"path/filepath"
	"testing"
)

// failedTest is a test that has failed.
type failedTest struct {
	*testing.T
	cleanups []func()
}

func (f *failedTest) Failed() bool        { return true }
func (f *failedTest) Name() string        { return "TestX/seed 1" }
func (f *failedTest) Cleanup(done func()) { f.cleanups = append(f.cleanups, done) }

// Guards against a test that fails once and leaves nothing by which the failure can be traced.
func TestLogsOfAFailedTestAreKept(t *testing.T) {
	dir := t.TempDir()
	t.Setenv(LogDirVariable, dir)
	f, log := &failedTest{T: t}, &Log{}
	Keep(f, "entry a:1", log.Text)
	NewEventLog(log).Info("written after Keep was called")
	for _, done := range f.cleanups {
		done()
	}
	b, err := os.ReadFile(filepath.Join(dir, "TestX_seed_1", "entry_a_1.log"))
	if err != nil || string(b) != log.Text() || len(b) == 0 {
		t.Errorf("%q, %v", b, err)
	}
}
