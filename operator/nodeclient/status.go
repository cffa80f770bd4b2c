package nodeclient

// Status is the state of a node as it reports it to operators.
// node/adminserver/status.go documents the fields.
type Status struct {
	Node       string    `json:"node"`
	DataCentre string    `json:"data_centre"`
	Leaving    bool      `json:"leaving"`
	Control    string    `json:"control"`
	Sheet      Sheet     `json:"sheet"`
	Members    []Member  `json:"members"`
	Services   []Service `json:"services"`
	Local      Local     `json:"local"`
	Shards     []Shard   `json:"shards"`
	Requests   Requests  `json:"requests"`
	Traffic    Traffic   `json:"traffic"`
	// RefusedByDuty counts, for each duty, the messages that its full inbox refused.
	RefusedByDuty map[string]uint64 `json:"refused_by_duty"`
}

// Sheet identifies the sheet in force on the node.
type Sheet struct {
	Version           uint64  `json:"version"`
	LogContactSeconds float64 `json:"log_contact_seconds"`
	FollowsLog        bool    `json:"follows_log"`
}

// Member is a node in the membership list of the queried node.
type Member struct {
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

// Service has the totals over the endpoints of a service in a data centre.
type Service struct {
	Service    string    `json:"service"`
	DataCentre string    `json:"data_centre"`
	Endpoints  int       `json:"endpoints"`
	Capacity   int       `json:"capacity"`
	Level      float64   `json:"level"`
	Levels     []float64 `json:"levels"`
}

// Local is the backend server of the node's host.
type Local struct {
	Service             string    `json:"service"`
	State               string    `json:"state"`
	Slots               int       `json:"slots"`
	Limit               int       `json:"limit"`
	InFlight            int       `json:"in_flight"`
	Queued              int       `json:"queued"`
	TypicalSeconds      float64   `json:"typical_seconds"`
	Levels              []float64 `json:"levels"`
	Sheds               []Shed    `json:"sheds"`
	Queue               []Queue   `json:"queue"`
	LateResults         uint64    `json:"late_results"`
	Crashes             uint64    `json:"crashes"`
	SuspectRequests     int       `json:"suspect_requests"`
	QuarantinedRequests int       `json:"quarantined_requests"`
}

// Shed counts the requests of a rank that were refused for one reason.
type Shed struct {
	Rank  int    `json:"rank"`
	Kind  string `json:"kind"`
	Count uint64 `json:"count"`
}

// Queue has the total time that the calls of a rank spent in the queue.
type Queue struct {
	Rank        int     `json:"rank"`
	Started     uint64  `json:"started"`
	WaitSeconds float64 `json:"wait_seconds"`
}

// Shard is one shard of idempotency keys.
type Shard struct {
	Shard        int    `json:"shard"`
	Epoch        uint64 `json:"epoch"`
	Holder       string `json:"holder"`
	Standby      string `json:"standby"`
	CompleteFrom uint64 `json:"complete_from"`
}

// Requests counts the requests that entered at the node and the calls that it sent
// for them.
type Requests struct {
	InFlight          int    `json:"in_flight"`
	Refused           []Shed `json:"refused"`
	RefusedAtEntry    uint64 `json:"refused_at_entry"`
	Retries           uint64 `json:"retries"`
	RetriesDenied     uint64 `json:"retries_denied"`
	Redirects         uint64 `json:"redirects"`
	LateAnswers       uint64 `json:"late_answers"`
	IncompleteAnswers uint64 `json:"incomplete_answers"`
	ForeignAnswers    uint64 `json:"foreign_answers"`
	OutcomeQueries    uint64 `json:"outcome_queries"`
}

// Traffic counts bytes between nodes.
type Traffic struct {
	Links                int    `json:"links"`
	RequestSentBytes     uint64 `json:"request_sent_bytes"`
	RequestReceivedBytes uint64 `json:"request_received_bytes"`
	ControlSentBytes     uint64 `json:"control_sent_bytes"`
	ControlReceivedBytes uint64 `json:"control_received_bytes"`
}
