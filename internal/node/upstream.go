package node

import "context"

// upstream is the address that a stream is read from until a reload names another one. One goroutine reads it; another one
// may make its successor.
type upstream struct {
	address      string
	ctx          context.Context    // of reading; done once the upstream is given up
	cancel       context.CancelFunc // of ctx
	redialCtx    context.Context    // of dialling again; done once there is a successor
	stopRedial   context.CancelFunc // of redialCtx
	done         chan struct{}      // closed once it passes on nothing more
	previous     *upstream          // still read; nil: none is
	decodeFailed bool               // it ended at something unreadable, and has not been read completely since
}

func newUpstream(lifetime context.Context, address string) *upstream {
	up := &upstream{address: address, done: make(chan struct{})}
	up.ctx, up.cancel = context.WithCancel(lifetime)
	up.redialCtx, up.stopRedial = context.WithCancel(up.ctx)
	return up
}

// successor makes the upstream at another address; this one is not dialled again.
func (u *upstream) successor(lifetime context.Context, address string) *upstream {
	next := newUpstream(lifetime, address)
	next.previous = u
	u.stopRedial()
	return next
}

// takeOver cancels the older upstreams; once it returns they pass on nothing more, so that nothing stale follows what
// the new one opens with. They end at once, also in a dial.
func (u *upstream) takeOver() {
	for old := u.previous; old != nil; old = old.previous {
		old.cancel()
		<-old.done
	}
	u.previous = nil
}

// noteDecodeError notes that something could not be read, and tells whether to ask for it again at once. Guards against
// an unreadable message that comes at each opening and would block for ever all that is valid behind it.
func (u *upstream) noteDecodeError() (retry bool) {
	retry = !u.decodeFailed
	u.decodeFailed = true
	return retry
}

// clearDecodeError notes that the stream was read completely.
func (u *upstream) clearDecodeError() { u.decodeFailed = false }
