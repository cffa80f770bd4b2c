package supervisor

import (
	"github.com/cassiatally/cassiatally/cassiatally"
	"github.com/cassiatally/cassiatally/cassiatally/ranker"
	"github.com/cassiatally/cassiatally/cassiatally/registrar"
	"github.com/cassiatally/cassiatally/node/dispatcher"
)

// inbound passes a message to the duty that handles it. It runs in the reader of a link
// and does not block.
func (s *Supervisor) inbound(from cassiatally.NodeRef, m cassiatally.Message) {
	switch m := m.(type) {
	case cassiatally.Call:
		s.inboundCall(from, m)
	case cassiatally.Answer:
		s.dispatcher.Answer(from.Node, m)
	case cassiatally.Cancel:
		s.executor.Cancel(m)
		s.claims.Message(from, m)
	case cassiatally.RunQuery:
		s.executor.Query(from.Node, m)
	case cassiatally.Gossip:
		s.inboundGossip(from, m)
	case cassiatally.SheetPull, cassiatally.SheetRecord:
		s.sheets.Message(from, m)
	case cassiatally.KeyQuery, cassiatally.ClaimUpdate, cassiatally.ClaimAck, cassiatally.ClaimCopy,
		cassiatally.ShardPull, cassiatally.ShardTable:
		s.claims.Message(from, m)
	default:
		s.logs.Warn("message without a receiver", "from", from)
	}
}

func (s *Supervisor) inboundGossip(from cassiatally.NodeRef, g cassiatally.Gossip) {
	if g.CrashNumber != 0 || g.CrashAck != 0 {
		s.executor.HandleCrashReports(from.Node, g)
		return
	}
	s.members.Gossip(from, g)
}

func (s *Supervisor) inboundCall(from cassiatally.NodeRef, c cassiatally.Call) {
	if cassiatally.DigestOf(c.Body) != c.Digest {
		s.refuse(from, c, cassiatally.KindIncompleteAnswer, "the request body does not match its digest")
		return
	}
	accepted := false
	if c.Stage == cassiatally.StageClaim {
		accepted = s.claims.Message(from, c)
	} else {
		accepted = s.executor.Call(from.Node, c)
	}
	if !accepted {
		s.refuse(from, c, cassiatally.KindOverloaded, "the node of the backend server is overloaded")
	}
}

// refuse answers a call that no duty accepted. For a claim the outcome is unknown, since
// other copies of it may have run.
func (s *Supervisor) refuse(to cassiatally.NodeRef, c cassiatally.Call, kind cassiatally.ErrorKind, detail string) {
	a := cassiatally.Answer{ID: c.ID, Request: c.Tag(), Outcome: cassiatally.OutcomeNotRun, Kind: kind, Detail: detail}
	if c.Stage == cassiatally.StageClaim {
		a.Outcome = cassiatally.OutcomeUnknown
		a.Kind = cassiatally.KindUnavailable
	}
	if err := s.links.Send(to.Node, a); err != nil {
		s.logs.Debug("refusal not sent", "to", to, "error", err)
	}
}

// viewChanged passes a new view of the members to the duties that use it.
func (s *Supervisor) viewChanged(v *registrar.View) {
	s.dispatcher.SetEndpoints(v.Candidates, dispatcher.LevelsOf(v.Loads))
	s.executor.SetPeers(v.Peers(s.self))
	s.claims.SetMembers(v)
	s.sheets.SetMembers(v)
}

// gossipReceived passes on the contents of gossip other than members.
func (s *Supervisor) gossipReceived(g cassiatally.Gossip) {
	s.sheets.PeerVersion(g.From, g.SheetVersion)
	if len(g.Crashes) > 0 {
		s.executor.MergeCrashReports(g.Crashes)
	}
	if s.sameDataCentre(g.From.Node) {
		s.claims.PeerEpochs(g.From, g.ShardEpochs)
	}
}

func (s *Supervisor) sameDataCentre(n cassiatally.NodeID) bool {
	for _, ref := range s.members.View().Local {
		if ref.Node == n {
			return true
		}
	}
	return false
}

// sheetAdopted passes a sheet that came into force to the duties that use it.
func (s *Supervisor) sheetAdopted(r *ranker.Ranker) {
	s.executor.SetShares(r.Shares())
	s.members.SetVersion(r.Version())
	s.logs.Info("sheet in force", "version", r.Version())
}
