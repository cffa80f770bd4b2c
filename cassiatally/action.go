package cassiatally

import "time"

// Action is what a decision asks its owner to do.
type Action interface{ action() }

// Send passes a message to a node. The node may be the sender itself.
type Send struct {
	To      NodeID
	Message Message
}

// Deliver hands an answer to whoever submitted the request on this node.
type Deliver struct {
	Call   CallID
	Answer Answer
}

// StartRun has the backend server run a call.
type StartRun struct {
	Call Call
	// Waited is the time that the call spent in the queue.
	Waited time.Duration
}

// AbortRun cancels a run at the backend server.
type AbortRun struct{ Call CallID }

// Submit has the router of this node route a request.
type Submit struct{ Request Request }

// Withdraw tells the router that nobody waits for a submitted request any more.
type Withdraw struct{ Call CallID }

func (Send) action()     {}
func (Deliver) action()  {}
func (StartRun) action() {}
func (AbortRun) action() {}
func (Submit) action()   {}
func (Withdraw) action() {}

// AppendAssignment has the log appender of this node append an assignment to
// the stream of the shard's data centre. Decisions do not encode, so the record
// is typed.
type AppendAssignment struct{ Assignment Assignment }

func (AppendAssignment) action() {}

// SendAddress passes a message to the node that accepts links at an address.
type SendAddress struct {
	To      Address
	Message Message
}

// ReadLog reads a stream of the log service from an offset on.
type ReadLog struct {
	Stream Stream
	From   Offset
}

// AppendSheet writes a sheet record to the log service.
type AppendSheet struct{ Record SheetRecord }

// AdoptSheet puts a sheet in force on this node.
type AdoptSheet struct{ Record SheetRecord }

func (SendAddress) action() {}
func (ReadLog) action()     {}
func (AppendSheet) action() {}
func (AdoptSheet) action()  {}
