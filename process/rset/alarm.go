package rset

// raiseAlarm asks the promoter to check the leader. It never blocks: if an
// alarm is pending already, it does nothing.
func (rs *ReplicaSet) raiseAlarm() {
	signal(rs.alarm)
}

// signal sends a value to a channel unless one is waiting there already.
func signal(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

// TargetsChanged returns a channel that receives a value when a target was added,
// changed or removed.
func (rs *ReplicaSet) TargetsChanged() <-chan struct{} {
	return rs.targetsChanged
}

// LeaderAlarm returns a channel that receives a value when the leader may need
// to be replaced.
func (rs *ReplicaSet) LeaderAlarm() <-chan struct{} {
	return rs.alarm
}

// LeaderDoubted returns a channel that receives a value when there is a new reason to doubt
// the leader.
func (rs *ReplicaSet) LeaderDoubted() <-chan struct{} {
	return rs.doubted
}
