package ranker

import (
	"testing"

	"github.com/hyssoprelay/hyssoprelay/internal/fleet/fleetpb"
	"github.com/hyssoprelay/hyssoprelay/internal/process"
	"github.com/hyssoprelay/hyssoprelay/internal/rank/lockstep"
)

// Guards against a delegate that ends because of a message without an order.
func TestMessageWithoutAnOrderIsIgnored(t *testing.T) {
	log := process.NewBoundedLog("agent", "a")
	s := &service{ranker: &Ranker{Log: log}}
	reply, err := s.Spread(t.Context(), &fleetpb.SpreadRequest{Orders: []*fleetpb.Addressed{{}}})
	if err != nil || len(reply.GetReplies()) != 1 || reply.GetReplies()[0].GetStatus() != uint32(lockstep.Unknown) {
		t.Errorf("%v, %v", reply, err)
	}
}
