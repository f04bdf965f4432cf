package frontend

import (
	"context"
	"slices"
	"strings"

	"github.com/sirupsen/logrus"
	"google.golang.org/protobuf/proto"

	"github.com/hyssoprelay/hyssoprelay/internal/fleet"
	"github.com/hyssoprelay/hyssoprelay/internal/fleet/fleetpb"
	"github.com/hyssoprelay/hyssoprelay/internal/holdback"
	kv "github.com/hyssoprelay/hyssoprelay/internal/platform"
	"github.com/hyssoprelay/hyssoprelay/internal/platform/mirror"
	"github.com/hyssoprelay/hyssoprelay/internal/routing"
	"github.com/hyssoprelay/hyssoprelay/pkg/result"
)

// holdPrefix is the prefix of the store's keys of operators' orders that hold requests back. The ID
// of the order's target follows. A key exists for as long as its target is held back.
const holdPrefix = fleet.Prefix + "hold/"

// isHold reports whether a key of the store is that of an order.
func isHold(key string) bool { return strings.HasPrefix(key, holdPrefix) }

// holdKey returns the store's key of an order.
func holdKey(t holdback.Target) string { return holdPrefix + t.ID() }

// decodeHold returns the order that a message describes, or a result.MalformedOrder.
func decodeHold(m *fleetpb.HoldOrder) (holdback.Order, *result.Error) {
	t, o := m.GetTarget(), holdback.Order{By: m.GetBy()}
	switch {
	case t.GetAccount() != "" && (t.GetService() != "" || t.GetClass() != 0):
		return o, result.New(result.MalformedOrder, "the order names both a class of a service and an account")
	case t.GetAccount() != "":
		o.Target = holdback.Account{Name: t.GetAccount()}
	default:
		// A class that an int cannot hold would otherwise wrap around.
		class := routing.Class(min(t.GetClass(), uint32(routing.MaxClass)+1))
		o.Target = holdback.ServiceClass{Service: t.GetService(), Class: class}
	}
	return o, o.Check()
}

// encodeHold is the reverse of decodeHold.
func encodeHold(o holdback.Order) *fleetpb.HoldOrder {
	m := &fleetpb.HoldOrder{Target: &fleetpb.HoldTarget{}, By: o.By}
	switch t := o.Target.(type) {
	case holdback.ServiceClass:
		m.Target.Service, m.Target.Class = t.Service, uint32(t.Class)
	case holdback.Account:
		m.Target.Account = t.Name
	}
	return m
}

// storedHold returns the order that an item of the store holds, or a result.MalformedOrder.
func storedHold(item kv.KeyValue) (holdback.Order, *result.Error) {
	m := &fleetpb.HoldOrder{}
	if err := proto.Unmarshal(item.Value(), m); err != nil {
		return holdback.Order{}, result.New(result.MalformedOrder, err.Error())
	}
	o, e := decodeHold(m)
	if e != nil {
		return o, e
	}
	if holdKey(o.Target) != item.Key() {
		return o, result.New(result.MalformedOrder, "the order names another target than its key")
	}
	o.Revision = item.Revision()
	return o, nil
}

// applyHolds applies the orders that an update of the store contains. An order that can't be read
// changes nothing: neither does it hold back its target, nor does it release it.
func (f *Frontend) applyHolds(u mirror.Update) {
	out := holdback.Update{Complete: u.Complete, Revision: u.Revision}
	for _, item := range u.KVs {
		id, ok := strings.CutPrefix(item.Key(), holdPrefix)
		if !ok {
			continue
		}
		o, e := storedHold(item)
		if e == nil {
			out.Held = append(out.Held, o)
			continue
		}
		f.holdsMalformed.Inc(1)
		f.logNumbered(e).WithField("key", item.Key()).Warn("malformed hold in the store ignored")
		if t, e := holdback.ParseID(id); e == nil {
			out.Unreadable = append(out.Unreadable, t)
		}
	}
	for _, key := range u.Deleted {
		if id, ok := strings.CutPrefix(key, holdPrefix); ok {
			if t, e := holdback.ParseID(id); e == nil {
				out.Released = append(out.Released, t)
			}
		}
	}
	for _, c := range f.state.ApplyHolds(out) {
		f.logHoldChange(c)
	}
}

// logNumbered returns the log fields of a numbered error.
func (f *Frontend) logNumbered(e *result.Error) *logrus.Entry {
	return f.Log.WithFields(logrus.Fields{"code": int(e.Code()), "result": e.Code().String(), "cause": e.Detail()})
}

func (f *Frontend) logHoldChange(c holdback.Change) {
	switch c := c.(type) {
	case holdback.Held:
		f.holdLog(c.Order).Warn("hold in force")
	case holdback.Released:
		f.holdLog(c.Order).Warn("hold released")
	}
}

// holdLog returns the log fields of an order.
func (f *Frontend) holdLog(o holdback.Order) *logrus.Entry {
	fields := logrus.Fields{"by": o.By, "revision": o.Revision}
	switch t := o.Target.(type) {
	case holdback.ServiceClass:
		fields["service"], fields["class"] = t.Service, int(t.Class)
	case holdback.Account:
		fields["account"] = t.Name
	}
	return f.Log.WithFields(fields)
}

// Holds implements fleetpb.EntryServer. An order is accepted once the store has it, and comes into
// force at all entries, this one included, when they learn of it from the store.
func (s *service) Holds(ctx context.Context, q *fleetpb.HoldsRequest) (*fleetpb.HoldsReply, error) {
	f, reply := s.frontend, &fleetpb.HoldsReply{}
	if q.GetOrder() != nil {
		if e := f.storeHold(ctx, q); e != nil {
			reply.Code, reply.Detail = uint32(e.Code()), e.Detail()
			f.logNumbered(e).Warn("hold order refused")
		}
	}
	for _, o := range f.state.Holds() {
		reply.Holds = append(reply.Holds, &fleetpb.HoldInForce{Order: encodeHold(o), Revision: o.Revision})
	}
	return reply, nil
}

// storeHold checks an operator's order and writes it to the store. It returns a
// result.MalformedOrder, a result.PlatformRefused if the store was certainly not changed, and a
// result.WriteUnknown if it may have been.
func (f *Frontend) storeHold(ctx context.Context, q *fleetpb.HoldsRequest) *result.Error {
	o, e := decodeHold(q.GetOrder())
	if e == nil && !q.GetRelease() {
		e = f.checkKnown(o.Target)
	}
	if e != nil {
		return e
	}
	op := kv.Op(kv.Delete{Key: holdKey(o.Target)})
	if !q.GetRelease() {
		value, err := proto.Marshal(encodeHold(o))
		if err != nil {
			return result.New(result.MalformedOrder, err.Error())
		}
		op = kv.Put{Key: holdKey(o.Target), Value: value}
	}
	_, err := f.store.Txn(ctx, kv.Txn{Then: []kv.Op{op}})
	switch {
	case err == nil:
		f.holdLog(o).WithField("release", q.GetRelease()).Info("hold order stored")
		return nil
	case result.CodeOf(err) == result.PlatformDown:
		return result.New(result.PlatformRefused, err.Error())
	default:
		return result.New(result.WriteUnknown, err.Error())
	}
}

// checkKnown returns a result.MalformedOrder for a target that the configuration in force does not
// have: an order under a mistyped name would hold back nothing, unnoticed. Releases are not checked,
// since the configuration may have changed meanwhile.
func (f *Frontend) checkKnown(target holdback.Target) *result.Error {
	table := f.state.Table()
	if table == nil {
		return result.New(result.MalformedOrder, "this entry has no configuration yet")
	}
	switch t := target.(type) {
	case holdback.ServiceClass:
		if table.Service(t.Service) == nil {
			return result.Newf(result.MalformedOrder, "the configuration has no service %s", t.Service)
		}
		if n := table.Classes(t.Service); int(t.Class) >= n {
			return result.Newf(result.MalformedOrder, "service %s has the classes 0 to %d", t.Service, n-1)
		}
	case holdback.Account:
		if !slices.Contains(table.Accounts(), t.Name) {
			return result.Newf(result.MalformedOrder, "the configuration has no account %s", t.Name)
		}
	}
	return nil
}
