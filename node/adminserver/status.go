package adminserver

// Status is what a node tells operators, in the form of the JSON answer.
type Status struct {
	Node        string          `json:"node"`
	Incarnation string          `json:"incarnation"`
	DataCentre  string          `json:"data_centre"`
	Leaving     bool            `json:"leaving"`
	Control     string          `json:"control"`
	Sheet       SheetStatus     `json:"sheet"`
	Members     []MemberStatus  `json:"members"`
	Services    []ServiceStatus `json:"services"`
	Local       LocalStatus     `json:"local"`
	Shards      []ShardStatus   `json:"shards"`
	Requests    RequestStatus   `json:"requests"`
	Traffic     TrafficStatus   `json:"traffic"`
	// Refused counts the messages that found no room in the inbox of each duty.
	Refused map[string]uint64 `json:"refused_by_duty"`
}

// SheetStatus tells which sheet is in force.
type SheetStatus struct {
	Version uint64 `json:"version"`
	// LogContactSeconds is the time since this node last heard from the log, by
	// itself; -1 when it does not follow the log or never reached it.
	LogContactSeconds float64 `json:"log_contact_seconds"`
	FollowsLog        bool    `json:"follows_log"`
}

// MemberStatus is one member as this node knows it.
type MemberStatus struct {
	Node       string `json:"node"`
	DataCentre string `json:"data_centre"`
	Address    string `json:"address"`
	Service    string `json:"service"`
	State      string `json:"state"`
	Slots      int    `json:"slots"`
	Limit      int    `json:"limit"`
	InFlight   int    `json:"in_flight"`
	Queued     int    `json:"queued"`
	Sheet      uint64 `json:"sheet"`
	Suspect    bool   `json:"suspect"`
	Leaving    bool   `json:"leaving"`
}

// ServiceStatus adds up the endpoints of a service in a data centre.
type ServiceStatus struct {
	Service    string  `json:"service"`
	DataCentre string  `json:"data_centre"`
	Endpoints  int     `json:"endpoints"`
	Capacity   int     `json:"capacity"`
	Level      float64 `json:"level"`
	// Levels has the admission level of each rank over the endpoints that this
	// node knows, weighted by their limits; it is empty when none told it.
	Levels []float64 `json:"levels"`
}

// LocalStatus is the backend server of the host.
type LocalStatus struct {
	Service  string `json:"service"`
	State    string `json:"state"`
	Slots    int    `json:"slots"`
	Limit    int    `json:"limit"`
	InFlight int    `json:"in_flight"`
	Queued   int    `json:"queued"`
	// TypicalSeconds is the typical run time without onward calls.
	TypicalSeconds float64       `json:"typical_seconds"`
	Levels         []float64     `json:"levels"`
	Sheds          []ShedStatus  `json:"sheds"`
	Queue          []QueueStatus `json:"queue"`
	LateResults    uint64        `json:"late_results"`
	// Crashes counts the times that the backend server broke off runs.
	Crashes uint64 `json:"crashes"`
	// SuspectRequests were in flight in a crash and have not completed since;
	// QuarantinedRequests are refused because they crashed backend servers.
	SuspectRequests     int `json:"suspect_requests"`
	QuarantinedRequests int `json:"quarantined_requests"`
}

// ShedStatus counts what was refused for one reason.
type ShedStatus struct {
	Rank  int    `json:"rank"`
	Kind  string `json:"kind"`
	Count uint64 `json:"count"`
}

// QueueStatus adds up the time in the queue of the calls of a rank that were
// started.
type QueueStatus struct {
	Rank        int     `json:"rank"`
	Started     uint64  `json:"started"`
	WaitSeconds float64 `json:"wait_seconds"`
}

// ShardStatus is one shard of idempotency keys of the node's own data centre.
type ShardStatus struct {
	Shard   int    `json:"shard"`
	Epoch   uint64 `json:"epoch"`
	Holder  string `json:"holder"`
	Standby string `json:"standby"`
	// CompleteFrom is the lowest epoch of which the holder has every claim.
	CompleteFrom uint64 `json:"complete_from"`
}

// RequestStatus counts what became of the calls that this node sent on.
type RequestStatus struct {
	InFlight int `json:"in_flight"`
	// Refused counts callers that were told that their request was not run.
	Refused        []ShedStatus `json:"refused"`
	RefusedAtEntry uint64       `json:"refused_at_entry"`
	Retries        uint64       `json:"retries"`
	RetriesDenied  uint64       `json:"retries_denied"`
	Redirects      uint64       `json:"redirects"`
	LateAnswers    uint64       `json:"late_answers"`
	Incomplete     uint64       `json:"incomplete_answers"`
	Foreign        uint64       `json:"foreign_answers"`
	Queries        uint64       `json:"outcome_queries"`
}

// TrafficStatus counts bytes between nodes.
type TrafficStatus struct {
	Links           int    `json:"links"`
	RequestSent     uint64 `json:"request_sent_bytes"`
	RequestReceived uint64 `json:"request_received_bytes"`
	ControlSent     uint64 `json:"control_sent_bytes"`
	ControlReceived uint64 `json:"control_received_bytes"`
}
