package line

import "context"

// Test is what Start needs of a running test; *testing.T implements it.
type Test interface {
	Helper()
	Cleanup(f func())
	Error(args ...any)
	Fatal(args ...any)
}

// Start opens a line and runs it until the test ends. It returns the line's address.
func Start(t Test, l *Faulty) string {
	t.Helper()
	addr, err := l.Listen()
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- l.Run(ctx) }()
	t.Cleanup(func() {
		cancel()
		if err := <-done; err != nil {
			t.Error(err)
		}
	})
	return addr
}
