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
}

// LocalStatus is the backend server of the host.
type LocalStatus struct {
	Service  string    `json:"service"`
	State    string    `json:"state"`
	Limit    int       `json:"limit"`
	InFlight int       `json:"in_flight"`
	Queued   int       `json:"queued"`
	Levels   []float64 `json:"levels"`
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
	InFlight       int    `json:"in_flight"`
	RefusedAtEntry uint64 `json:"refused_at_entry"`
	Retries        uint64 `json:"retries"`
	RetriesDenied  uint64 `json:"retries_denied"`
	Redirects      uint64 `json:"redirects"`
	LateAnswers    uint64 `json:"late_answers"`
	Incomplete     uint64 `json:"incomplete_answers"`
	Queries        uint64 `json:"outcome_queries"`
}

// TrafficStatus counts bytes between nodes.
type TrafficStatus struct {
	Links           int    `json:"links"`
	RequestSent     uint64 `json:"request_sent_bytes"`
	RequestReceived uint64 `json:"request_received_bytes"`
	ControlSent     uint64 `json:"control_sent_bytes"`
	ControlReceived uint64 `json:"control_received_bytes"`
}
