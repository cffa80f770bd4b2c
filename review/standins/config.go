package main

import "encoding/json"

// route is a route of a configuration.
type route struct {
	Name            string `json:"name"`
	Host            string `json:"host"`
	PathPrefix      string `json:"pathPrefix"`
	Kind            string `json:"kind"`
	TimeoutMs       int    `json:"timeoutMs"`
	TargetLatencyMs int    `json:"targetLatencyMs"`
	Priority        int    `json:"priority"`
	Service         string `json:"service"`
	Attempts        int    `json:"attempts"`
}

type service struct {
	Name            string `json:"name"`
	HealthPath      string `json:"healthPath"`
	ConnectionLimit int    `json:"connectionLimit"`
}

type limits struct {
	HeaderBytes     int `json:"headerBytes"`
	BodyBytes       int `json:"bodyBytes"`
	HeaderTimeoutMs int `json:"headerTimeoutMs"`
	IdleTimeoutMs   int `json:"idleTimeoutMs"`
}

// configOf returns the first configuration, with the limits that the bench uses.
func configOf(routes []route, services ...string) string {
	var c struct {
		Version  string    `json:"version"`
		Routes   []route   `json:"routes"`
		Services []service `json:"services"`
		Limits   limits    `json:"limits"`
	}
	c.Version, c.Routes = "r7", routes
	c.Limits = limits{HeaderBytes: 16384, BodyBytes: 64 << 20, HeaderTimeoutMs: 3000, IdleTimeoutMs: 15000}
	for _, s := range services {
		c.Services = append(c.Services, service{Name: s, HealthPath: healthPath, ConnectionLimit: 712})
	}
	data, _ := json.Marshal(c)
	return string(data)
}

// safeRoute returns a route for idempotent requests, with the times of the site.
func safeRoute(name, to string) route {
	return route{
		Name: "r-" + name, Host: name + ".example", PathPrefix: "/" + name + "/", Kind: "safe", TimeoutMs: 6000, TargetLatencyMs: 1500, Priority: 1, Service: to, Attempts: 2,
	}
}

// signRoute returns the route of the requests that are not idempotent.
func signRoute(to string) route {
	r := safeRoute("sign", to)
	r.Kind, r.TargetLatencyMs, r.Priority = "unsafe", 3000, 2
	return r
}
