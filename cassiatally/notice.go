package cassiatally

// Notice is what a backend server states about itself in its answers. It holds until a
// later answer of the same start of the backend server states something else, except
// that a backend server that is leaving does not return.
type Notice struct {
	// Instance is the instance that the notice is of.
	Instance InstanceID
	// StartedMs is when the instance started, in milliseconds of the Unix epoch; 0 when
	// that is unknown.
	StartedMs int64
	// RateLimited is set while the backend server limits the requests that it takes from
	// all nodes together to RateLimit.
	RateLimited bool
	RateLimit   Rate
	// Leaving is set when the backend server takes no new work.
	Leaving bool
	// InvalidRateLimit is the text of a rate limit that is not a rate. The earlier limit
	// stays in force.
	InvalidRateLimit string
	// Slowdown is the current one of the machine. It changes many times a second, so it
	// is no part of the notice in force; EndpointLoad carries it to other nodes.
	Slowdown Slowdown
	// Occupancy is the number of requests that the backend server runs and queues, if
	// OccupancyKnown is set.
	Occupancy      Concurrency
	OccupancyKnown bool
}
