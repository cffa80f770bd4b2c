package fleettest_test

import (
	"testing"
	"time"

	"github.com/cassiatally/cassiatally/cassiatally"
)

// Guards against a tenant far above its quota that costs many messages for each request,
// and against a quota of which it gets a part only.
func TestHotTenant(t *testing.T) {
	const length = 30 * time.Second
	for _, spec := range []cassiatally.TenantSpec{
		{Name: "large", Rate: 100, Burst: 50},
		{Name: "medium", Rate: 20, Burst: 10},
		{Name: "small", Rate: 2, Burst: 2},
	} {
		t.Run(string(spec.Name), func(t *testing.T) {
			f := newFleet(t, 1, sizes, []cassiatally.TenantSpec{spec})
			f.runTo(startTime)
			entries := make([]int, len(f.hosts))
			for i := range entries {
				entries[i] = i
			}
			demand := 8 * calmLoad * float64(spec.Rate)
			f.load(spec.Name, entries, func(time.Duration) float64 { return demand }, startTime+length)
			for _, h := range f.hosts {
				h.sent = 0
			}
			f.runTo(startTime + length)
			messages, admitted := 0, len(f.admitted[spec.Name])
			for _, h := range f.hosts {
				messages += h.sent
			}
			perSecond := (float64(messages) - 9*8*2*length.Seconds()) / length.Seconds()
			used := float64(admitted) / (float64(spec.Rate) * length.Seconds())
			t.Logf("%.0f requests/s, %.0f messages/s beside beats, %.2f of the quota used, refused %v", demand, perSecond, used, f.kinds)
			// As many as two for each request, and a fifth more for those that ask again.
			if limit := 2.4 * demand; perSecond > limit {
				t.Errorf("%.0f messages a second, the bound is %.0f", perSecond, limit)
			}
			// A twentieth may be lost in tokens that expire.
			if used < 0.95 {
				t.Errorf("%.2f of the quota used", used)
			}
		})
	}
}
