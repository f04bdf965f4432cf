package holdback

import (
	"net/url"
	"strconv"
	"strings"
	"unicode"
	"unicode/utf8"

	"github.com/hyssoprelay/hyssoprelay/internal/routing"
	"github.com/hyssoprelay/hyssoprelay/pkg/result"
)

// maxName is the greatest length of the name of a service or an account, in bytes. It bounds the
// keys of the store and the log lines.
const maxName = 200

// Target is what an order holds back: a ServiceClass or an Account. Targets are comparable.
type Target interface {
	// ID identifies the target. ParseID is its reverse.
	ID() string
	isTarget()
}

// ServiceClass is one priority class of the requests for a service.
type ServiceClass struct {
	Service string
	Class   routing.Class
}

// Account is all requests of an account.
type Account struct{ Name string }

func (ServiceClass) isTarget() {}
func (Account) isTarget()      {}

const (
	classIDPrefix   = "class/"
	accountIDPrefix = "account/"
)

// ID implements Target.
func (c ServiceClass) ID() string {
	return classIDPrefix + url.PathEscape(c.Service) + "/" + strconv.Itoa(int(c.Class))
}

// ID implements Target.
func (a Account) ID() string { return accountIDPrefix + url.PathEscape(a.Name) }

// Check returns a result.MalformedOrder if a target can't be held back: it has no name, a name that
// is too long or not printable, or a class out of range.
func Check(t Target) *result.Error {
	switch t := t.(type) {
	case ServiceClass:
		if t.Class < 0 || t.Class > routing.MaxClass {
			return result.Newf(result.MalformedOrder, "class %d, allowed are 0 to %d", t.Class, routing.MaxClass)
		}
		return checkName("service", t.Service)
	case Account:
		return checkName("account", t.Name)
	}
	return result.New(result.MalformedOrder, "neither a class of a service nor an account is named")
}

func checkName(kind, name string) *result.Error {
	unprintable := func(r rune) bool { return !unicode.IsPrint(r) }
	if name == "" || len(name) > maxName || !utf8.ValidString(name) || strings.ContainsFunc(name, unprintable) {
		return result.Newf(result.MalformedOrder, "the name of the %s needs 1 to %d bytes of printable text", kind, maxName)
	}
	return nil
}

// ParseID returns the target with an ID, or a result.MalformedOrder.
func ParseID(id string) (Target, *result.Error) {
	malformed := result.Newf(result.MalformedOrder, "%q names no class of a service and no account", id)
	var t Target
	if path, ok := strings.CutPrefix(id, accountIDPrefix); ok {
		name, err := url.PathUnescape(path)
		if err != nil {
			return nil, malformed
		}
		t = Account{Name: name}
	} else if path, ok := strings.CutPrefix(id, classIDPrefix); ok {
		escaped, class, _ := strings.Cut(path, "/")
		n, err := strconv.Atoi(class)
		service, escapeErr := url.PathUnescape(escaped)
		if err != nil || escapeErr != nil {
			return nil, malformed
		}
		t = ServiceClass{Service: service, Class: routing.Class(n)}
	}
	// Each target has one ID. Otherwise an order under another spelling could not be released.
	if Check(t) != nil || t.ID() != id {
		return nil, malformed
	}
	return t, nil
}
