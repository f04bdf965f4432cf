package settings

import (
	"strings"

	"github.com/hyssoprelay/hyssoprelay/internal/inifile"
	"github.com/hyssoprelay/hyssoprelay/pkg/result"
)

// Errors are all faults of the settings of one process.
type Errors []*result.Error

// Error returns one line for each fault.
func (e Errors) Error() string {
	lines := make([]string, len(e))
	for i, f := range e {
		lines[i] = f.Error()
	}
	return strings.Join(lines, "\n")
}

// Unwrap returns the faults, so that result.Of finds the first of them.
func (e Errors) Unwrap() []error {
	list := make([]error, len(e))
	for i, f := range e {
		list[i] = f
	}
	return list
}

func fromFaults(faults []inifile.Fault) Errors {
	var errs Errors
	for _, f := range faults {
		errs = append(errs, result.New(codeOf(f.Kind()), f.String()))
	}
	return errs
}

func codeOf(k inifile.Kind) result.Code {
	switch k {
	case inifile.Syntax:
		return result.SettingsFile
	case inifile.UnknownKey:
		return result.UnknownSetting
	case inifile.Missing:
		return result.MissingSetting
	case inifile.BadAddress:
		return result.BadAddress
	default:
		return result.BadSetting
	}
}
