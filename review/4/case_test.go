package main

import (
	"os"
	"os/exec"
	"testing"
)

// TestReviewCase4 guards against relays that accept a key which was taken away when the relays that read the store
// lose power. It runs only if REVIEW_CASES is set, after the build of the deploy file and review/build-2.sh.
func TestReviewCase4(t *testing.T) {
	if os.Getenv("REVIEW_CASES") == "" {
		t.Skip("REVIEW_CASES is not set")
	}
	out, err := exec.Command("./run.sh").CombinedOutput()
	if err != nil {
		t.Fatalf("%v\n%s", err, out)
	}
}
