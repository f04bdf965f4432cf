package wake

import (
	"context"
	"testing"
	"time"
)

func TestSignalsCountAsOneUntilRead(t *testing.T) {
	var s Signal
	s.Raise()
	s.Raise()
	<-s.Raised()
	select {
	case <-s.Raised():
		t.Fatal("signal is still raised after it was received")
	default:
	}
	s.Raise()
	<-s.Raised()
}

func TestWaitEndsWithItsCause(t *testing.T) {
	var s Signal
	s.Raise()
	if !s.Wait(t.Context(), time.Hour) {
		t.Error("a raised signal is not reported")
	}
	if s.Wait(t.Context(), time.Millisecond) {
		t.Error("a signal is reported twice")
	}
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	if s.Wait(ctx, time.Hour) {
		t.Error("the end of the context counts as a signal")
	}
}
