package supervisor

import (
	"github.com/cassiatally/cassiatally/cassiatally"
	"github.com/cassiatally/cassiatally/cassiatally/admitter"
	"github.com/cassiatally/cassiatally/cassiatally/balancer"
	"github.com/cassiatally/cassiatally/cassiatally/budgeter"
	"github.com/cassiatally/cassiatally/cassiatally/fifo"
	"github.com/cassiatally/cassiatally/cassiatally/fixedlimiter"
	"github.com/cassiatally/cassiatally/cassiatally/limiter"
	"github.com/cassiatally/cassiatally/cassiatally/loadtracker"
	"github.com/cassiatally/cassiatally/cassiatally/settingsloader"
)

// admission returns the admitter and the limiter for the control mode in the settings.
func admission(cfg settingsloader.Settings) (cassiatally.Admitter, cassiatally.Limiter) {
	switch cfg.Control {
	case settingsloader.ControlOff:
		return &fifo.Queue{}, &fixedlimiter.Limiter{}
	case settingsloader.ControlFixed:
		return &fifo.Queue{Capacity: cfg.Fixed.Queue},
			&fixedlimiter.Limiter{Fixed: cfg.Fixed.Limit, UseSlots: cfg.Fixed.Limit == 0}
	default:
		return &admitter.Admitter{}, &limiter.Limiter{}
	}
}

// routing returns the balancer, the load tracker and the retry budget of the router.
func routing(cfg settingsloader.Settings, r cassiatally.Rand) (cassiatally.Balancer, cassiatally.LoadTracker, cassiatally.RetryBudget) {
	b := &balancer.Balancer{Rand: r, DataCentre: cfg.Node.DataCentre}
	budget := &budgeter.Budgeter{Ratio: cfg.Retries.Ratio, MinRate: cfg.Retries.MinPerSecond}
	return b, &loadtracker.Tracker{}, budget
}
