package standin

import (
	"encoding/json"
	"net/http"
	"strconv"
)

// WriteJSON answers with v and status.
func WriteJSON(w http.ResponseWriter, status int, v any) {
	raw, err := json.Marshal(v)
	if err != nil {
		status, raw = http.StatusInternalServerError, []byte(err.Error())
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(raw)))
	w.WriteHeader(status)
	write(w, raw)
}

// ReadJSON reads the body into v and answers with status 400 when it can't.
func ReadJSON(w http.ResponseWriter, r *http.Request, v any) bool {
	if err := json.NewDecoder(r.Body).Decode(v); err != nil {
		WriteJSON(w, http.StatusBadRequest, map[string]string{"error": err.Error()})
		return false
	}
	return true
}

// BeginEvents starts a stream of server-sent events.
func BeginEvents(w http.ResponseWriter) {
	w.Header().Set("Content-Type", "text/event-stream")
	w.Header().Set("Transfer-Encoding", "chunked")
	w.WriteHeader(http.StatusOK)
	flush(w)
}

// WriteEvent sends one event with data at once.
func WriteEvent(w http.ResponseWriter, data []byte) {
	write(w, append(append([]byte("data: "), data...), "\n\n"...))
	flush(w)
}

// Drop closes the connection without ending the answer.
func Drop(w http.ResponseWriter) {
	h, ok := w.(http.Hijacker)
	if !ok {
		return
	}
	if conn, _, err := h.Hijack(); err == nil {
		// The point is that the caller loses the connection.
		_ = conn.Close()
	}
}

// write ignores errors: a stand-in goes on computing for a caller who left, as
// engines do until they are told to cancel.
func write(w http.ResponseWriter, p []byte) {
	_, _ = w.Write(p)
}

func flush(w http.ResponseWriter) {
	if f, ok := w.(http.Flusher); ok {
		f.Flush()
	}
}

// EchoRequestID has the response name the request as the request names itself.
func EchoRequestID(w http.ResponseWriter, r *http.Request) {
	if id := r.Header.Get("X-Request-Id"); id != "" {
		w.Header().Set("X-Request-Id", id)
	}
}
