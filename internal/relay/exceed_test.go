package relay

import (
	"errors"
	"fmt"
	"testing"
	"time"

	"github.com/hyssoprelay/hyssoprelay/internal/endpoint/direct"
	"github.com/hyssoprelay/hyssoprelay/internal/endpoint/placement"
	"github.com/hyssoprelay/hyssoprelay/internal/routing"
	"github.com/hyssoprelay/hyssoprelay/pkg/result"
)

// An endpoint sends responses that exceed limits. Guards against sending it all further requests,
// against excluding it after a single one, and against never using it again.
func TestEndpointThatExceedsLimitsIsExcludedAndProbed(t *testing.T) {
	cause := fmt.Errorf("read: %w", &direct.LimitError{Limit: direct.LimitHeadBytes})
	for name, o := range map[string]Outcome{
		"before the answer": Unknown{Cause: cause},
		"within it":         Interrupted{Cause: errors.Join(cause)},
		"in a refusal":      NotRun{Sent: true, Code: result.EndpointLeaving, Cause: cause},
	} {
		t.Run(name, func(t *testing.T) {
			st := newState("me", &routing.Service{Name: "orders"})
			listEndpoints(st, 1, "orders")
			s, now := st.Table().Service("orders"), start
			for i := range failureThreshold {
				assigned, e := st.Choose(s, placement.Query{}, now)
				if e != nil {
					t.Fatalf("excluded after %d responses: %v", i, e)
				}
				st.Release(assigned, o, now)
			}
			if _, e := st.Choose(s, placement.Query{}, now); e == nil {
				t.Fatal("not excluded")
			}
			if _, e := st.Choose(s, placement.Query{}, now.Add(time.Second)); e != nil {
				t.Fatalf("not probed: %v", e)
			}
		})
	}
}
