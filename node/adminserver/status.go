package adminserver

// Status is the state of a node, encoded as the JSON answer to operators.
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
	// RefusedByDuty counts, by duty, the messages refused because its inbox was full.
	RefusedByDuty map[string]uint64 `json:"refused_by_duty"`
}

// SheetStatus describes the sheet in force and the contact with the log.
type SheetStatus struct {
	Version uint64 `json:"version"`
	// LogContactSeconds is the time since the log last answered this node itself; -1
	// when the node does not follow the log or never reached it.
	LogContactSeconds float64 `json:"log_contact_seconds"`
	FollowsLog        bool    `json:"follows_log"`
}

// MemberStatus is a member in this node's view.
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

// ServiceStatus sums the endpoints of a service in a data centre.
type ServiceStatus struct {
	Service    string  `json:"service"`
	DataCentre string  `json:"data_centre"`
	Endpoints  int     `json:"endpoints"`
	Capacity   int     `json:"capacity"`
	Level      float64 `json:"level"`
	// Levels has the mean admission level of each rank over the endpoints in this
	// node's view, weighted by their limits; it is empty when none has reported levels.
	Levels []float64 `json:"levels"`
}

// LocalStatus describes the backend server of this host and its queue.
type LocalStatus struct {
	Service  string `json:"service"`
	State    string `json:"state"`
	Slots    int    `json:"slots"`
	Limit    int    `json:"limit"`
	InFlight int    `json:"in_flight"`
	Queued   int    `json:"queued"`
	// TypicalSeconds is the typical run time, without the time of onward calls.
	TypicalSeconds float64       `json:"typical_seconds"`
	Levels         []float64     `json:"levels"`
	Sheds          []ShedStatus  `json:"sheds"`
	Queue          []QueueStatus `json:"queue"`
	LateResults    uint64        `json:"late_results"`
	// Crashes counts the crashes of the backend server while runs were in flight.
	Crashes uint64 `json:"crashes"`
	// SuspectRequests were in flight in a crash and have not completed since;
	// QuarantinedRequests are refused because they crashed backend servers.
	SuspectRequests     int `json:"suspect_requests"`
	QuarantinedRequests int `json:"quarantined_requests"`
}

// ShedStatus counts the requests of a rank that were refused for one reason.
type ShedStatus struct {
	Rank  int    `json:"rank"`
	Kind  string `json:"kind"`
	Count uint64 `json:"count"`
}

// QueueStatus sums the queueing time of the calls of a rank that were started.
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
	// CompleteFrom is the lowest epoch from which the holder has every claim.
	CompleteFrom uint64 `json:"complete_from"`
}

// RequestStatus counts the requests that entered at this node and the calls that it
// sent for them.
type RequestStatus struct {
	InFlight int `json:"in_flight"`
	// Refused counts requests that were answered as not run.
	Refused           []ShedStatus `json:"refused"`
	RefusedAtEntry    uint64       `json:"refused_at_entry"`
	Retries           uint64       `json:"retries"`
	RetriesDenied     uint64       `json:"retries_denied"`
	Redirects         uint64       `json:"redirects"`
	LateAnswers       uint64       `json:"late_answers"`
	IncompleteAnswers uint64       `json:"incomplete_answers"`
	ForeignAnswers    uint64       `json:"foreign_answers"`
	OutcomeQueries    uint64       `json:"outcome_queries"`
}

// TrafficStatus counts bytes between nodes.
type TrafficStatus struct {
	Links                int    `json:"links"`
	RequestSentBytes     uint64 `json:"request_sent_bytes"`
	RequestReceivedBytes uint64 `json:"request_received_bytes"`
	ControlSentBytes     uint64 `json:"control_sent_bytes"`
	ControlReceivedBytes uint64 `json:"control_received_bytes"`
}
