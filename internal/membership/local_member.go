package membership

// localMember is this controller as a member of the group.
type localMember struct {
	label       string
	incarnation Incarnation
	sequence    uint64 // of the last message of this incarnation
	leaving     bool
}

// nextSequence numbers the next message of the incarnation.
func (l *localMember) nextSequence() uint64 {
	l.sequence++
	return l.sequence
}

// refute takes a later incarnation than the one that a claim is about, if the claim is against us or
// about a later incarnation than ours: that of a former process, when the clock was set back since.
// It reports whether the claim was against us. A controller that leaves refutes nothing.
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
