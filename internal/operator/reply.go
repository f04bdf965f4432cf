package operator

import (
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/hyssoprelay/hyssoprelay/pkg/result"
)

const contentJSON = "application/json"

// writeJSON sends v as the whole answer.
func writeJSON(w http.ResponseWriter, status int, v any) {
	b, err := json.Marshal(v)
	if err != nil {
		status = http.StatusInternalServerError
		b = []byte("{}")
	}
	w.Header().Set("Content-Type", contentJSON)
	w.Header().Set("Content-Length", strconv.Itoa(len(b)))
	w.WriteHeader(status)
	_, _ = w.Write(b)
}

// writeError sends err as an ErrorReply. An error without a number says
// nothing about its effect, and neither does the answer.
func writeError(w http.ResponseWriter, err error) {
	e := result.Of(err)
	if e == nil {
		e = result.New(result.WriteUnknown, err.Error())
	}
	reply := errorReply(e)
	var f *faultsError
	if errors.As(err, &f) {
		reply.Faults = faultViews(f)
	}
	info, _ := result.Lookup(e.Code())
	status := info.Status()
	if status == 0 {
		status = http.StatusInternalServerError
	}
	if d := e.RetryAfter(); d > 0 {
		seconds := (d + time.Second - 1) / time.Second
		w.Header().Set("Retry-After", strconv.Itoa(int(seconds)))
	}
	writeJSON(w, status, reply)
}

func errorReply(e *result.Error) ErrorReply {
	info, _ := result.Lookup(e.Code())
	return ErrorReply{
		Code:             int(e.Code()),
		Name:             info.Name(),
		Effect:           e.Code().Effect().String(),
		Text:             info.Text(),
		Detail:           e.Detail(),
		RetryAfterMillis: e.RetryAfter().Milliseconds(),
	}
}

func faultViews(e *faultsError) []FaultView {
	list := make([]FaultView, len(e.faults))
	for i, f := range e.faults {
		list[i] = FaultView{Section: f.Section(), Key: f.Key(), Line: f.Line(), Found: f.Found(), Allowed: f.Allowed()}
	}
	return list
}

// readJSON reads the whole body into v. Unknown keys are refused: a condition
// that is written wrongly, such as "ifgeneration", must not be left out in
// silence.
func readJSON(r *http.Request, v any) error {
	text, err := io.ReadAll(io.LimitReader(r.Body, maxBody+1))
	if err != nil {
		return result.New(result.MalformedOrder, "the body can't be read")
	}
	if len(text) > maxBody {
		return result.Newf(result.BodyTooLarge, "at most %d bytes are allowed", maxBody)
	}
	return decode(text, v)
}
