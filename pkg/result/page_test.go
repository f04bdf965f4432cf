package result

import (
	"fmt"
	"os"
	"regexp"
	"strconv"
	"strings"
	"testing"
)

const page = "../../docs/RESULTCODES.md"

var rowPattern = regexp.MustCompile(`^\| [0-9]+ \|`)

// row is one line of the page's tables.
type row struct {
	code               Code
	name, effect, http string
	text, action       string
}

func readPage(t *testing.T) []row {
	t.Helper()
	text, err := os.ReadFile(page)
	if err != nil {
		t.Fatal(err)
	}
	var rows []row
	for _, line := range strings.Split(string(text), "\n") {
		if !rowPattern.MatchString(line) {
			continue
		}
		f := strings.Split(strings.Trim(line, "| "), " | ")
		if len(f) != 6 {
			t.Fatalf("%d columns in %q", len(f), line)
		}
		n, err := strconv.Atoi(f[0])
		if err != nil {
			t.Fatal(err)
		}
		rows = append(rows, row{Code(n), f[1], f[2], f[3], f[4], f[5]})
	}
	return rows
}

// TestPageIsEqual compares docs/RESULTCODES.md with the table both ways.
func TestPageIsEqual(t *testing.T) {
	seen := map[Code]bool{}
	last := Code(-1)
	for _, r := range readPage(t) {
		seen[r.code] = true
		if r.code <= last {
			t.Errorf("%d stands after %d", r.code, last)
		}
		last = r.code
		t.Run(fmt.Sprint(int(r.code)), func(t *testing.T) { assertRow(t, r) })
	}
	for _, c := range Codes() {
		if !seen[c] {
			t.Errorf("%d %s is not on the page", c, c)
		}
	}
}

func assertRow(t *testing.T, r row) {
	t.Helper()
	i, ok := Lookup(r.code)
	if !ok {
		t.Fatal("the package does not define it")
	}
	status := "-"
	if i.Status() != 0 {
		status = strconv.Itoa(i.Status())
	}
	want := row{r.code, i.Name(), i.Effect().String(), status, i.Text(), r.action}
	if r != want {
		t.Errorf("the page has %+v, the package %+v", r, want)
	}
	if len(r.action) < len("Corrects it.") || !strings.HasSuffix(r.action, ".") {
		t.Errorf("the page does not say what the receiver does: %q", r.action)
	}
}

// TestCodes states what callers build on: a refusal that promises "not run"
// comes from the groups that never follow a dispatch, names are unique, and
// codes for callers and operators have an HTTP status.
func TestCodes(t *testing.T) {
	names := map[string]Code{}
	for _, c := range Codes() {
		i, _ := Lookup(c)
		if other, ok := names[i.Name()]; ok {
			t.Errorf("%d and %d are both %s", c, other, i.Name())
		}
		names[i.Name()] = c
		group := int(c) / 1000
		if group == 3 && i.Effect() == NotRun {
			t.Errorf("%d %s follows a dispatch and promises notRun", c, c)
		}
		if group >= 1 && group <= 4 && i.Status() == 0 {
			t.Errorf("%d %s has no HTTP status", c, c)
		}
		if (group == 4 || group == 5) != (i.Effect() == NotApplicable) && c != AnswerNotFound {
			t.Errorf("%d %s has the effect %s", c, c, i.Effect())
		}
	}
	if Code(9999).Effect() != Unknown {
		t.Error("a code that is not defined must be unknown")
	}
}
