package config

import (
	"errors"
	"fmt"
)

// validName reports whether s is valid as the name of a preset, data centre,
// endpoint or operator or as a change id: 1 to 64 printable ASCII characters
// other than space, quotes, angle brackets, ampersand and backslash.
func validName(s string) bool {
	if s == "" || len(s) > maxNameBytes {
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
// allows. The errors' texts are sent to operators and peers.
func (h Head) validate() error {
	if h.dot.generation == 0 {
		return h.validateEmpty()
	}
	if h.floor >= h.dot.generation {
		return errors.New("floor is not below the generation")
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
		return fmt.Errorf("%d recent changes", len(h.recent))
	}
	if h.recent[len(h.recent)-1] != h.dot {
		return errors.New("the newest change is not the head's")
	}
	return validateDots(h.recent, h.floor)
}

func (h Head) validateSettled() error {
	if len(h.settled) > maxSettled {
		return fmt.Errorf("%d settled orders", len(h.settled))
	}
	return validateDots(h.settled, 0)
}

func validateDots(ds []Dot, floor uint64) error {
	for i, d := range ds {
		if d.generation <= floor || d.generation > maxGeneration || !validName(d.changeID) {
			return fmt.Errorf("bad change %d %q", d.generation, d.changeID)
		}
		if i > 0 && !ds[i-1].less(d) {
			return errors.New("changes are out of order")
		}
	}
	return nil
}

func (h Head) validatePresets() error {
	if len(h.presets) > 2*maxPresets {
		return fmt.Errorf("%d presets", len(h.presets))
	}
	for i, p := range h.presets {
		if !validName(p.name) || !validDigest(p.digest) || !h.hasReached(p.since) {
			return fmt.Errorf("bad preset %q", p.name)
		}
		if i > 0 && h.presets[i-1].name >= p.name {
			return errors.New("presets are out of order")
		}
	}
	return h.validateInForce()
}

// validateInForce checks that exactly one preset is in force if there are any
// presets.
func (h Head) validateInForce() error {
	if len(h.presets) == 0 {
		if h.inForce != "" || h.inForceSince != 0 {
			return errors.New("a preset that does not exist is in force")
		}
		return nil
	}
	if _, ok := h.InForce(); !ok || !h.hasReached(h.inForceSince) {
		return fmt.Errorf("preset %q can't be in force", h.inForce)
	}
	return nil
}

func (h Head) validateOutOfService() error {
	if len(h.outOfService) > 2*maxOutOfService {
		return fmt.Errorf("%d orders of targets out of service", len(h.outOfService))
	}
	for i, o := range h.outOfService {
		if !validName(o.target.name) || !validName(o.by) || !validName(o.dot.changeID) {
			return fmt.Errorf("bad order for %q", o.target.name)
		}
		if !h.hasReached(o.dot.generation) || !h.seen(o.dot) {
			return fmt.Errorf("the order for %q is not in the past", o.target.name)
		}
		if i > 0 && !h.outOfService[i-1].less(o) {
			return errors.New("orders are out of order")
		}
	}
	return nil
}

func (h Head) hasReached(generation uint64) bool {
	return generation > 0 && generation <= h.dot.generation
}
