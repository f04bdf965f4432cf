package directory

import (
	"fmt"
	"testing"
	"time"
)

// Guards against marks of endpoints that left long ago, which would fill the memory of a process
// that runs for months, and against one that is forgotten while its endpoint is still listed.
func TestOldLeavingMarksAreDeleted(t *testing.T) {
	now := time.Unix(10000, 0)
	d := &Directory{}
	d.Put(Entry{ID: "listed", StartMillis: 1}, now)
	d.MarkLeaving("listed", 1, now)
	for i := range 100 {
		d.MarkLeaving(fmt.Sprint("gone", i), 1, now)
	}
	later := now.Add(leavingRetention + time.Second)
	d.MarkLeaving("another", 1, later)
	if n := len(d.leaving.byID); n != 2 {
		t.Errorf("%d marks are kept, want 2", n)
	}
	if _, ok := d.Usable("listed", later); ok {
		t.Error("a listed endpoint is no longer known to be leaving")
	}
}
