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
	// AllowAnonymous admits requests without a key while the table has tenants.
	AllowAnonymous bool
}

// TenantSpec is the configuration of a tenant.
type TenantSpec struct {
	Name Tenant
	// Keys has the digests of the keys that identify the tenant.
	Keys []KeyDigest
	// Ranked is set when Rank replaces that of the route.
	Ranked bool
	Rank   Rank
	// Rate is the quota in requests per second over all nodes together, and Burst the
	// number of requests beyond it that unused quota accumulates to. A rate of 0 is no
	// limit.
	Rate  Rate
	Burst float64
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
	// Tenants is empty when requests are not authenticated.
	Tenants []TenantSpec
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
