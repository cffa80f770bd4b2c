package cassiatally

import "time"

// Action is a side effect that a decision package returns for its owner to carry out.
type Action interface{ action() }

// Send sends a message to a node, which may be the sender itself.
type Send struct {
	To      NodeID
	Message Message
}

// Deliver passes the final answer of a request to its submitter on this node.
type Deliver struct {
	Call   CallID
	Answer Answer
}

// StartRun has the backend server run a call.
type StartRun struct {
	Call Call
	// QueueWait is the time that the call spent in the queue.
	QueueWait time.Duration
}

// AbortRun cancels a run at the backend server.
type AbortRun struct{ Call CallID }

// Submit has the router of this node route a request.
type Submit struct{ Request Request }

// Withdraw cancels a submitted request at the router, since nothing waits for its
// answer any more.
type Withdraw struct{ Call CallID }

func (Send) action()     {}
func (Deliver) action()  {}
func (StartRun) action() {}
func (AbortRun) action() {}
func (Submit) action()   {}
func (Withdraw) action() {}

// AppendAssignment has the log appender of this node append an assignment to
// the stream of the shard's data centre. Decision packages do not encode records, so
// the assignment is passed as a value.
type AppendAssignment struct{ Assignment Assignment }

func (AppendAssignment) action() {}

// SendAddress sends a message to the node that accepts links at an address.
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
