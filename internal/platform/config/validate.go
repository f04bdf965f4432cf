package config

import (
	"errors"
	"fmt"
)

// validName reports whether s is valid as the name of a preset, data centre,
// endpoint or operator or as a change id: 1 to 64 printable ASCII characters
// other than space, quotes, angle brackets, ampersand and backslash.
func validName(s string) bool {
	if s == "" || len(s) > maxName {
		return false
	}
	for i := range len(s) {
		switch c := s[i]; {
		case c <= ' ', c >= 0x7f:
			return false
		case c == '"', c == '\'', c == '\\', c == '<', c == '>', c == '&':
			return false
		}
	}
	return true
}

func validDigest(s string) bool {
	if len(s) != digestLen {
		return false
	}
	for i := range len(s) {
		c := s[i]
		if (c < '0' || c > '9') && (c < 'a' || c > 'f') {
			return false
		}
	}
	return true
}

// validate checks the properties of every head that Apply and JoinHeads return.
// A join may have twice as many presets and out-of-service entries as Apply
// allows.
func (h Head) validate() error {
	if h.dot.generation == 0 {
		return h.validateEmpty()
	}
	if h.floor >= h.dot.generation {
		return errors.New("floor is not less than the generation")
	}
	checks := []func() error{h.validateRecent, h.validateSettled, h.validatePresets, h.validateOutOfService}
	for _, check := range checks {
		if err := check(); err != nil {
			return err
		}
	}
	return nil
}

func (h Head) validateEmpty() error {
	n := len(h.presets) + len(h.outOfService) + len(h.recent) + len(h.settled)
	if n > 0 || h.dot.changeID != "" || h.inForce != "" || h.inForceSince != 0 || h.floor != 0 || h.joined {
		return errors.New("generation 0 is not empty")
	}
	return nil
}

func (h Head) validateRecent() error {
	if len(h.recent) == 0 || len(h.recent) > maxListed {
		return fmt.Errorf("invalid number of recent changes: %d", len(h.recent))
	}
	if h.recent[len(h.recent)-1] != h.dot {
		return errors.New("the latest change differs from the change of the head")
	}
	return validateDots(h.recent, h.floor)
}

func (h Head) validateSettled() error {
	if len(h.settled) > maxSettled {
		return fmt.Errorf("too many settled orders: %d", len(h.settled))
	}
	return validateDots(h.settled, 0)
}

func validateDots(ds []Dot, floor uint64) error {
	for i, d := range ds {
		if d.generation <= floor || d.generation > maxGeneration || !validName(d.changeID) {
			return fmt.Errorf("invalid change %d %q", d.generation, d.changeID)
		}
		if i > 0 && !ds[i-1].less(d) {
			return errors.New("changes are not sorted")
		}
	}
	return nil
}

func (h Head) validatePresets() error {
	if len(h.presets) > 2*maxPresets {
		return fmt.Errorf("%d presets", len(h.presets))
	}
	for i, p := range h.presets {
		if !validName(p.name) || !validDigest(p.digest) || !h.isPastGeneration(p.since) {
			return fmt.Errorf("invalid preset %q", p.name)
		}
		if i > 0 && h.presets[i-1].name >= p.name {
			return errors.New("presets are not sorted")
		}
	}
	return h.validateInForce()
}

// validateInForce checks that exactly one preset is in force if there are any
// presets.
func (h Head) validateInForce() error {
	if len(h.presets) == 0 {
		if h.inForce != "" || h.inForceSince != 0 {
			return errors.New("a preset is in force but none is stored")
		}
		return nil
	}
	if _, ok := h.InForce(); !ok || !h.isPastGeneration(h.inForceSince) {
		return fmt.Errorf("preset %q in force is unknown or has an invalid generation", h.inForce)
	}
	return nil
}

func (h Head) validateOutOfService() error {
	if len(h.outOfService) > 2*maxOutOfService {
		return fmt.Errorf("too many out-of-service entries: %d", len(h.outOfService))
	}
	for i, o := range h.outOfService {
		if !validName(o.target.name) || !validName(o.by) || !validName(o.dot.changeID) {
			return fmt.Errorf("invalid out-of-service entry for %q", o.target.name)
		}
		if !h.isPastGeneration(o.dot.generation) || !h.seen(o.dot) {
			return fmt.Errorf("the change of the out-of-service entry for %q is not in the history", o.target.name)
		}
		if i > 0 && !h.outOfService[i-1].less(o) {
			return errors.New("out-of-service entries are not sorted")
		}
	}
	return nil
}

func (h Head) isPastGeneration(generation uint64) bool {
	return generation > 0 && generation <= h.dot.generation
}
