package membership

// localMember is this controller as a member of the group.
type localMember struct {
	label       string
	incarnation Incarnation
	sequence    uint64 // sequence number of the last message of this incarnation
	leaving     bool
}

// nextSequence returns the sequence number of the next message of the current incarnation.
func (l *localMember) nextSequence() uint64 {
	l.sequence++
	return l.sequence
}

// refute takes an incarnation later than the claimed one in two cases: the claim says that the current or a
// later incarnation of this controller is not alive, or the claimed incarnation is later than the current one.
// In the second case the claim is about a previous process of this label, and the clock was set back since.
// refute reports whether the first case holds. A leaving controller refutes nothing.
func (l *localMember) refute(claim Claim) (refuted bool) {
	if l.leaving {
		return false
	}
	against := claim.State != Alive && claim.Incarnation >= l.incarnation
	if !against && claim.Incarnation <= l.incarnation {
		return false
	}
	l.incarnation, l.sequence = claim.Incarnation+1, 0
	return against
}
