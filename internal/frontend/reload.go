package frontend

import (
	"context"
	"reflect"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/hyssoprelay/hyssoprelay/internal/relay"
	"github.com/hyssoprelay/hyssoprelay/internal/settings"
)

// reloadEvery is how often the settings are read anew without a signal: they may
// change without one.
const reloadEvery = 5 * time.Second

// followSettings puts changed settings into force while the process serves. Only
// the bounds can change; addresses, names and changeApply need a new start.
func (f *Frontend) followSettings(ctx context.Context) error {
	t := time.NewTicker(reloadEvery)
	defer t.Stop()
	for {
		signal := false
		select {
		case <-ctx.Done():
			return nil
		case <-f.Hangup:
			signal = true
		case <-t.C:
		}
		if f.Reload != nil {
			f.reload(signal)
		}
	}
}

func (f *Frontend) reload(signal bool) {
	s, err := f.Reload()
	if err != nil {
		f.Log.WithField("cause", err.Error()).Error("settings not readable, the ones in force stay")
		return
	}
	old := f.bounds.Load()
	if *old != s.Bounds {
		f.use(s.Bounds)
	}
	if signal || *old != s.Bounds {
		restart := !reflect.DeepEqual(s.Process, f.Settings.Process) || s.CallerAddress != f.Settings.CallerAddress ||
			s.Bounds.ChangeApply != f.Settings.Bounds.ChangeApply
		f.Log.WithFields(logrus.Fields{
			"changed": *old != s.Bounds, "needsRestart": restart, "keyRevoke": s.Bounds.KeyRevoke.String(),
			"retryShare": s.Bounds.RetryShare, "retrySlack": s.Bounds.RetrySlack, "grace": s.Bounds.Grace.String(),
		}).Info("settings reloaded")
	}
}

// use puts bounds into force.
func (f *Frontend) use(b settings.Bounds) {
	f.bounds.Store(&b)
	f.relay.SetKeyAge(b.KeyRevoke - keyMargin)
	f.belief.SetRetry(relay.Budget{Share: b.RetryShare, Slack: b.RetrySlack, Window: b.RetryWindow})
}
