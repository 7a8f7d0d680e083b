package node

import "context"

// upstream is the address that a stream is read from until a reload names another one.
type upstream struct {
	address      string
	ctx          context.Context    // of reading; done once the upstream is given up
	cancel       context.CancelFunc // of ctx
	redialCtx    context.Context    // of dialling again; done once a newer upstream is there
	stopRedial   context.CancelFunc // of redialCtx
	done         chan struct{}      // closed once it hands on nothing more
	previous     *upstream          // not given up yet
	decodeFailed bool               // it ended for what could not be read, and was not read whole since
}

func newUpstream(life context.Context, address string) *upstream {
	up := &upstream{address: address, done: make(chan struct{})}
	up.ctx, up.cancel = context.WithCancel(life)
	up.redialCtx, up.stopRedial = context.WithCancel(up.ctx)
	return up
}

// successor is the upstream at another address; this one is not dialled again.
func (u *upstream) successor(life context.Context, address string) *upstream {
	next := newUpstream(life, address)
	next.previous = u
	u.stopRedial()
	return next
}

// takeOver gives up the older upstreams; once it returns they hand on nothing more, so that nothing stale follows what
// the new one opens with. They end at once, also in a dial.
func (u *upstream) takeOver() {
	for old := u.previous; old != nil; old = old.previous {
		old.cancel()
		<-old.done
	}
	u.previous = nil
}

// noteDecodeError notes that something could not be read, and tells whether to ask for it again at once. Guards against
// a fault that comes back at each opening and would keep out for ever all that is sound behind it.
func (u *upstream) noteDecodeError() (retry bool) {
	retry = !u.decodeFailed
	u.decodeFailed = true
	return retry
}

// clearDecodeError notes that all was read that was due.
func (u *upstream) clearDecodeError() { u.decodeFailed = false }
