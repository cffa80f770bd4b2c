package gatekeeper

import (
	"slices"

	"github.com/cassiatally/cassiatally/cassiatally"
	"github.com/cassiatally/cassiatally/cassiatally/matcher"
	"github.com/cassiatally/cassiatally/cassiatally/registrar"
	"github.com/cassiatally/cassiatally/node/dispatcher"
)

// inbound passes a message to the duty that handles it. It runs in the reader of a link
// and does not block.
func (g *Gatekeeper) inbound(from cassiatally.NodeRef, m cassiatally.Message) {
	switch m := m.(type) {
	case cassiatally.Call:
		g.inboundCall(from, m)
	case cassiatally.Answer:
		g.dispatcher.Answer(from.Node, m)
	case cassiatally.Cancel:
		g.executor.Cancel(m)
	case cassiatally.RunQuery:
		g.executor.Query(from.Node, m)
	case cassiatally.Gossip:
		if m.CrashNumber != 0 || m.CrashAck != 0 {
			g.executor.HandleCrashReports(from.Node, m)
			return
		}
		g.members.Gossip(from, m)
	case cassiatally.RoutePull, cassiatally.RouteUpdate:
		g.routes.Message(from, m)
	case cassiatally.QuotaRequest, cassiatally.QuotaGrant, cassiatally.QuotaBeat:
		g.quotas.Message(from, m)
	default:
		g.logs.Warn("message without a receiver", "from", from)
	}
}

func (g *Gatekeeper) inboundCall(from cassiatally.NodeRef, c cassiatally.Call) {
	var kind cassiatally.ErrorKind
	var detail string
	switch {
	case cassiatally.DigestOf(c.Body) != c.Digest:
		kind, detail = cassiatally.KindIncompleteAnswer, "the request body does not match its digest"
	case !g.executor.Call(from.Node, c):
		kind, detail = cassiatally.KindOverloaded, "the node of the backend server is overloaded"
	default:
		return
	}
	a := cassiatally.Answer{ID: c.ID, Request: c.Tag(), Outcome: cassiatally.OutcomeNotRun, Kind: kind, Detail: detail}
	if err := g.links.Send(from.Node, a); err != nil {
		g.logs.Debug("refusal not sent", "to", from, "error", err)
	}
}

// viewChanged passes a new view of the members to the duties that use it.
func (g *Gatekeeper) viewChanged(v *registrar.View) {
	g.dispatcher.SetEndpoints(v.Candidates, dispatcher.LevelsOf(v.Loads))
	g.executor.SetPeers(v.Peers(g.self))
	g.quotas.SetView(v)
}

// linkLost passes the loss of a link to the duties that wait for messages on it.
func (g *Gatekeeper) linkLost(peer cassiatally.NodeRef) {
	g.dispatcher.LinkLost(peer)
	g.quotas.Unreachable(peer.Node)
}

// undelivered passes a message that was not sent to the duty that sent it.
func (g *Gatekeeper) undelivered(to cassiatally.NodeID, m cassiatally.Message) {
	if _, ok := m.(cassiatally.QuotaRequest); ok {
		g.quotas.Unreachable(to)
		return
	}
	g.dispatcher.SendFailed(to, m)
}

// gossipReceived passes on the contents of gossip other than members.
func (g *Gatekeeper) gossipReceived(m cassiatally.Gossip) {
	g.routes.PeerVersion(m.From, m.SheetVersion)
	if len(m.Crashes) > 0 {
		g.executor.MergeCrashReports(m.Crashes)
	}
}

// tableInForce passes a route table that came into force to the duties that use it.
func (g *Gatekeeper) tableInForce(m *matcher.Matcher) {
	g.members.SetVersion(m.Table().Version)
	g.instances.SetRoutes(m)
	g.quotas.SetTable(m.Table().Tenants)
}

// alone reports whether every other member is suspect or there is none.
func (g *Gatekeeper) alone() bool {
	v := g.members.View()
	return !slices.ContainsFunc(v.Members, func(m cassiatally.Member) bool {
		return m.Ref != g.self && !slices.Contains(v.Suspects, m.Ref)
	})
}
