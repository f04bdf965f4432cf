package main

import (
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
)

// benchVariable and siteVariable name the bench's program and the folder of the site files, and
// scriptsVariable is set where the deploy file and review/build.sh have been built.
const (
	benchVariable   = "REVIEW_BENCH"
	siteVariable    = "REVIEW_SITES"
	scriptsVariable = "REVIEW_SCRIPTS"
)

// A stream is moved off a slow engine, and the next engine answers 500. Shows a caller that gets a
// second status line within the chunked body of its answer.
func TestReviewCase1(t *testing.T) {
	bench, sites := os.Getenv(benchVariable), os.Getenv(siteVariable)
	if bench == "" || sites == "" {
		t.Skipf("%s and %s are not set", benchVariable, siteVariable)
	}
	cmd := exec.Command(bench, "run", filepath.Join(sites, "tazalyk-relay.toml"), "review/1/day.toml", "--seed", "1")
	cmd.Dir = filepath.Join("..", "..")
	out, err := cmd.CombinedOutput()
	if err != nil {
		t.Fatalf("%v: %s", err, out)
	}
	if strings.Contains(string(out), "rules broken: MIXED") {
		t.Errorf("the day breaks MIXED: %s", out)
	}
}

// Shows the same with stand-ins for the engines and on the real clock.
func TestReviewCase1Script(t *testing.T) {
	if os.Getenv(scriptsVariable) == "" {
		t.Skipf("%s is not set", scriptsVariable)
	}
	if out, err := exec.Command("./run.sh").CombinedOutput(); err != nil {
		t.Errorf("%v: %s", err, out)
	}
}
