package node

// notify wakes whoever waits on a channel with room for one; a signal that nobody has taken yet stands for this one too.
func notify(wake chan<- struct{}) {
	select {
	case wake <- struct{}{}:
	default:
	}
}
