package frontend

import (
	"context"
	"reflect"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/hyssoprelay/hyssoprelay/internal/relay"
	"github.com/hyssoprelay/hyssoprelay/internal/settings"
)

// reloadInterval is the interval at which the settings are loaded without a signal,
// since they may change without one.
const reloadInterval = 5 * time.Second

// watchSettings applies changed settings while the process serves. Only the bounds
// except changeApply can change at run time; changeApply, addresses and names require
// a restart.
func (f *Frontend) watchSettings(ctx context.Context) error {
	t := time.NewTicker(reloadInterval)
	defer t.Stop()
	for {
		signal := false
		select {
		case <-ctx.Done():
			return nil
		case <-f.ReloadSignal:
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
		f.Log.WithField("cause", err.Error()).Error("cannot load settings, keeping the current ones")
		return
	}
	old := f.bounds.Load()
	if *old != s.Bounds {
		f.applyBounds(s.Bounds)
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

// applyBounds puts bounds into force.
func (f *Frontend) applyBounds(b settings.Bounds) {
	f.bounds.Store(&b)
	f.relay.SetMaxKeyAge(b.KeyRevoke - keyRevokeMargin)
	f.state.SetRetry(relay.RetryBudget{Share: b.RetryShare, Slack: b.RetrySlack, Window: b.RetryWindow})
}
