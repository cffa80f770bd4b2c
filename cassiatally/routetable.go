package cassiatally

import "time"

// WeightedService is one of the services that share the requests of a route.
type WeightedService struct {
	Service Service
	Weight  float64
}

// Route is how requests with one host and path prefix are served.
type Route struct {
	Name WorkKind
	Host string
	// Prefix begins and ends with a slash.
	Prefix string
	// Services has at least one entry with a positive weight.
	Services   []WeightedService
	Idempotent bool
	// Timeout bounds the time from the arrival of a request to its final answer; 0
	// means that only the caller's deadline does.
	Timeout time.Duration
	// Target is the target latency of answers.
	Target time.Duration
	Rank   Rank
	// Attempts bounds the endpoints that one request is sent to.
	Attempts int
}

// ServiceSpec is the configuration of a service.
type ServiceSpec struct {
	Name       Service
	HealthPath string
	// Connections is the connection limit of each backend server.
	Connections Concurrency
}

// RequestLimits bound what a caller may send.
type RequestLimits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// RouteTable is a version of the configuration of routes and services. A greater
// version replaces a smaller one.
type RouteTable struct {
	Version  Version
	Routes   []Route
	Services []ServiceSpec
	Limits   RequestLimits
}

// Service returns the configuration of a service.
func (t *RouteTable) Service(name Service) (ServiceSpec, bool) {
	for _, s := range t.Services {
		if s.Name == name {
			return s, true
		}
	}
	return ServiceSpec{}, false
}

// RoutePull requests the route table in force when it is newer than Have.
type RoutePull struct{ Have Version }

// RouteUpdate answers a RoutePull with the newer table.
type RouteUpdate struct{ Table RouteTable }

func (RoutePull) message()   {}
func (RouteUpdate) message() {}
