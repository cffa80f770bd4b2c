package linker

import (
	"sync/atomic"

	"github.com/cassiatally/cassiatally/cassiatally"
)

// Traffic counts bytes of frames. Requests are calls, answers and cancellations;
// everything else is control traffic.
type Traffic struct {
	RequestSent, RequestReceived uint64
	ControlSent, ControlReceived uint64
}

type counters struct {
	requestSent, requestReceived atomic.Uint64
	controlSent, controlReceived atomic.Uint64
}

func (c *counters) sent(m cassiatally.Message, n int) {
	if ofRequest(m) {
		c.requestSent.Add(uint64(n))
		return
	}
	c.controlSent.Add(uint64(n))
}

func (c *counters) received(m cassiatally.Message, n int) {
	if ofRequest(m) {
		c.requestReceived.Add(uint64(n))
		return
	}
	c.controlReceived.Add(uint64(n))
}

func (c *counters) read() Traffic {
	return Traffic{
		RequestSent:     c.requestSent.Load(),
		RequestReceived: c.requestReceived.Load(),
		ControlSent:     c.controlSent.Load(),
		ControlReceived: c.controlReceived.Load(),
	}
}

// isAwaited reports whether somebody waits for the answer to a message: a caller,
// or the holder of a shard for its standby.
func isAwaited(m cassiatally.Message) bool {
	switch m.(type) {
	case cassiatally.ClaimUpdate, cassiatally.ClaimAck, cassiatally.ClaimCopy:
		return true
	default:
		return ofRequest(m)
	}
}

func ofRequest(m cassiatally.Message) bool {
	switch m.(type) {
	case cassiatally.Call, cassiatally.Answer, cassiatally.Cancel, cassiatally.RunQuery, cassiatally.KeyQuery:
		return true
	default:
		return false
	}
}
