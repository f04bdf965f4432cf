package wake

import "testing"

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
