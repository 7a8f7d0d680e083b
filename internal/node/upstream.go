package node

import "context"

// upstream is a peer that a stream is read from until a reload changes its address. One goroutine reads the stream;
// another one may create the successor.
type upstream struct {
	address      string
	ctx          context.Context    // for reading; canceled when the upstream is abandoned
	cancel       context.CancelFunc // cancels ctx
	redialCtx    context.Context    // for reconnecting; canceled when there is a successor
	stopRedial   context.CancelFunc // cancels redialCtx
	done         chan struct{}      // closed when no more inputs come from the upstream
	previous     *upstream          // upstream that is still read until this one takes over; nil: none
	decodeFailed bool               // a message could not be decoded, and its contents are still missing
}

func newUpstream(lifetime context.Context, address string) *upstream {
	up := &upstream{address: address, done: make(chan struct{})}
	up.ctx, up.cancel = context.WithCancel(lifetime)
	up.redialCtx, up.stopRedial = context.WithCancel(up.ctx)
	return up
}

// successor returns an upstream that replaces this one at another address. This one is not reconnected any more.
func (u *upstream) successor(lifetime context.Context, address string) *upstream {
	next := newUpstream(lifetime, address)
	next.previous = u
	u.stopRedial()
	return next
}

// takeOver cancels the older upstreams and waits until they have ended. The wait is short, since canceling interrupts even
// a dial. After that they send no more inputs, so nothing stale can follow the first input of this upstream.
func (u *upstream) takeOver() {
	for old := u.previous; old != nil; old = old.previous {
		old.cancel()
		<-old.done
	}
	u.previous = nil
}

// noteDecodeError records that a message could not be decoded, and reports whether to request it again at once. After the
// first failure it returns false until clearDecodeError is called: a malformed message that is sent at each opening would
// otherwise block all valid messages behind it forever.
func (u *upstream) noteDecodeError() (retry bool) {
	retry = !u.decodeFailed
	u.decodeFailed = true
	return retry
}

// clearDecodeError records that the contents of no message are missing any more.
func (u *upstream) clearDecodeError() { u.decodeFailed = false }
