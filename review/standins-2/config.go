package main

import "encoding/json"

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
	AllowAnonymous  bool   `json:"allowAnonymous"`
}

type service struct {
	Name            string `json:"name"`
	HealthPath      string `json:"healthPath"`
	ConnectionLimit int    `json:"connectionLimit"`
	Protocol        string `json:"protocol"`
	TLS             bool   `json:"tls"`
}

type tenant struct {
	Name         string   `json:"name"`
	Credentials  []string `json:"credentials"`
	Priority     int      `json:"priority"`
	RequestsPerS float64  `json:"requestsPerS"`
	Burst        float64  `json:"burst"`
}

type limits struct {
	HeaderBytes     int `json:"headerBytes"`
	BodyBytes       int `json:"bodyBytes"`
	HeaderTimeoutMs int `json:"headerTimeoutMs"`
	IdleTimeoutMs   int `json:"idleTimeoutMs"`
}

type config struct {
	Version  string    `json:"version"`
	Routes   []route   `json:"routes"`
	Services []service `json:"services"`
	Limits   limits    `json:"limits"`
	Tenants  []tenant  `json:"tenants,omitempty"`
}

// usualLimits are those that the pages show.
var usualLimits = limits{HeaderBytes: 16384, BodyBytes: 67108864, HeaderTimeoutMs: 3000, IdleTimeoutMs: 15000}

func (c config) encode() []byte {
	data, err := json.Marshal(c)
	if err != nil {
		panic(err) // the types above can be encoded
	}
	return data
}

func newService(name string) service {
	return service{Name: name, HealthPath: "/health", ConnectionLimit: 862, Protocol: "h1"}
}
