package allowance_test

import (
	"fmt"
	"time"

	"github.com/hyssoprelay/hyssoprelay/internal/endpoint/allowance"
)

// A cold endpoint may run one request; two completed requests raise the limit to
// two.
func Example() {
	now := time.Date(2026, 1, 5, 8, 0, 0, 0, time.UTC)
	a := &allowance.Allowance{}
	if err := a.Configure(allowance.Limits{Cold: 1, Full: 4, RampCompletions: 2}); err != nil {
		fmt.Println(err)
	}
	first, _ := a.Admit(now)
	_, refused := a.Admit(now)
	fmt.Println(refused.Code(), refused.RetryAfter())
	a.Complete(first, now)
	second, _ := a.Admit(now)
	a.Complete(second, now)
	fmt.Println(a.State().Limit())
	// Output:
	// endpointCold 500ms
	// 2
}
