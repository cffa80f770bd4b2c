package cassiatally

import "time"

// Message is a message from one node to another.
type Message interface{ message() }

// Hello is the first message on a link; it identifies the sender.
type Hello struct {
	From       NodeRef
	DataCentre DataCentre
	Address    Address
	Fleet      Fleet
}

// Ping is the heartbeat of an idle link.
type Ping struct{ Seq uint64 }

// Stage selects whether the receiver of a Call runs the request or claims its key.
type Stage uint8

const (
	// StageRun asks the node of a backend server to run the request.
	StageRun Stage = iota
	// StageClaim asks the holder of the key's shard to claim the key and to have
	// the request run once.
	StageClaim
)

// Call asks another node to run a request or to claim its key.
type Call struct {
	ID         CallID
	Stage      Stage
	Root       RootID
	Service    Service
	Work       WorkKind
	Tenant     Tenant
	Rank       Rank
	Order      Order
	Idempotent bool
	Key        Key
	// Remaining is the time left until the caller's deadline. It is a duration because
	// the clocks of two hosts differ.
	Remaining time.Duration
	Retries   RetryCount
	Depth     Depth
	Attempt   uint16
	// Head and Caller are empty for requests of the product's own front end. Caller
	// is the service on the host where the request originated.
	Head   Head
	Caller Service
	// Repeated is set when the request, or one further up its chain, was sent before
	// and may have run.
	Repeated bool
	// Send is the kind of this send of the call.
	Send SendKind
	// Progress is the number of onward calls that the run which makes this call has
	// completed.
	Progress uint8
	// Keep is set when the sender stops: the run must not be aborted before its deadline
	// unless it is cancelled.
	Keep bool
	// Notice is what the sender knows the backend server to have stated about itself; nil
	// when that is nothing. The node beside it knows nothing after a restart.
	Notice *Notice
	Name   RequestName
	Body   []byte
	Digest Digest
}

// SendKind is the reason why a call is sent. Each kind counts towards another bound.
type SendKind uint8

const (
	// SendFirst is the first send of a call, or one after a send that did not reach an
	// endpoint.
	SendFirst SendKind = iota
	// SendRetry is a retry that the sender's budget paid for.
	SendRetry
	// SendGranted is a retry that the node beside an endpoint granted.
	SendGranted
)

// Fingerprint returns the fingerprint of the request. The kind of work includes the
// target of Head.
func (c Call) Fingerprint() Fingerprint {
	return FingerprintOf(c.Service, c.Work+WorkKind(c.Head.Target), c.Body)
}

// Tag returns the tag that the answer to the call repeats.
func (c Call) Tag() RequestTag {
	return tagOf(c.ID, c.Root[:], c.Digest[:], []byte(c.Service+"\x00"+Service(c.Work)+"\x00"+Service(c.Key)))
}

// Answer is the result of a Call.
type Answer struct {
	ID CallID
	// Request is the tag of the request that the answer is for. By the id alone, an
	// answer whose id changed in transit to that of another call would not be detected.
	// It is zero in stored answers and in those of nodes without the field.
	Request     RequestTag
	Outcome     Outcome
	Kind        ErrorKind
	Detail      string
	Status      int
	ContentType string
	Fields      []Field
	Body        []byte
	Digest      Digest
	RetryAfter  time.Duration
	// OwnFailure is set when the backend server failed although all its onward calls
	// succeeded, so that another one may succeed.
	OwnFailure bool
	// RetryGranted is set when the endpoint refused the call and its node grants a retry,
	// which the budget of the sender need not pay for.
	RetryGranted bool
	// RetriesSpent counts retries of the call and of all calls below it.
	RetriesSpent RetryCount
	// Endpoint is the load of the endpoint that answered.
	Endpoint EndpointLoad
	// Loads has the levels of every service in the call chain below.
	Loads []ServiceLoad
	// Notice is what the backend server states about itself; nil when that is nothing.
	Notice *Notice
}

// Cancel cancels a Call. Its sender no longer waits for the answer, unless QueuedOnly is
// set.
type Cancel struct {
	ID CallID
	// QueuedOnly withdraws the call if it has not been started, which its answer then
	// states. A run in flight goes on, and its sender waits for the answer.
	QueuedOnly bool
	// Keep withdraws nothing: the sender stops, and the run of the call must not be aborted
	// before its deadline. QueuedOnly is set too, since nodes without the field would cancel
	// the run otherwise.
	Keep bool
}

// RunQuery queries the outcome of a non-idempotent Call whose link was lost. A node that
// has not received the call voids its id, so that a delayed copy is never run. Target is
// the incarnation that the call was sent to; another one has no record of it. It is 0 when
// the sender is not certain of the incarnation.
type RunQuery struct {
	ID     CallID
	Target Incarnation
	// Request is the tag of the call.
	Request RequestTag
}

// KeyQuery queries the holder of a shard for the outcome of a key.
type KeyQuery struct {
	ID  CallID
	Key Key
}

// Tag returns the tag that the answer to the query repeats.
func (q KeyQuery) Tag() RequestTag { return tagOf(q.ID, []byte(q.Key)) }

// EndpointLoad is the load of an endpoint as its node reports it.
type EndpointLoad struct {
	Node     NodeID
	Limit    Concurrency
	InFlight Concurrency
	Queued   int
	// TypicalSelfTime is the smoothed self time of a run.
	TypicalSelfTime time.Duration
	// FailureRate is the fraction of the recent runs that the endpoint failed or refused
	// by its own fault.
	FailureRate FailureRate
	// Slowdown is the newest one that the backend server stated, and TypicalSlowdown the
	// one at which TypicalSelfTime was measured. Both are 0 when it states none.
	Slowdown        Slowdown
	TypicalSlowdown Slowdown
}

// ServiceLoad has the level of each rank at an endpoint of a service, or the mean over
// several endpoints. Weight is the concurrency that the levels apply to.
type ServiceLoad struct {
	Service Service
	Weight  float64
	Levels  []Level
}

// EndpointState is whether an endpoint accepts new work.
type EndpointState uint8

const (
	// EndpointNone means that the node has no backend server.
	EndpointNone EndpointState = iota
	// EndpointReady means that the backend server accepts work.
	EndpointReady
	// EndpointDraining means that the backend server accepts no new work.
	EndpointDraining
)

// String returns the name of the state.
func (s EndpointState) String() string {
	switch s {
	case EndpointReady:
		return "ready"
	case EndpointDraining:
		return "draining"
	default:
		return "none"
	}
}

// Endpoint is a backend server as its node announces it.
type Endpoint struct {
	Service     Service
	Slots       Concurrency
	Connections Concurrency
	State       EndpointState
	Load        EndpointLoad
	Levels      []Level
}

// Member is a node's entry in the member table, which nodes exchange by gossip.
type Member struct {
	Ref        NodeRef
	DataCentre DataCentre
	Address    Address
	// Heartbeat grows with every gossip round of the member.
	Heartbeat uint64
	// Revision grows when anything but heartbeat, load, levels and sheet version changes.
	Revision     uint64
	Leaving      bool
	SheetVersion Version
	Endpoint     Endpoint
}

// Gossip carries changed members, the version in force and crash reports.
type Gossip struct {
	From NodeRef
	// Reply marks a message whose entries the receiver does not forward, as an answer.
	Reply        bool
	Members      []Member
	SheetVersion Version
	Crashes      []CrashReport
	// ShardEpochs is the sum of the shard epochs of the sender's data centre. A receiver
	// in the same data centre whose sum is lower pulls the shard table.
	ShardEpochs Epoch
	// CrashNumber is the number of the sender's crash that Crashes reports. The receiver
	// acknowledges it in CrashAck once it has merged the reports. Such a message carries
	// nothing else.
	CrashNumber CrashNumber
	CrashAck    CrashNumber
}

// CrashReport counts the backend server crashes at one node while a request with the
// fingerprint was in flight there.
type CrashReport struct {
	Fingerprint Fingerprint
	Reporter    NodeRef
	Crashes     uint16
	// Completed is set when a run has completed at the reporter and no crash followed.
	Completed bool
	// Clears counts the completed runs at the reporter that cleared the request of
	// suspicion. Crashes counts the crashes since the last of them. A report with more
	// clears, or with as many clears and more crashes, replaces an earlier one.
	Clears uint16
}

// SheetPull requests the sheet in force when it is newer than Have.
type SheetPull struct{ Have Version }

// SheetRecord is an accepted sheet, as it is stored in the log and sent between nodes.
type SheetRecord struct {
	Version   Version
	BasedOn   Version
	Publisher string
	// Reappend marks a copy of an accepted record that was appended again before the
	// log deleted the first one.
	Reappend bool
	Sheet    []byte
	Digest   Digest
}

// Assignment is the holder and the standby of a shard in an epoch.
type Assignment struct {
	Shard   ShardRef
	Epoch   Epoch
	Holder  NodeRef
	Standby NodeRef
	// CompleteFrom is the lowest epoch of which the holder has every claim.
	CompleteFrom Epoch
	Reappend     bool
	// ReadTo is, in a re-appended record, the offset up to which its writer had
	// read the stream. A reader evaluates the records from there on itself.
	ReadTo Offset
}

// ShardPull requests the shard table of a node.
type ShardPull struct{ Have Epoch }

// ShardTable has the assignments of a data centre.
type ShardTable struct {
	Assignments []Assignment
	// Next is the offset up to which the sender has read the stream. It is zero
	// in the log's own records.
	Next Offset
}

// ClaimState is the state of an idempotency key at its holder.
type ClaimState uint8

const (
	// ClaimPending means that the request may be running.
	ClaimPending ClaimState = iota
	// ClaimVoid means that the request was not run and never will be.
	ClaimVoid
	// ClaimRan means that the request was run.
	ClaimRan
	// ClaimUnknown means that no node has a record of whether the request was run.
	ClaimUnknown
)

// Claim is the record of a key at its holder and standby.
type Claim struct {
	Key         Key
	Fingerprint Fingerprint
	State       ClaimState
	// Answer is stored for finished claims; nil when there is none.
	Answer *Answer
}

// ClaimUpdate asks the standby of a shard to record a claim.
type ClaimUpdate struct {
	Shard ShardRef
	Epoch Epoch
	From  NodeRef
	Seq   uint64
	Claim Claim
}

// ClaimAck acknowledges that the standby recorded the holder's updates up to Seq.
// Sealed is set when the standby accepts no more updates of the epoch.
type ClaimAck struct {
	Shard  ShardRef
	Epoch  Epoch
	From   NodeRef
	Seq    uint64
	Sealed bool
}

// ClaimCopy transfers a part of the claims of a shard to a new standby. Copies and
// updates share one sequence of Seq numbers. Last marks the end of the transfer.
type ClaimCopy struct {
	Shard        ShardRef
	Epoch        Epoch
	From         NodeRef
	Seq          uint64
	CompleteFrom Epoch
	Claims       []Claim
	Last         bool
}

func (Hello) message()       {}
func (Ping) message()        {}
func (Call) message()        {}
func (Answer) message()      {}
func (Cancel) message()      {}
func (RunQuery) message()    {}
func (KeyQuery) message()    {}
func (Gossip) message()      {}
func (SheetPull) message()   {}
func (SheetRecord) message() {}
func (ShardPull) message()   {}
func (ShardTable) message()  {}
func (ClaimUpdate) message() {}
func (ClaimAck) message()    {}
func (ClaimCopy) message()   {}
