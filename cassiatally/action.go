package cassiatally

// Action is what a decision asks its owner to do.
type Action interface{ action() }

// Send passes a message to a node. The node may be the sender itself.
type Send struct {
	To      NodeID
	Message Message
}

// SendAddress passes a message to whichever node listens at an address. It
// reaches seeds and members whose node id the sender does not know.
type SendAddress struct {
	To      Address
	Message Message
}

// Deliver hands an answer to whoever submitted the request on this node.
type Deliver struct {
	Call   CallID
	Answer Answer
}

// StartRun has the backend server run a call.
type StartRun struct{ Call Call }

// AbortRun cancels a run at the backend server.
type AbortRun struct{ Call CallID }

// Submit has the router of this node route a request.
type Submit struct{ Request Request }

// Append writes a record to a stream of the log service.
type Append struct {
	Stream Stream
	Record []byte
}

// ReadLog reads records of a stream from an offset on.
type ReadLog struct {
	Stream Stream
	From   Offset
}

// AppendSheet writes a copy of an accepted sheet to the log.
type AppendSheet struct{ Record SheetRecord }

// AdoptSheet puts a sheet in force on this node.
type AdoptSheet struct{ Record SheetRecord }

func (Send) action()        {}
func (SendAddress) action() {}
func (Deliver) action()     {}
func (StartRun) action()    {}
func (AbortRun) action()    {}
func (Submit) action()      {}
func (Append) action()      {}
func (ReadLog) action()     {}
func (AppendSheet) action() {}
func (AdoptSheet) action()  {}
