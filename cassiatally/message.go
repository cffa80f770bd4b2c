package cassiatally

import "time"

// Message is what one node sends to another.
type Message interface{ message() }

// Hello opens a link and tells who is at the other end.
type Hello struct {
	From       NodeRef
	DataCentre DataCentre
	Address    Address
}

// Ping is the heartbeat that an end of a link sends when it has sent nothing else.
type Ping struct{ Seq uint64 }

// Stage tells what a Call asks of the node that receives it.
type Stage uint8

const (
	// StageRun asks the node beside a backend server to run the request.
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
	// Remaining is the time left until the caller's deadline. A duration is sent
	// because the clocks of two hosts differ.
	Remaining time.Duration
	Retries   RetryCount
	Depth     Depth
	Attempt   uint16
	// Head and Caller are empty for requests of the product's own front end. Caller
	// is the service on the host where the request began.
	Head   Head
	Caller Service
	// Repeated tells that the request, or one further up its chain, was sent before
	// and may have run.
	Repeated bool
	Name     RequestName
	Body     []byte
	Digest   Digest
}

// Fingerprint identifies equal requests.
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
	// Request is the tag of the request that the answer is for. An id alone does not
	// show that an answer got the id of another call on its way. It is zero in
	// stored answers and in those of nodes that do not know the field.
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
	// OwnFailure tells that the backend server failed although all its onward calls
	// succeeded, so that another one may do better.
	OwnFailure bool
	// RetriesSpent counts retries of the call and of all calls below it.
	RetriesSpent RetryCount
	// Endpoint is the load of the endpoint that answered.
	Endpoint EndpointLoad
	// Loads has the levels of every service that the call touched.
	Loads []ServiceLoad
}

// Cancel tells that nobody waits for a Call any more.
type Cancel struct{ ID CallID }

// RunQuery asks for the outcome of a Call whose link was lost. A node that has
// not seen the call voids its id, so that a delayed copy is never run. Target is
// the incarnation that the call was sent to; another one cannot tell.
type RunQuery struct {
	ID     CallID
	Target Incarnation
	// Request is the tag of the call.
	Request RequestTag
}

// KeyQuery asks the holder of a shard for the outcome of a key.
type KeyQuery struct {
	ID  CallID
	Key Key
}

// Tag returns the tag that the answer to the query repeats.
func (q KeyQuery) Tag() RequestTag { return tagOf(q.ID, []byte(q.Key)) }

// EndpointLoad is what an endpoint's node reports about it.
type EndpointLoad struct {
	Node     NodeID
	Limit    Concurrency
	InFlight Concurrency
	Queued   int
	// Typical is the typical self time of a run.
	Typical time.Duration
}

// ServiceLoad is the level of each rank at an endpoint of a service, or over
// several of them. Weight is the concurrency that the levels stand for.
type ServiceLoad struct {
	Service Service
	Weight  float64
	Levels  []Level
}

// EndpointState tells whether an endpoint takes new work.
type EndpointState uint8

const (
	// EndpointNone means that the node has no backend server.
	EndpointNone EndpointState = iota
	// EndpointReady means that the backend server takes work.
	EndpointReady
	// EndpointDraining means that the backend server takes no new work.
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

// Member is what a node tells about itself and passes on about others.
type Member struct {
	Ref        NodeRef
	DataCentre DataCentre
	Address    Address
	// Heartbeat grows with every gossip round of the member.
	Heartbeat uint64
	// Revision grows when anything but the heartbeat and the load changes.
	Revision uint64
	Leaving  bool
	Sheet    Version
	Endpoint Endpoint
}

// Gossip carries changed members, the version in force and crash reports.
type Gossip struct {
	From    NodeRef
	Reply   bool
	Members []Member
	Sheet   Version
	Crashes []CrashReport
	// ShardEpochs is the sum of the epochs of the sender's own data centre. A
	// receiver of the same data centre whose sum is lower asks for the table.
	ShardEpochs Epoch
	// CrashNews is the number of a crash at the sender, which the receiver
	// acknowledges with CrashAck once it knows the crash reports. Such a message
	// carries nothing else.
	CrashNews CrashNumber
	CrashAck  CrashNumber
}

// CrashReport counts the backend server crashes that one node saw while a
// request with the fingerprint was in flight there.
type CrashReport struct {
	Fingerprint Fingerprint
	Reporter    NodeRef
	Crashes     uint16
	Completed   bool
	// Clears counts the completed runs at the reporter that cleared a suspect.
	// Crashes counts those since the last of them. A report with more clears, or
	// with as many and more crashes, replaces the one before.
	Clears uint16
}

// SheetPull asks for the sheet in force when it is newer than Have.
type SheetPull struct{ Have Version }

// SheetRecord is an accepted sheet, as the log holds it and as nodes pass it on.
type SheetRecord struct {
	Version   Version
	BasedOn   Version
	Publisher string
	// Reappend marks a copy of an accepted record that was appended again before
	// the log dropped the first one.
	Reappend bool
	Sheet    []byte
	Digest   Digest
}

// Assignment says which node incarnations hold a shard and stand by for it.
type Assignment struct {
	Shard   ShardRef
	Epoch   Epoch
	Holder  NodeRef
	Standby NodeRef
	// CompleteFrom is the lowest epoch of which the holder has every claim.
	CompleteFrom Epoch
	Reappend     bool
	// ReadTo is, in a re-appended record, the offset up to which its writer had
	// read the stream. A reader judges the records from there on itself.
	ReadTo Offset
}

// ShardPull asks a node for its shard table.
type ShardPull struct{ Have Epoch }

// ShardTable passes on the assignments of a data centre.
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
	// ClaimUnknown means that nobody can tell whether the request was run.
	ClaimUnknown
)

// Claim is what holder and standby record about a key.
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

// ClaimAck tells the holder that its standby recorded updates up to Seq. Sealed
// tells that the standby acknowledges nothing of the epoch any more.
type ClaimAck struct {
	Shard  ShardRef
	Epoch  Epoch
	From   NodeRef
	Seq    uint64
	Sealed bool
}

// ClaimCopy carries a part of the claims of a shard to a new standby. Seq
// numbers copies and updates in one sequence.
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
