package linker

import (
	"sync/atomic"

	"github.com/cassiatally/cassiatally/cassiatally"
)

// Traffic counts bytes of frames. Calls, answers, cancellations and queries for
// outcomes are request traffic; everything else is control traffic.
type Traffic struct {
	RequestSent, RequestReceived uint64
	ControlSent, ControlReceived uint64
}

type counters struct {
	requestSent, requestReceived atomic.Uint64
	controlSent, controlReceived atomic.Uint64
}

func (c *counters) addSent(m cassiatally.Message, n int) {
	if isRequestTraffic(m) {
		c.requestSent.Add(uint64(n))
		return
	}
	c.controlSent.Add(uint64(n))
}

func (c *counters) addReceived(m cassiatally.Message, n int) {
	if isRequestTraffic(m) {
		c.requestReceived.Add(uint64(n))
		return
	}
	c.controlReceived.Add(uint64(n))
}

func (c *counters) totals() Traffic {
	return Traffic{
		RequestSent:     c.requestSent.Load(),
		RequestReceived: c.requestReceived.Load(),
		ControlSent:     c.controlSent.Load(),
		ControlReceived: c.controlReceived.Load(),
	}
}

// inAwaitedExchange reports whether a message belongs to an exchange whose answer is
// awaited: by a caller, or by the holder of a shard from its standby.
func inAwaitedExchange(m cassiatally.Message) bool {
	switch m.(type) {
	case cassiatally.ClaimUpdate, cassiatally.ClaimAck, cassiatally.ClaimCopy:
		return true
	default:
		return isRequestTraffic(m)
	}
}

func isRequestTraffic(m cassiatally.Message) bool {
	switch m.(type) {
	case cassiatally.Call, cassiatally.Answer, cassiatally.Cancel, cassiatally.RunQuery, cassiatally.KeyQuery:
		return true
	default:
		return false
	}
}
