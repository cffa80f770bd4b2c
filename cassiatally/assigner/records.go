package assigner

import "github.com/cassiatally/cassiatally/cassiatally"

// applyRecord applies a record, or holds it until there is a base.
func (a *Assigner) applyRecord(s *shard, at cassiatally.Offset, as cassiatally.Assignment) {
	if a.hasBase(s) {
		if at >= s.baseOffset && wins(s.inForce, as) {
			s.setInForce(as)
		}
		return
	}
	switch {
	case !as.Reappend || as.ReadTo < s.contiguousFrom || as.Epoch < s.inForce.Epoch:
		s.hold(at, as)
	case startsWithoutBase(as):
		// Its epoch is above every epoch before ReadTo, and above those read since.
		if as.Epoch > s.highestHeld() {
			a.rebase(s, as, at)
		}
	default:
		s.hold(at, as)
		a.rebase(s, as, as.ReadTo)
	}
}

func (s *shard) hold(at cassiatally.Offset, as cassiatally.Assignment) {
	s.held = append(s.held, heldRecord{at, as})
	if len(s.held) > maxHeldRecords {
		s.contiguousFrom = s.held[0].at + 1
		s.held = s.held[1:]
	}
}

func (s *shard) highestHeld() cassiatally.Epoch {
	highest := s.inForce.Epoch
	for _, h := range s.held {
		highest = max(highest, h.record.Epoch)
	}
	return highest
}

// rebase uses an assignment that was in force at an offset as the base, and
// applies the held records from that offset on.
func (a *Assigner) rebase(s *shard, as cassiatally.Assignment, from cassiatally.Offset) {
	if as.Epoch > s.inForce.Epoch {
		s.setInForce(as)
	}
	s.gapped = false
	s.baseOffset = max(s.baseOffset, from)
	held := s.held
	s.held = nil
	for _, h := range held {
		a.applyRecord(s, h.at, h.record)
	}
}

// wins reports whether a record replaces the assignment in force.
func wins(cur, as cassiatally.Assignment) bool {
	switch {
	case as.Reappend:
		return startsWithoutBase(as) && as.Epoch > cur.Epoch
	case cur.Epoch == 0:
		return as.Epoch == 1
	default:
		return as.Epoch == cur.Epoch+1 && validTransition(cur, as)
	}
}

// startsWithoutBase reports whether a record assigns a new pair without a base.
// Its epoch is above all epochs that the log can have held before ReadTo.
func startsWithoutBase(as cassiatally.Assignment) bool {
	return as.Reappend && as.CompleteFrom == as.Epoch && as.Epoch == epochAbove(as.ReadTo)
}

// epochAbove returns an epoch above all that the log can have held before next.
func epochAbove(next cassiatally.Offset) cassiatally.Epoch { return 2 * cassiatally.Epoch(next+1) }

// validTransition reports whether a correct node can append next while cur is in
// force.
func validTransition(cur, next cassiatally.Assignment) bool {
	if next.CompleteFrom < cur.CompleteFrom {
		return false
	}
	return next.CompleteFrom == next.Epoch || next.Holder == cur.Holder || next.Holder == cur.Standby
}
