package capacity

import (
	"context"

	"github.com/hyssoprelay/hyssoprelay/internal/measure"
)

// Section measures one topic.
type Section struct {
	Name   string
	Tables func(ctx context.Context) ([]measure.Table, error)
}
