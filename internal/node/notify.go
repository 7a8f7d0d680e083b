package node

// notify signals a channel with a buffer of one. It does nothing if an earlier signal has not been received yet.
func notify(wake chan<- struct{}) {
	select {
	case wake <- struct{}{}:
	default:
	}
}
