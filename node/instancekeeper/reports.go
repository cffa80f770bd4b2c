package instancekeeper

import (
	"net/netip"

	"github.com/cassiatally/cassiatally/cassiatally"
)

// refusal returns why a report is not one of the backend server of this host, and "" if it
// is one. Reports of other writers are refused as a whole: nothing of them is used, and
// they are not acknowledged.
func (k *Keeper) refusal(r cassiatally.InstanceReport) string {
	if !complete(r) {
		return "incomplete"
	}
	current, _ := k.Tracker.Current()
	switch {
	case k.inPlace(r):
		// The one in place may outlive its settings, and has to be able to leave.
		if r.Service != current.Service || r.Address != current.Address {
			return "not the service and address of the instance in place"
		}
		return ""
	case k.Service != "" && r.Service != k.Service:
		return "not the service in the settings"
	case k.Address != "" && r.Address != k.Address && !k.confirmedAt(r.Address, r.Instance):
		// A backend server may start at another port of the host before the settings are
		// reloaded. It states there which instance it is.
		if sameHost(r.Address, k.Address) {
			k.pending = r
			k.probe(r.Address, r.Service)
		}
		return "not the address in the settings, and not confirmed at its own"
	default:
		return ""
	}
}

// inPlace reports whether a report is of the start of the instance that is in place.
func (k *Keeper) inPlace(r cassiatally.InstanceReport) bool {
	current, ok := k.Tracker.Current()
	return ok && r.Instance == current.Instance && (r.StartedMs == current.StartedMs || current.StartedMs == 0)
}

// confirmedAt reports whether the last health check that succeeded found the instance at
// the address.
func (k *Keeper) confirmedAt(a cassiatally.Address, id cassiatally.InstanceID) bool {
	return k.confirmed == id && k.confirmedAddress == a
}

func sameHost(a, b cassiatally.Address) bool {
	first, errFirst := netip.ParseAddrPort(string(a))
	second, errSecond := netip.ParseAddrPort(string(b))
	return errFirst == nil && errSecond == nil && first.Addr() == second.Addr()
}

// complete reports whether all fields have values that a backend server sends.
func complete(r cassiatally.InstanceReport) bool {
	return r.Instance != "" && r.StartedMs > 0 && r.Service != "" && r.Address.Valid() && r.Slots > 0 &&
		r.State != cassiatally.EndpointNone && r.ColdRemaining >= 0
}

// knowsService reports whether the routes in force name a service. Without routes any
// service may be in them.
func (k *Keeper) knowsService(s cassiatally.Service) bool {
	if k.routes == nil {
		return true
	}
	_, ok := k.routes.Table().Service(s)
	return ok
}
