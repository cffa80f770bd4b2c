package protocol

import (
	"time"

	"github.com/cassiatally/cassiatally/cassiatally"
)

type wireWeightedService struct {
	_       struct{} `cbor:",toarray"`
	Service cassiatally.Service
	Weight  float64
}

func toWeightedService(m cassiatally.WeightedService) wireWeightedService {
	return wireWeightedService{Service: m.Service, Weight: m.Weight}
}

func fromWeightedService(w wireWeightedService) cassiatally.WeightedService {
	return cassiatally.WeightedService{Service: w.Service, Weight: w.Weight}
}

type wireRoute struct {
	Name       cassiatally.WorkKind  `cbor:"1,keyasint,omitempty"`
	Host       string                `cbor:"2,keyasint,omitempty"`
	Prefix     string                `cbor:"3,keyasint,omitempty"`
	Services   []wireWeightedService `cbor:"4,keyasint,omitempty"`
	Idempotent bool                  `cbor:"5,keyasint,omitempty"`
	Timeout    time.Duration         `cbor:"6,keyasint,omitempty"`
	Target     time.Duration         `cbor:"7,keyasint,omitempty"`
	Rank       cassiatally.Rank      `cbor:"8,keyasint,omitempty"`
	Attempts   int                   `cbor:"9,keyasint,omitempty"`
	Anonymous  bool                  `cbor:"10,keyasint,omitempty"`
}

func toRoute(m cassiatally.Route) wireRoute {
	return wireRoute{
		Name: m.Name, Host: m.Host, Prefix: m.Prefix, Services: convertAll(m.Services, toWeightedService), Idempotent: m.Idempotent,
		Timeout: m.Timeout, Target: m.Target, Rank: m.Rank, Attempts: m.Attempts, Anonymous: m.AllowAnonymous,
	}
}

func fromRoute(w wireRoute) cassiatally.Route {
	return cassiatally.Route{
		Name: w.Name, Host: w.Host, Prefix: w.Prefix, Services: convertAll(w.Services, fromWeightedService), Idempotent: w.Idempotent,
		Timeout: w.Timeout, Target: w.Target, Rank: w.Rank, Attempts: w.Attempts, AllowAnonymous: w.Anonymous,
	}
}

type wireServiceSpec struct {
	_           struct{} `cbor:",toarray"`
	Name        cassiatally.Service
	HealthPath  string
	Connections cassiatally.Concurrency
}

func toServiceSpec(m cassiatally.ServiceSpec) wireServiceSpec {
	return wireServiceSpec{Name: m.Name, HealthPath: m.HealthPath, Connections: m.Connections}
}

func fromServiceSpec(w wireServiceSpec) cassiatally.ServiceSpec {
	return cassiatally.ServiceSpec{Name: w.Name, HealthPath: w.HealthPath, Connections: w.Connections}
}

type wireRequestLimits struct {
	_             struct{} `cbor:",toarray"`
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

type wireTenantSpec struct {
	Name   cassiatally.Tenant      `cbor:"1,keyasint,omitempty"`
	Keys   []cassiatally.KeyDigest `cbor:"2,keyasint,omitempty"`
	Ranked bool                    `cbor:"3,keyasint,omitempty"`
	Rank   cassiatally.Rank        `cbor:"4,keyasint,omitempty"`
	Rate   cassiatally.Rate        `cbor:"5,keyasint,omitempty"`
	Burst  float64                 `cbor:"6,keyasint,omitempty"`
}

func toTenantSpec(m cassiatally.TenantSpec) wireTenantSpec {
	return wireTenantSpec{Name: m.Name, Keys: m.Keys, Ranked: m.Ranked, Rank: m.Rank, Rate: m.Rate, Burst: m.Burst}
}

func fromTenantSpec(w wireTenantSpec) cassiatally.TenantSpec {
	return cassiatally.TenantSpec{Name: w.Name, Keys: w.Keys, Ranked: w.Ranked, Rank: w.Rank, Rate: w.Rate, Burst: w.Burst}
}

type wireRouteUpdate struct {
	Version  cassiatally.Version `cbor:"1,keyasint,omitempty"`
	Routes   []wireRoute         `cbor:"2,keyasint,omitempty"`
	Services []wireServiceSpec   `cbor:"3,keyasint,omitempty"`
	Limits   wireRequestLimits   `cbor:"4,keyasint,omitempty"`
	Tenants  []wireTenantSpec    `cbor:"5,keyasint,omitempty"`
}

func toRouteUpdate(m cassiatally.RouteUpdate) wireRouteUpdate {
	l := m.Table.Limits
	return wireRouteUpdate{
		Version:  m.Table.Version,
		Routes:   convertAll(m.Table.Routes, toRoute),
		Services: convertAll(m.Table.Services, toServiceSpec),
		Limits:   wireRequestLimits{HeaderBytes: l.HeaderBytes, BodyBytes: l.BodyBytes, HeaderTimeout: l.HeaderTimeout, IdleTimeout: l.IdleTimeout},
		Tenants:  convertAll(m.Table.Tenants, toTenantSpec),
	}
}

func fromRouteUpdate(w wireRouteUpdate) cassiatally.RouteUpdate {
	l := w.Limits
	return cassiatally.RouteUpdate{Table: cassiatally.RouteTable{
		Version:  w.Version,
		Routes:   convertAll(w.Routes, fromRoute),
		Services: convertAll(w.Services, fromServiceSpec),
		Limits:   cassiatally.RequestLimits{HeaderBytes: l.HeaderBytes, BodyBytes: l.BodyBytes, HeaderTimeout: l.HeaderTimeout, IdleTimeout: l.IdleTimeout},
		Tenants:  convertAll(w.Tenants, fromTenantSpec),
	}}
}

type wireRoutePull struct {
	Have cassiatally.Version `cbor:"1,keyasint,omitempty"`
}

func toRoutePull(m cassiatally.RoutePull) wireRoutePull { return wireRoutePull(m) }

func fromRoutePull(w wireRoutePull) cassiatally.RoutePull { return cassiatally.RoutePull(w) }
