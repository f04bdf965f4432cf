package config_test

import (
	"fmt"
	"time"

	"github.com/hyssoprelay/hyssoprelay/internal/platform/config"
)

// Two processes change the configuration concurrently, for example after a
// restore from an older copy. The join keeps both changes.
func ExampleJoinHeads() {
	now := time.Unix(0, 0)
	order := func(id string, c config.Change) config.Order {
		return config.Order{ChangeID: id, By: "aigerim", Change: c}
	}
	base, _ := config.Apply(config.Head{}, order("1", config.PutPreset{Name: "day", Body: []byte("[preset]")}), now)
	a, _ := config.Apply(base, order("2a", config.TakeOutOfService{Target: config.DataCentre("north")}), now)
	b, _ := config.Apply(base, order("2b", config.TakeOutOfService{Target: config.Endpoint("desk-1")}), now)
	h := config.JoinHeads(a, b)
	fmt.Println(h.Generation(), h.IsOutOfService(config.DataCentre("north")), h.IsOutOfService(config.Endpoint("desk-1")))
	// Output: 2 true true
}
