package follow

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"time"

	"tamarindshore/client/tables"
)

// Follower keeps a holder up to date. Its fields are set before Run and left alone from then on.
type Follower struct {
	Name       string
	Keys       tables.Keys
	Replica    *tables.Replica
	Dial       func(ctx context.Context) (net.Conn, error)
	OnApplied  func(held tables.VersionRef, s *tables.State) // after each version that took effect
	OnRejected func(o tables.Outcome, err error)             // of each that did not; may be nil

	InitialBackoff, MaxBackoff time.Duration // between two dials; doubled each time, spread by chance; 0: 100 ms and 5 s
	IOTimeout                  time.Duration // of the manager's, until a write or a greeting is given up; 0: 5 s
}

// Run follows until the context ends; it returns its error then. A connection that breaks is dialled again; the holder
// goes on with its last good version meanwhile.
func (f *Follower) Run(ctx context.Context) error {
	first, most := f.InitialBackoff, f.MaxBackoff
	if first <= 0 || most < first {
		first, most = 100*time.Millisecond, 5*time.Second
	}
	began := time.Now()
	for tries := 0; ctx.Err() == nil; tries++ {
		at := time.Now()
		f.once(ctx, began)
		if time.Since(at) > most {
			tries = 0
		}
		wait := min(first<<min(tries, 20), most)
		select {
		case <-time.After(wait/2 + rand.N(wait/2+1)):
		case <-ctx.Done():
		}
	}
	return ctx.Err()
}

// once follows over one connection, to its end.
func (f *Follower) once(ctx context.Context, began time.Time) error {
	c, err := f.Dial(ctx)
	if err != nil {
		return err
	}
	defer c.Close()
	stop := context.AfterFunc(ctx, func() { c.Close() })
	defer stop()
	silence := f.IOTimeout
	if silence <= 0 {
		silence = 5 * time.Second
	}
	if len(f.Keys) == 0 {
		return errors.New("no key")
	}
	c.SetDeadline(time.Now().Add(silence))
	kind, nonce, err := ReadFrame(c, 64)
	if err != nil || kind != FrameNonce || len(nonce) != 16 {
		return fmt.Errorf("no greeting: %w", err)
	}
	if err := WriteFrame(c, FrameHello, EncodeHello(nonce, f.Keys[0], f.Name, f.Replica.Version())); err != nil {
		return err
	}
	for {
		_, ask := f.Replica.Ask(-1) // when the next ask is due, without asking
		deadline := time.Time{}
		if ask > 0 {
			deadline = began.Add(ask)
		}
		c.SetReadDeadline(deadline)
		kind, body, err := ReadFrame(c, tables.MaxDeltaBytes)
		var late net.Error
		if errors.As(err, &late) && late.Timeout() {
			if due, _ := f.Replica.Ask(time.Since(began)); due {
				c.SetWriteDeadline(time.Now().Add(silence))
				if err := WriteFrame(c, FrameSnapshotRequest, AppendVersionRef(nil, f.Replica.Version())); err != nil {
					return err
				}
			}
			continue
		} else if err != nil {
			return err
		}
		if kind != FrameDelta {
			continue // a kind of a later release
		}
		o, why := f.Replica.Receive(time.Since(began), body)
		c.SetWriteDeadline(time.Now().Add(silence))
		if o == tables.Applied {
			f.OnApplied(f.Replica.Version(), f.Replica.State())
			err = WriteFrame(c, FrameAck, AppendVersionRef(nil, f.Replica.Version()))
		} else {
			if f.OnRejected != nil {
				f.OnRejected(o, why)
			}
			err = WriteFrame(c, FrameRejection, AppendVersionRef([]byte{byte(o)}, f.Replica.Version()))
		}
		if err != nil {
			return err
		}
	}
}
