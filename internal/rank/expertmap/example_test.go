package expertmap_test

import (
	"fmt"

	"github.com/hyssoprelay/hyssoprelay/internal/rank/expertmap"
)

// One expert receives half of all tokens. With a single replica its rank has
// twice the mean load, and all ranks wait for it in each step. Replicas on
// other ranks balance the load.
func Example() {
	shape := expertmap.Shape{Ranks: 4, Slots: 2, Experts: 4}
	load := []float64{600, 200, 200, 200}

	static, err := expertmap.NewContiguousLayer(shape)
	if err != nil {
		fmt.Println(err)
		return
	}
	imp, err := expertmap.Improve(static, load, expertmap.LoadVariance{}, 4, 0.01, 0)
	if err != nil {
		fmt.Println(err)
		return
	}
	fmt.Printf("static %.2f\n", expertmap.Skew(static, load))
	fmt.Printf("improved %.2f by %d moves\n", expertmap.Skew(imp.Layer(), load), imp.Moves())
	fmt.Printf("bound %.2f\n", expertmap.LowerBound(load, shape))
	// Output:
	// static 2.00
	// improved 1.00 by 3 moves
	// bound 1.00
}
