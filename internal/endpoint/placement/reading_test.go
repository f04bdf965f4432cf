package placement

import (
	"testing"
	"time"
)

// Guards against two long prompts on one rank in one pass, and against a choice by prompts of an
// endpoint that has more streams, or for a service without classes.
func TestPromptsInProgressBreakTies(t *testing.T) {
	report := func(b *Balancer, name string, running int, now time.Time) {
		b.Update(Report{Endpoint: name, Routes: []string{"r"}, Allowance: 8, Capacity: 8, Running: running, ValidAt: now}, now)
	}
	choose := func(b *Balancer, promptTokens int, now time.Time) string {
		c, _, _ := b.Choose(Query{Route: "r", Tokens: 900, PromptTokens: promptTokens}, now)
		return c.Endpoint
	}
	// newBalancer returns one of which endpoint a reads a prompt that this entry has sent it.
	newBalancer := func() (*Balancer, *Attempt, time.Time) {
		b, now := &Balancer{Samples: 16, SlowStart: time.Nanosecond}, time.Unix(1000, 0)
		report(b, "a", 2, now)
		report(b, "b", 3, now)
		now = now.Add(time.Second)
		a := b.Start(Choice{Endpoint: "a"}, Query{Route: "r", PromptTokens: 2000}, now)
		return b, a, now
	}
	t.Run("own prompt", func(t *testing.T) {
		b, _, now := newBalancer()
		if got := choose(b, 900, now); got != "b" {
			t.Errorf("chose %s, which reads a prompt", got)
		}
	})
	t.Run("own prompt read", func(t *testing.T) {
		b, a, now := newBalancer()
		b.Progress(a, now)
		if n := b.endpoints["a"].prompts.tokens(now); n != 0 {
			t.Errorf("%.0f tokens in progress after the first part of the response", n)
		}
		b.End(a, now)
		if n := b.endpoints["a"].prompts.tokens(now); n != 0 {
			t.Errorf("%.0f tokens in progress after the end", n)
		}
	})
	t.Run("more streams", func(t *testing.T) {
		b, _, now := newBalancer()
		report(b, "b", 4, now)
		if got := choose(b, 900, now.Add(readingTime)); got != "a" {
			t.Errorf("chose %s, which has more streams", got)
		}
	})
	t.Run("prompt of another entry", func(t *testing.T) {
		b, a, now := newBalancer()
		b.Progress(a, now)
		report(b, "b", 2, now)
		report(b, "b", 3, now)
		if got := choose(b, 900, now); got != "a" {
			t.Errorf("chose %s, to which another entry has just sent a prompt", got)
		}
	})
	t.Run("no classes", func(t *testing.T) {
		b, _, now := newBalancer()
		with := b.loadScore(b.endpoints["a"], b.routes["r"], &Query{Tokens: 900}, now)
		b.endpoints["a"].prompts = promptLoad{}
		if without := b.loadScore(b.endpoints["a"], b.routes["r"], &Query{Tokens: 900}, now); with != without {
			t.Errorf("score %f with a prompt in progress, %f without", with, without)
		}
	})
}
