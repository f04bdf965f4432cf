package wake

import "testing"

func TestSignalsCountAsOneUntilRead(t *testing.T) {
	var s Signal
	s.Raise()
	s.Raise()
	<-s.Raised()
	select {
	case <-s.Raised():
		t.Fatal("raised after it was read")
	default:
	}
	s.Raise()
	<-s.Raised()
}
