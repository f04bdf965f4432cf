package endpoint_test

import (
	"encoding/json"
	"strings"
	"testing"

	"github.com/hyssoprelay/hyssoprelay/internal/standin/engine"
	"github.com/hyssoprelay/hyssoprelay/pkg/result"
)

// streamText joins the tokens of a stream and checks its end marker.
func streamText(t *testing.T, pieces []string) string {
	t.Helper()
	var b strings.Builder
	for i, p := range pieces {
		data := strings.TrimSuffix(strings.TrimPrefix(p, "data: "), "\n\n")
		if data == "[DONE]" {
			if i != len(pieces)-1 {
				t.Fatalf("end marker at piece %d of %d", i, len(pieces))
			}
			return b.String()
		}
		var c engine.Chunk
		if err := json.Unmarshal([]byte(data), &c); err != nil {
			t.Fatalf("piece %d %q: %v", i, p, err)
		}
		b.WriteString(c.Choices[0].Delta.Content)
	}
	t.Fatal("no end marker")
	return ""
}

func TestDoWholeAnswers(t *testing.T) {
	c := client(t, serve(t, engine.New(engine.Settings{})), nil)
	t.Run("json", func(t *testing.T) {
		a := do(t, c, chatCall("j1", false), result.OK)
		var got engine.Completion
		if err := json.Unmarshal([]byte(strings.Join(a.pieces, "")), &got); err != nil {
			t.Fatal(err)
		}
		if got.Choices[0].Message.Content != engine.Text("j1", 8) {
			t.Fatalf("got %+v", got)
		}
	})
	t.Run("stream", func(t *testing.T) {
		a := do(t, c, chatCall("s1", true), result.OK)
		requireText(t, a, "s1", 8)
	})
}
