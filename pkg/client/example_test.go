package client_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"time"

	"github.com/hyssoprelay/hyssoprelay/pkg/client"
)

// An order goes out under a key, so that it ships once however often its
// sending is repeated.
func ExampleClient_Service() {
	entry := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("X-Request-Id", r.Header.Get("X-Request-Id"))
		w.Header().Set("X-Result-Code", "0")
		_, _ = io.WriteString(w, "confirmed "+r.Header.Get("Idempotency-Key"))
	}))
	defer entry.Close()
	c := &client.Client{Entries: []string{entry.URL}, Key: "secret"}
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	a, err := c.Service(ctx, client.ServiceCall{
		Service: "orders", Method: http.MethodPost, Path: "/confirm",
		Body: []byte("2 pallets"), IdempotencyKey: "order-17",
	})
	if err != nil {
		fmt.Println(err)
		return
	}
	fmt.Println(string(a.Body()))
	// Output: confirmed order-17
}
